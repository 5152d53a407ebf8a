//! A small system of real processes on loopback.

pub mod caller;
pub mod process;
pub mod settings;
pub mod system;

pub use caller::{CallerAnswer, TestCaller};
pub use system::{SystemPlan, TestSystem};
