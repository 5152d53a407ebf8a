//! Any interleaving of sends, lost replies, crashes and flushes bills each replicated request once.

use oleander_core::ids::{AccountName, Incarnation, RequestId};
use oleander_core::ledger::backlog::LedgerBacklog;
use oleander_core::ledger::fold::RecordSet;
use oleander_core::ledger::keys::{OriginId, batch_key, window_of_key};
use oleander_core::ledger::packed::{pack, unpack};
use oleander_core::ledger::run::HeldRun;
use oleander_core::ledger::shard::WindowId;
use oleander_core::reason::RunState;
use oleander_core::units::{Money, Timestamp, TokenCount};
use oleander_core::usage::{UsageRecord, UsedItem};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

const LEDGERS: usize = 4;
const MAX_BYTES: usize = 1 << 20;
/// Longer than the owner timeout of the backlog, so that ledgers take over from a crashed one.
const TAKEOVER_WAIT: Duration = Duration::from_secs(16);

#[derive(Clone, Debug)]
enum Step {
    Send { ledger: usize, number: u8 },
    Close { ledger: usize, reply_lost: bool },
    Write { ledger: usize, reply_lost: bool },
    Report { ledger: usize, lost: bool },
    Wait { seconds: u64 },
    Crash { ledger: usize },
}

fn step() -> impl Strategy<Value = Step> {
    let ledger = 0..LEDGERS;
    prop_oneof![
        6 => (ledger.clone(), any::<u8>()).prop_map(|(ledger, number)| Step::Send { ledger, number }),
        4 => (ledger.clone(), any::<bool>())
            .prop_map(|(ledger, reply_lost)| Step::Close { ledger, reply_lost }),
        3 => (ledger.clone(), any::<bool>())
            .prop_map(|(ledger, reply_lost)| Step::Write { ledger, reply_lost }),
        3 => (ledger.clone(), any::<bool>())
            .prop_map(|(ledger, lost)| Step::Report { ledger, lost }),
        2 => (1_u64..20).prop_map(|seconds| Step::Wait { seconds }),
        1 => ledger.prop_map(|ledger| Step::Crash { ledger }),
    ]
}

struct Cluster {
    backlogs: Vec<LedgerBacklog>,
    table: BTreeMap<String, Vec<u8>>,
    acked: BTreeSet<RequestId>,
    sent: BTreeSet<RequestId>,
    now: Timestamp,
}

fn origin(ledger: usize, incarnation: u64) -> OriginId {
    let host = format!("ledger-{ledger}").parse().unwrap();
    OriginId { host, incarnation: Incarnation::new(incarnation) }
}

fn usage(number: u8) -> UsageRecord {
    let account: AccountName = format!("van-{}", number % 3).parse().unwrap();
    let created_at = Timestamp::from_millis(1_000_000 + u64::from(number) * 1_000);
    UsageRecord {
        account,
        request: RequestId::new(created_at, u128::from(number)),
        item: UsedItem::Version("small-3".parse().unwrap()),
        run: RunState::Done,
        tokens_in: TokenCount::new(u32::from(number)),
        tokens_out: TokenCount::new(2),
        billed: Money::from_micros(3),
        upstream_cost: Money::from_micros(4),
        ended_at: created_at + Duration::from_millis(500),
        outcome: None,
    }
}

impl Cluster {
    fn new() -> Self {
        let backlogs =
            (0..LEDGERS).map(|ledger| LedgerBacklog::new(origin(ledger, 1), MAX_BYTES)).collect();
        let (table, acked, sent) = (BTreeMap::new(), BTreeSet::new(), BTreeSet::new());
        Self { backlogs, table, acked, sent, now: Timestamp::from_millis(2_000_000) }
    }

    fn apply(&mut self, step: &Step) {
        match *step {
            Step::Send { ledger, number } => {
                let record = usage(number);
                self.sent.insert(record.request);
                self.backlogs[ledger].offer(record);
            }
            Step::Close { ledger, reply_lost } => self.close(ledger, reply_lost),
            Step::Write { ledger, reply_lost } => self.write(ledger, reply_lost),
            Step::Report { ledger, lost } => self.report(ledger, lost),
            Step::Wait { seconds } => self.now = self.now + Duration::from_secs(seconds),
            Step::Crash { ledger } => self.crash(ledger),
        }
    }

    /// Closes a group and replicates it; its records are acknowledged if the reply arrives.
    fn close(&mut self, ledger: usize, reply_lost: bool) {
        let Some(group) = self.backlogs[ledger].close_group(self.now) else { return };
        let own = self.backlogs[ledger].own().clone();
        let backup = (ledger + 1) % LEDGERS;
        assert!(self.backlogs[backup].hold_group(&own, group.clone(), self.now));
        let backup = self.backlogs[backup].own().clone();
        let known = Some(backup).filter(|_| !reply_lost);
        if known.is_some() {
            self.acked.extend(group.records.iter().map(|record| record.request));
        }
        self.backlogs[ledger].set_group_backup(group.sequence, known);
    }

    fn write(&mut self, ledger: usize, reply_lost: bool) {
        self.backlogs[ledger].seal(self.now);
        while let Some(ticket) = self.backlogs[ledger].oldest_run(self.now) {
            self.insert(&ticket.queue.origin, &ticket.run);
            if reply_lost {
                return;
            }
            self.backlogs[ledger].drop_run(&ticket.queue, ticket.number);
        }
    }

    fn insert(&mut self, origin: &OriginId, run: &HeldRun) {
        for row in &run.rows {
            let ends = (run.first, run.last);
            let key = batch_key((row.shard, row.window), origin, ends, &row.packed);
            self.table.entry(key).or_insert_with(|| row.packed.clone());
        }
    }

    fn report(&mut self, ledger: usize, lost: bool) {
        for (backups, progress) in self.backlogs[ledger].progress_reports(self.now) {
            let receivers =
                self.backlogs.iter_mut().filter(|backlog| backups.contains(backlog.own()) && !lost);
            receivers.for_each(|backlog| backlog.apply_progress(&progress, self.now));
        }
    }

    /// Crashes a ledger; the others detect it and replicate again before the next crash.
    fn crash(&mut self, ledger: usize) {
        self.repair();
        let incarnation = self.backlogs[ledger].own().incarnation.next().get();
        self.backlogs[ledger] = LedgerBacklog::new(origin(ledger, incarnation), MAX_BYTES);
        self.now = self.now + TAKEOVER_WAIT;
        self.repair();
    }

    fn repair(&mut self) {
        let live: BTreeSet<OriginId> =
            self.backlogs.iter().map(|backlog| backlog.own().clone()).collect();
        for ledger in 0..LEDGERS {
            let others: BTreeSet<OriginId> = live
                .iter()
                .filter(|origin| *origin != self.backlogs[ledger].own())
                .cloned()
                .collect();
            let is_live = |origin: &OriginId| others.contains(origin);
            self.backlogs[ledger].seal_unreplicated(self.now, &is_live);
            for ticket in self.backlogs[ledger].unreplicated_runs(self.now, &is_live, usize::MAX) {
                let target = (ledger + 2) % LEDGERS;
                let run = HeldRun::clone(&ticket.run);
                let queue = self.backlogs[ledger].replica_queue_id(&ticket.queue);
                assert!(self.backlogs[target].hold_run(&queue, run, self.now));
                let backup = self.backlogs[target].own().clone();
                self.backlogs[ledger].set_run_backup(&ticket.queue, ticket.number, backup);
            }
        }
    }

    fn drain(&mut self) {
        self.now = self.now + TAKEOVER_WAIT;
        (0..LEDGERS).for_each(|ledger| {
            if let Some(group) = self.backlogs[ledger].close_group(self.now) {
                self.backlogs[ledger].set_group_backup(group.sequence, None);
            }
            self.write(ledger, false);
        });
    }

    fn billed(&self) -> Vec<RequestId> {
        let mut windows: BTreeMap<String, RecordSet> = BTreeMap::new();
        for (key, packed) in &self.table {
            let window_prefix = key.splitn(4, '/').take(3).collect::<Vec<_>>().join("/");
            for record in unpack(packed).unwrap() {
                assert_eq!(window_of_key(key), Some(WindowId::of(record.request)));
                windows.entry(window_prefix.clone()).or_default().insert(record);
            }
        }
        windows.into_values().flat_map(RecordSet::into_records).map(|r| r.request).collect()
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 2_000,
        rng_seed: RngSeed::Fixed(20_261_203),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn replicated_requests_are_billed_exactly_once(steps in prop::collection::vec(step(), 1..80)) {
        let mut cluster = Cluster::new();
        steps.iter().for_each(|step| cluster.apply(step));
        cluster.drain();
        let billed = cluster.billed();
        let distinct: BTreeSet<RequestId> = billed.iter().copied().collect();
        prop_assert_eq!(billed.len(), distinct.len(), "billed twice");
        prop_assert!(cluster.acked.is_subset(&distinct), "replicated and not billed");
        prop_assert!(distinct.is_subset(&cluster.sent), "billed but never sent");
    }

    #[test]
    fn packed_records_round_trip(
        numbers in prop::collection::vec(any::<u8>(), 0..50),
    ) {
        let records: Vec<UsageRecord> = numbers.into_iter().map(usage).collect();
        prop_assert_eq!(unpack(&pack(&records)).unwrap(), records);
    }

    #[test]
    fn unpacking_random_bytes_does_not_panic(bytes in prop::collection::vec(any::<u8>(), 0..200)) {
        let _ = unpack(&bytes);
    }

    #[test]
    fn backlog_never_exceeds_its_limit(numbers in prop::collection::vec(any::<u8>(), 1..80)) {
        let mut backlog = LedgerBacklog::new(origin(0, 1), 2_000);
        let now = Timestamp::from_millis(0);
        for number in numbers {
            backlog.offer(usage(number));
            if number % 3 == 0 {
                backlog.close_group(now);
            }
            prop_assert!(backlog.bytes() <= 2_000);
        }
    }
}
