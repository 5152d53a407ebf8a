//! End-to-end tests: the real binaries as separate processes, before stand-ins.

mod faults;
mod limits;
mod local;
mod processes;
mod sessions;
mod testenv;
