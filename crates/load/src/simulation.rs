//! Discrete-event simulation of one router's decisions against models of the engines.
//!
//! It does not simulate a cluster: there is one router, and the network is only a delay. The
//! decisions are those of `oleander_core`, called in the same way as by the entry.

pub mod answer_model;
pub mod engine_model;
pub mod event_queue;
pub mod router_model;
pub mod settings;
pub mod simulator;
pub mod statistics;

pub use settings::SimulationSettings;
pub use statistics::SimulationStatistics;

use crate::arrival_trace::TraceRequest;
use crate::deployment::DeploymentModel;

/// Simulates the requests of a trace.
///
/// # Errors
///
/// When the deployment's catalog is not valid.
pub fn simulate(
    deployment: &DeploymentModel,
    trace: &[TraceRequest],
    settings: &SimulationSettings,
) -> anyhow::Result<SimulationStatistics> {
    let simulator = simulator::EventSimulator::new(deployment, trace, settings)?;
    Ok(simulator.run())
}
