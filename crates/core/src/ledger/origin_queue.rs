//! Groups and runs of one origin that a ledger holds.

use super::keys::OriginId;
use super::run::{HeldGroup, HeldRun, MAX_RUN_BYTES};
use crate::ids::Sequence;
use crate::units::Timestamp;
use std::collections::BTreeMap;
use std::sync::Arc;

struct QueuedGroup {
    group: HeldGroup,
    bytes: usize,
    backup: Option<OriginId>,
    sealable: bool,
}

struct QueuedRun {
    run: Arc<HeldRun>,
    bytes: usize,
    backup: Option<OriginId>,
}

/// Groups and runs of one origin that wait to be flushed.
pub(super) struct OriginQueue {
    groups: BTreeMap<Sequence, QueuedGroup>,
    runs: BTreeMap<u64, QueuedRun>,
    next_run: u64,
    /// When the last message about the queue arrived.
    pub(super) heard_at: Timestamp,
    /// Size of everything, in bytes.
    pub(super) bytes: usize,
}

impl OriginQueue {
    pub(super) fn new(heard_at: Timestamp) -> Self {
        Self { groups: BTreeMap::new(), runs: BTreeMap::new(), next_run: 0, heard_at, bytes: 0 }
    }

    pub(super) fn is_empty(&self) -> bool {
        self.groups.is_empty() && self.runs.is_empty()
    }

    /// Adds a group. Only a `sealable` one may be sealed.
    pub(super) fn put_group(&mut self, group: HeldGroup, sealable: bool) {
        let bytes = group.bytes();
        let sequence = group.sequence;
        let added = QueuedGroup { group, bytes, backup: None, sealable };
        self.bytes += bytes;
        if let Some(old) = self.groups.insert(sequence, added) {
            self.bytes -= old.bytes;
        }
    }

    /// Records which ledger holds a copy of a group, if any, and allows it to be sealed.
    pub(super) fn set_group_backup(&mut self, sequence: Sequence, backup: Option<OriginId>) {
        if let Some(group) = self.groups.get_mut(&sequence) {
            group.backup = backup;
            group.sealable = true;
        }
    }

    pub(super) fn drop_group(&mut self, sequence: Sequence) {
        if let Some(group) = self.groups.remove(&sequence) {
            self.bytes -= group.bytes;
        }
    }

    /// Adds a run unless an equal one is present.
    pub(super) fn put_run(&mut self, run: Arc<HeldRun>, backup: Option<OriginId>) {
        if self.runs.values().any(|held| held.run == run) {
            return;
        }
        let bytes = run.bytes();
        self.bytes += bytes;
        self.runs.insert(self.next_run, QueuedRun { run, bytes, backup });
        self.next_run += 1;
    }

    pub(super) fn set_run_backup(&mut self, number: u64, backup: OriginId) {
        if let Some(run) = self.runs.get_mut(&number) {
            run.backup = Some(backup);
        }
    }

    pub(super) fn drop_run(&mut self, number: u64) {
        if let Some(run) = self.runs.remove(&number) {
            self.bytes -= run.bytes;
        }
    }

    pub(super) fn oldest_run(&self) -> Option<(u64, Arc<HeldRun>)> {
        let (number, held) = self.runs.iter().next()?;
        Some((*number, Arc::clone(&held.run)))
    }

    /// Runs without a copy on a live ledger.
    pub(super) fn unreplicated_runs<'a>(
        &'a self,
        live: &'a dyn Fn(&OriginId) -> bool,
    ) -> impl Iterator<Item = (u64, Arc<HeldRun>)> + 'a {
        let unreplicated = move |held: &QueuedRun| !held.backup.as_ref().is_some_and(live);
        let runs = self.runs.iter().filter(move |(_, held)| unreplicated(held));
        runs.map(|(number, held)| (*number, Arc::clone(&held.run)))
    }

    /// Whether a sealable group has no copy on a live ledger.
    pub(super) fn has_unreplicated_group(&self, live: &dyn Fn(&OriginId) -> bool) -> bool {
        let mut sealable = self.groups.values().filter(|held| held.sealable);
        sealable.any(|held| !held.backup.as_ref().is_some_and(live))
    }

    pub(super) fn backups(&self) -> impl Iterator<Item = &OriginId> {
        let groups = self.groups.values().filter_map(|held| held.backup.as_ref());
        groups.chain(self.runs.values().filter_map(|held| held.backup.as_ref()))
    }

    /// The lowest sequence number that is still held.
    pub(super) fn lowest(&self) -> Option<Sequence> {
        let group = self.groups.keys().next().copied();
        let run = self.runs.values().map(|held| held.run.first).min();
        group.into_iter().chain(run).min()
    }

    /// The highest sequence number in a run.
    pub(super) fn sealed_to(&self) -> Option<Sequence> {
        self.runs.values().map(|held| held.run.last).max()
    }

    /// Drops groups and runs up to and including `sequence`.
    pub(super) fn drop_to(&mut self, sequence: Sequence) {
        while let Some(&first) = self.groups.keys().next().filter(|&&first| first <= sequence) {
            self.drop_group(first);
        }
        let done: Vec<u64> = self
            .runs
            .iter()
            .filter(|(_, held)| held.run.last <= sequence)
            .map(|(&number, _)| number)
            .collect();
        done.into_iter().for_each(|number| self.drop_run(number));
    }

    /// Seals the sealable groups up to and including `end` into runs.
    pub(super) fn seal_to(&mut self, end: Sequence) {
        let sealable = self.groups.range(..=end).filter(|(_, held)| held.sealable);
        let sequences: Vec<Sequence> = sealable.map(|(&sequence, _)| sequence).collect();
        let mut builder = RunBuilder::default();
        for sequence in sequences {
            let Some(held) = self.groups.remove(&sequence) else { continue };
            self.bytes -= held.bytes;
            builder.add(held);
            if builder.bytes >= MAX_RUN_BYTES {
                self.put_built_run(std::mem::take(&mut builder));
            }
        }
        self.put_built_run(builder);
    }

    fn put_built_run(&mut self, builder: RunBuilder) {
        let backup = builder.common_backup();
        if let Some(run) = HeldRun::seal(&builder.groups) {
            self.put_run(Arc::new(run), backup);
        }
    }
}

#[derive(Default)]
struct RunBuilder {
    groups: Vec<HeldGroup>,
    backups: Vec<Option<OriginId>>,
    bytes: usize,
}

impl RunBuilder {
    fn add(&mut self, held: QueuedGroup) {
        self.bytes += held.bytes;
        self.groups.push(held.group);
        self.backups.push(held.backup);
    }

    fn common_backup(&self) -> Option<OriginId> {
        let first = self.backups.first()?.clone();
        if self.backups.iter().all(|backup| *backup == first) { first } else { None }
    }
}
