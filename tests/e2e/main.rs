//! End-to-end tests: the real binaries as separate processes, with stand-ins as back ends.

mod faults;
mod limits;
mod local;
mod processes;
mod sessions;
mod testenv;
