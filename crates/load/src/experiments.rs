//! Experiments, each with its baselines in the same run and with the same seed.

pub mod choice;
pub mod cost;
pub mod exposure;
pub mod failure;
