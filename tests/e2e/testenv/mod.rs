//! Test environment: real processes on loopback, their settings and their callers.

pub mod caller;
pub mod process;
pub mod settings;
pub mod system;

pub use caller::{CallerAnswer, TestCaller};
pub use system::{SystemPlan, TestSystem};
