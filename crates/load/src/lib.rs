//! Load generation, and experiments on the router's decisions.
//!
//! [`simulation`] runs the decisions of one router against models of its engines. [`experiments`]
//! are built on it, each with its baselines in the same run. [`live`] sends load over HTTP.

#![warn(clippy::unwrap_used)]

pub mod arrival_trace;
pub mod deployment;
pub mod experiments;
pub mod live;
pub mod plot;
pub mod report;
pub mod seeded_random;
pub mod simulation;
