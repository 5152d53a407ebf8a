//! One router's decisions against models of the engines, as discrete events.
//!
//! This is no simulator of a cluster: there is one router, and no network beyond a delay. The
//! decisions are those of `oleander_core`, called as the entry calls them.

pub mod answer_model;
pub mod engine_model;
pub mod event_queue;
pub mod router_model;
pub mod settings;
pub mod tally;
pub mod world;

pub use settings::SimulationSettings;
pub use tally::SimulationTally;

use crate::arrival_trace::TraceRequest;
use crate::deployment::DeploymentModel;

/// Runs a trace through the decisions and the engines.
///
/// # Errors
///
/// When the deployment's catalog is not valid.
pub fn simulate(
    deployment: &DeploymentModel,
    trace: &[TraceRequest],
    settings: &SimulationSettings,
) -> anyhow::Result<SimulationTally> {
    let world = world::SimulationWorld::new(deployment, trace, settings)?;
    Ok(world.run())
}
