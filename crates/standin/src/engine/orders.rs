//! Orders to load and unload versions and to set the role.

use crate::engine::{EngineSettings, EngineState};
use oleander_core::ids::{FencingNumber, VersionName};
use oleander_ports::upstream::{Order, OrderAction};
use std::time::Duration;
use tokio::time::Instant;

/// Versions, each with the time at which its load completes.
pub(super) struct LoadedVersions {
    entries: Vec<(VersionName, Instant)>,
}

impl LoadedVersions {
    pub(super) fn new(versions: &[VersionName]) -> Self {
        let now = Instant::now();
        Self { entries: versions.iter().map(|version| (version.clone(), now)).collect() }
    }

    pub(super) fn ready(&self) -> Vec<VersionName> {
        let now = Instant::now();
        let ready = self.entries.iter().filter(|(_, ready_at)| *ready_at <= now);
        ready.map(|(version, _)| version.clone()).collect()
    }

    pub(super) fn is_ready(&self, version: &VersionName) -> bool {
        let now = Instant::now();
        self.entries.iter().any(|(name, ready_at)| name == version && *ready_at <= now)
    }

    fn load(&mut self, version: VersionName, load_time: Duration) {
        if !self.entries.iter().any(|(name, _)| *name == version) {
            self.entries.push((version, Instant::now() + load_time));
        }
    }

    fn unload(&mut self, version: &VersionName) {
        self.entries.retain(|(name, _)| name != version);
    }
}

/// Applies an order. Returns the highest fencing number seen as the error if the order is stale.
pub(super) fn apply_order(
    state: &mut EngineState,
    settings: &EngineSettings,
    order: Order,
) -> Result<(), FencingNumber> {
    if settings.checks_fencing && order.fencing < state.highest_fencing {
        return Err(state.highest_fencing);
    }
    state.highest_fencing = state.highest_fencing.max(order.fencing);
    match order.action {
        OrderAction::Load(version) => state.versions.load(version, settings.load_time),
        OrderAction::Unload(version) => state.versions.unload(&version),
        OrderAction::SetRole(role) => state.role = role,
    }
    Ok(())
}
