//! Any interleaving of sends, losses, crashes and writes bills each held request once.

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
const BOUND: usize = 1 << 20;
const SILENCE: Duration = Duration::from_secs(16);

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

struct World {
    books: Vec<LedgerBacklog>,
    table: BTreeMap<String, Vec<u8>>,
    acked: BTreeSet<RequestId>,
    sent: BTreeSet<RequestId>,
    now: Timestamp,
}

fn life(ledger: usize, incarnation: u64) -> OriginId {
    let host = format!("ledger-{ledger}").parse().unwrap();
    OriginId { host, incarnation: Incarnation::new(incarnation) }
}

fn usage(number: u8) -> UsageRecord {
    let account: AccountName = format!("van-{}", number % 3).parse().unwrap();
    let minted_at = Timestamp::from_millis(1_000_000 + u64::from(number) * 1_000);
    UsageRecord {
        account,
        request: RequestId::new(minted_at, u128::from(number)),
        item: UsedItem::Version("small-3".parse().unwrap()),
        run: RunState::Done,
        tokens_in: TokenCount::new(u32::from(number)),
        tokens_out: TokenCount::new(2),
        billed: Money::from_micros(3),
        upstream_cost: Money::from_micros(4),
        ended_at: minted_at + Duration::from_millis(500),
        outcome: None,
    }
}

impl World {
    fn new() -> Self {
        let books = (0..LEDGERS).map(|ledger| LedgerBacklog::new(life(ledger, 1), BOUND)).collect();
        let (table, acked, sent) = (BTreeMap::new(), BTreeSet::new(), BTreeSet::new());
        Self { books, table, acked, sent, now: Timestamp::from_millis(2_000_000) }
    }

    fn apply(&mut self, step: &Step) {
        match *step {
            Step::Send { ledger, number } => {
                let record = usage(number);
                self.sent.insert(record.request);
                self.books[ledger].offer(record);
            }
            Step::Close { ledger, reply_lost } => self.close(ledger, reply_lost),
            Step::Write { ledger, reply_lost } => self.write(ledger, reply_lost),
            Step::Report { ledger, lost } => self.report(ledger, lost),
            Step::Wait { seconds } => self.now = self.now + Duration::from_secs(seconds),
            Step::Crash { ledger } => self.crash(ledger),
        }
    }

    /// Fixes a group and gets it copied; its records are acknowledged when the reply comes.
    fn close(&mut self, ledger: usize, reply_lost: bool) {
        let Some(group) = self.books[ledger].close_group(self.now) else { return };
        let own = self.books[ledger].own().clone();
        let backup = (ledger + 1) % LEDGERS;
        assert!(self.books[backup].hold_group(&own, group.clone(), self.now));
        let backup = self.books[backup].own().clone();
        let known = Some(backup).filter(|_| !reply_lost);
        if known.is_some() {
            self.acked.extend(group.records.iter().map(|record| record.request));
        }
        self.books[ledger].set_group_backup(group.sequence, known);
    }

    fn write(&mut self, ledger: usize, reply_lost: bool) {
        self.books[ledger].seal(self.now);
        while let Some(ticket) = self.books[ledger].oldest_run(self.now) {
            self.insert(&ticket.queue.origin, &ticket.run);
            if reply_lost {
                return;
            }
            self.books[ledger].drop_run(&ticket.queue, ticket.number);
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
        for (backups, progress) in self.books[ledger].progress_reports(self.now) {
            let told = self.books.iter_mut().filter(|book| backups.contains(book.own()) && !lost);
            told.for_each(|book| book.apply_progress(&progress, self.now));
        }
    }

    /// Loses a ledger; the others notice and make copies again before the next loss.
    fn crash(&mut self, ledger: usize) {
        self.repair();
        let incarnation = self.books[ledger].own().incarnation.next().get();
        self.books[ledger] = LedgerBacklog::new(life(ledger, incarnation), BOUND);
        self.now = self.now + SILENCE;
        self.repair();
    }

    fn repair(&mut self) {
        let live: BTreeSet<OriginId> = self.books.iter().map(|book| book.own().clone()).collect();
        for ledger in 0..LEDGERS {
            let others: BTreeSet<OriginId> =
                live.iter().filter(|life| *life != self.books[ledger].own()).cloned().collect();
            let is_live = |life: &OriginId| others.contains(life);
            self.books[ledger].seal_unreplicated(self.now, &is_live);
            for ticket in self.books[ledger].unreplicated_runs(self.now, &is_live, usize::MAX) {
                let target = (ledger + 2) % LEDGERS;
                let run = HeldRun::clone(&ticket.run);
                let queue = self.books[ledger].replica_queue_id(&ticket.queue);
                assert!(self.books[target].hold_run(&queue, run, self.now));
                let backup = self.books[target].own().clone();
                self.books[ledger].set_run_backup(&ticket.queue, ticket.number, backup);
            }
        }
    }

    fn drain(&mut self) {
        self.now = self.now + SILENCE;
        (0..LEDGERS).for_each(|ledger| {
            if let Some(group) = self.books[ledger].close_group(self.now) {
                self.books[ledger].set_group_backup(group.sequence, None);
            }
            self.write(ledger, false);
        });
    }

    fn billed(&self) -> Vec<RequestId> {
        let mut windows: BTreeMap<String, RecordSet> = BTreeMap::new();
        for (key, packed) in &self.table {
            let place = key.splitn(4, '/').take(3).collect::<Vec<_>>().join("/");
            for record in unpack(packed).unwrap() {
                assert_eq!(window_of_key(key), Some(WindowId::of(record.request)));
                windows.entry(place.clone()).or_default().insert(record);
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
    fn held_requests_are_billed_exactly_once(steps in prop::collection::vec(step(), 1..80)) {
        let mut world = World::new();
        steps.iter().for_each(|step| world.apply(step));
        world.drain();
        let billed = world.billed();
        let distinct: BTreeSet<RequestId> = billed.iter().copied().collect();
        prop_assert_eq!(billed.len(), distinct.len(), "billed twice");
        prop_assert!(world.acked.is_subset(&distinct), "held and not billed");
        prop_assert!(distinct.is_subset(&world.sent), "billed and never sent");
    }

    #[test]
    fn packed_records_are_unpacked_as_they_were(
        numbers in prop::collection::vec(any::<u8>(), 0..50),
    ) {
        let records: Vec<UsageRecord> = numbers.into_iter().map(usage).collect();
        prop_assert_eq!(unpack(&pack(&records)).unwrap(), records);
    }

    #[test]
    fn random_bytes_are_unpacked_or_refused(bytes in prop::collection::vec(any::<u8>(), 0..200)) {
        let _ = unpack(&bytes);
    }

    #[test]
    fn bound_is_never_passed(numbers in prop::collection::vec(any::<u8>(), 1..80)) {
        let mut book = LedgerBacklog::new(life(0, 1), 2_000);
        let now = Timestamp::from_millis(0);
        for number in numbers {
            book.offer(usage(number));
            if number % 3 == 0 {
                book.close_group(now);
            }
            prop_assert!(book.bytes() <= 2_000);
        }
    }
}
