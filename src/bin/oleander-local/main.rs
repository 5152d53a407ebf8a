//! Starts the whole system in one process.

fn main() {}
