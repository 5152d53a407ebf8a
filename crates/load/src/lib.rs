//! Load and experiments over the router's decisions.
//!
//! [`simulation`] drives one router's decisions against models of the engines that it sends
//! work to; [`experiments`] holds one measurement each, with its baselines in the same run.

#![warn(clippy::unwrap_used)]

pub mod arrival_trace;
pub mod deployment;
pub mod experiments;
pub mod live;
pub mod plot;
pub mod report;
pub mod seeded_source;
pub mod simulation;
