//! One measurement each, with its baselines in the same run and from the same seed.

pub mod choice;
pub mod cost;
pub mod exposure;
pub mod failure;
