//! Finds the part of a prompt that crashes upstreams, and blocks requests with it.
//!
//! A request may crash the upstream that begins to write its answer, and the next one when it is
//! sent again. Requests share parts of their prompts, so the part is known by what such requests
//! have in common. A part is *implicated* in the crash of an upstream when a request with it was in
//! flight there that had not been answered for [`SERVED_TIME`]; it is *cleared* of a crash by any
//! answer to a request with it after that. What stays implicated in several crashes at different
//! times, while other requests are answered, is blocked.
//!
//! Hosts tell each other what they have seen, so all of them block a part even when each has seen
//! one of its crashes. A crash is forgotten after [`CRASH_RETENTION`]; when too few are left, the
//! part is tried again, and a further crash blocks it anew.

use crate::stable_hash::hash_parts;
use crate::units::Timestamp;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::time::Duration;

/// Time from the beginning of an answer after which it did not crash its upstream.
pub const SERVED_TIME: Duration = Duration::from_secs(1);
/// Number of crashes, at different times, from which a part is blocked.
pub const MAX_CRASHES: usize = 4;
/// Crashes closer to each other count as one: they may have a common cause, such as a loss of power.
const CRASH_SEPARATION: Duration = Duration::from_millis(250);
/// Time after which a crash is forgotten.
pub const CRASH_RETENTION: Duration = Duration::from_secs(300);
/// Time in which a part that was answered before is expected to be answered again, if it is sound and
/// other requests are answered.
const PROOF_TIME: Duration = Duration::from_millis(2_500);
/// Time for which a crash counts against a part that was answered before. Blocking it hits more
/// requests, and none of them can clear it meanwhile.
const ANSWERED_CRASH_RETENTION: Duration = Duration::from_secs(20);
/// Time within which the loss of a request is put down to the end of its upstream.
const LOSS_TIME: Duration = Duration::from_secs(4);
/// Maximum number of parts that are implicated in crashes, and of crashes of one part.
const MAX_PARTS: usize = 512;
const MAX_CRASHES_PER_PART: usize = 32;
/// Maximum number of parts whose last answer is remembered.
const MAX_SERVED: usize = 4_096;
/// Maximum number of upstreams with lost requests, and of upstreams known to have ended.
const MAX_UPSTREAMS: usize = 256;
/// Maximum number of crashes and answers in one report.
const MAX_REPORTED_CRASHES: usize = 16;
const MAX_REPORTED_CRASHES_PER_PART: usize = 6;
const MAX_REPORTED_ANSWERS: usize = 8;
/// Maximum number of parts that are kept for hosts that start later, and of their answers.
const MAX_KEPT_PARTS: usize = 64;
const MAX_KEPT_ANSWERS: usize = 128;
/// Time for which an answer is told to others that clears a part.
const CLEARED_RETENTION: Duration = Duration::from_secs(5);
/// Maximum number of parts that were cleared.
const MAX_CLEARED: usize = 256;
/// Unit of ages in reports, in milliseconds.
const AGE_UNIT_MS: u64 = 10;

/// Compact id of a part of a prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct PartHash(u32);

impl PartHash {
    /// Hashes the id of a part.
    ///
    /// ```
    /// use oleander_core::part_quarantine::PartHash;
    ///
    /// assert_eq!(PartHash::new("5c1e07a2"), PartHash::new("5c1e07a2"));
    /// assert_ne!(PartHash::new("5c1e07a2"), PartHash::new("91bd3f06"));
    /// ```
    #[must_use]
    pub fn new(id: &str) -> Self {
        Self(hash_parts(&[id]) as u32)
    }
}

impl fmt::Display for PartHash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:08x}", self.0)
    }
}

/// Compact id of one run of an upstream's process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RunHash(u32);

impl RunHash {
    /// Hashes the name of an upstream and the start of its process.
    #[must_use]
    pub fn new(upstream: &str, started_ms: u64) -> Self {
        Self(hash_parts(&[upstream, &started_ms.to_string()]) as u32)
    }
}

/// A part implicated in a crash, as told to other hosts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReportedCrash {
    part: PartHash,
    run: RunHash,
    /// Age in units of 10 ms.
    age: u32,
}

/// The last answer to a request with a part, as told to other hosts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReportedAnswer {
    part: PartHash,
    /// Age in units of 10 ms.
    age: u32,
}

/// What a host tells others.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PartReport {
    /// Implicated parts.
    pub crashes: Vec<ReportedCrash>,
    /// While parts are blocked, the newest answer and the last ones with these; those that clear parts.
    pub answers: Vec<ReportedAnswer>,
}

impl PartReport {
    /// Number of crashes and answers.
    #[must_use]
    pub const fn len(&self) -> usize {
        self.crashes.len() + self.answers.len()
    }

    /// The report as it is when it was made this long ago.
    #[must_use]
    pub fn aged(mut self, by: Duration) -> Self {
        let units = u32::try_from(by.as_millis() as u64 / AGE_UNIT_MS).unwrap_or(u32::MAX);
        let crashes = self.crashes.iter_mut().map(|crash| &mut crash.age);
        for age in crashes.chain(self.answers.iter_mut().map(|answer| &mut answer.age)) {
            *age = age.saturating_add(units);
        }
        self
    }

    /// Whether there is nothing to tell.
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        self.len() == 0
    }
}

/// Requests that were lost on an upstream which is not known to have ended.
#[derive(Clone, Debug)]
struct PendingLoss {
    at: Timestamp,
    parts: BTreeSet<PartHash>,
}

/// What one host knows of the parts that crash upstreams.
///
/// ```
/// use oleander_core::part_quarantine::{PartHash, PartQuarantine, RunHash};
/// use oleander_core::units::Timestamp;
///
/// let mut quarantine = PartQuarantine::new();
/// let (shared, guilty) = (PartHash::new("shared"), PartHash::new("guilty"));
/// let at = Timestamp::from_millis;
/// for crash in 1..=4 {
///     let (run, now) = (RunHash::new("i-1", crash), at(crash * 1_000));
///     quarantine.record_loss(run, &[shared, guilty], now);
///     quarantine.record_end(run, now);
///     quarantine.record_answer(&[shared], at(crash * 1_000 + 500));
/// }
/// assert!(quarantine.is_blocked(&[shared, guilty]));
/// assert!(!quarantine.is_blocked(&[shared]));
/// ```
#[derive(Clone, Debug, Default)]
pub struct PartQuarantine {
    pending: BTreeMap<RunHash, PendingLoss>,
    ended: BTreeMap<RunHash, Timestamp>,
    crashes: BTreeMap<PartHash, BTreeMap<RunHash, Timestamp>>,
    /// Runs in whose crash this host lost a request, and when.
    observed: BTreeMap<RunHash, Timestamp>,
    answers: BTreeMap<PartHash, Timestamp>,
    /// Answered parts that this or another host held to be implicated, and when it was said last.
    cleared: BTreeMap<PartHash, Timestamp>,
    last_answer: Option<Timestamp>,
    /// Blocked parts, with the time at which each is tried again.
    blocked: BTreeMap<PartHash, Timestamp>,
    trial_delay: Duration,
    /// Parts of which the store holds crashes or answers, and the crashes, as far as this host knows.
    saved: BTreeMap<PartHash, BTreeSet<RunHash>>,
    /// Whether this host was the last one to write it.
    is_saved_here: bool,
    /// Rotates the crashes that are reported.
    reports: usize,
}

impl PartQuarantine {
    /// Creates a quarantine without any part.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Sets how much longer than [`CRASH_RETENTION`] this host remembers crashes. Hosts take
    /// different delays, so that one of them tries a part first.
    #[must_use]
    pub const fn with_trial_delay(mut self, delay: Duration) -> Self {
        self.trial_delay = delay;
        self
    }

    /// Records that a request with these parts was lost on an upstream before its answer had been
    /// written for [`SERVED_TIME`]. It counts if the upstream has ended; whether that should be
    /// found out, since it is not known and was not asked for yet.
    pub fn record_loss(&mut self, run: RunHash, parts: &[PartHash], now: Timestamp) -> bool {
        if parts.is_empty() {
            return false;
        }
        if self.ended.contains_key(&run) {
            self.observe(run, parts, now, now);
            return false;
        }
        let is_first = !self.pending.contains_key(&run);
        let loss = PendingLoss { at: now, parts: BTreeSet::new() };
        self.pending.entry(run).or_insert(loss).parts.extend(parts);
        evict_oldest(&mut self.pending, MAX_UPSTREAMS, |loss| loss.at);
        is_first
    }

    /// Records that an upstream has ended: it refuses connections, or was started again.
    pub fn record_end(&mut self, run: RunHash, now: Timestamp) {
        if self.ended.contains_key(&run) {
            return;
        }
        self.ended.insert(run, now);
        evict_oldest(&mut self.ended, MAX_UPSTREAMS, |at| *at);
        let Some(loss) = self.pending.remove(&run) else { return };
        if now.since(loss.at) <= LOSS_TIME {
            let parts: Vec<PartHash> = loss.parts.into_iter().collect();
            self.observe(run, &parts, loss.at, now);
        }
    }

    /// Records a crash at `at` in which this host lost requests with these parts.
    fn observe(&mut self, run: RunHash, parts: &[PartHash], at: Timestamp, now: Timestamp) {
        self.observed.insert(run, at);
        evict_oldest(&mut self.observed, MAX_UPSTREAMS, |at| *at);
        self.implicate(run, parts, at, now);
        self.evaluate(now);
    }

    /// Records that a request with these parts was answered: completely, or for [`SERVED_TIME`].
    pub fn record_answer(&mut self, parts: &[PartHash], now: Timestamp) {
        self.last_answer = self.last_answer.max(Some(now));
        let mut is_cleared = false;
        for part in parts {
            is_cleared |= self.clear(*part, now, now);
        }
        evict_oldest(&mut self.answers, MAX_SERVED, |at| *at);
        if is_cleared {
            self.evaluate(now);
        }
    }

    /// Whether requests with one of these parts are blocked.
    #[must_use]
    pub fn is_blocked(&self, parts: &[PartHash]) -> bool {
        !self.blocked.is_empty() && parts.iter().any(|part| self.blocked.contains_key(part))
    }

    /// When the last one of these parts that is blocked is tried again.
    #[must_use]
    pub fn blocked_until(&self, parts: &[PartHash]) -> Option<Timestamp> {
        parts.iter().filter_map(|part| self.blocked.get(part)).max().copied()
    }

    /// The blocked parts.
    pub fn blocked(&self) -> impl Iterator<Item = PartHash> {
        self.blocked.keys().copied()
    }

    /// Whether this host has lost a request with a part in a crash itself.
    fn is_observed(&self, part: PartHash) -> bool {
        let runs = self.crashes.get(&part);
        runs.is_some_and(|runs| runs.keys().any(|run| self.observed.contains_key(run)))
    }

    /// Takes over what the store holds.
    pub fn restore(&mut self, report: &PartReport, now: Timestamp) {
        self.record_saved(report, false);
        self.merge(report, now);
    }

    /// Records that the store holds a report and nothing else, which this host has written if `is_own`.
    pub fn record_saved(&mut self, report: &PartReport, is_own: bool) {
        self.saved.clear();
        self.is_saved_here = is_own;
        for answer in &report.answers {
            self.saved.entry(answer.part).or_default();
        }
        for crash in &report.crashes {
            self.saved.entry(crash.part).or_default().insert(crash.run);
        }
    }

    /// What the store should hold, if that differs by anything that this host has to write: what it has
    /// seen or written itself, and the parts whose key it is `responsible` for, since hosts that
    /// saw it may be gone.
    #[must_use]
    pub fn unsaved_report(
        &self,
        responsible: impl Fn(u64) -> bool,
        now: Timestamp,
    ) -> Option<PartReport> {
        if self.blocked.is_empty() && self.saved.is_empty() {
            return None;
        }
        let report = self.kept_report(now);
        let responsible = |part: PartHash| responsible(u64::from(part.0));
        let is_lacking = report.crashes.iter().any(|crash| {
            let runs = self.saved.get(&crash.part);
            !runs.is_some_and(|runs| runs.contains(&crash.run))
                && (self.is_observed(crash.part) || responsible(crash.part))
        });
        let is_outdated = self.saved.iter().any(|(part, runs)| {
            let known = self.crashes.get(part);
            let is_kept = |run| known.is_some_and(|known| known.contains_key(run));
            let is_cleared = self.answers.contains_key(part) && !runs.iter().all(is_kept);
            is_cleared && (self.is_saved_here || responsible(*part))
        });
        (is_lacking || is_outdated).then_some(report)
    }

    /// What the store should hold: the blocked parts, the latest ones, and what it holds already and no
    /// answer has cleared, since another host may know more of it.
    #[must_use]
    pub fn kept_report(&self, now: Timestamp) -> PartReport {
        let mut latest: Vec<(&PartHash, &Timestamp)> = self.blocked.iter().collect();
        latest.sort_by_key(|(_, until)| std::cmp::Reverse(**until));
        let blocked = latest.into_iter().map(|(part, _)| *part);
        let saved = self.saved.keys().filter(|part| !self.blocked.contains_key(part));
        let implicated = saved.copied().filter(|part| self.crashes.contains_key(part));
        let kept: Vec<PartHash> = blocked.chain(implicated).take(MAX_KEPT_PARTS).collect();
        let crashes = kept.iter().flat_map(|part| self.told_crashes(*part, now)).collect();
        let answered = self.newest_answered().into_iter().chain(kept);
        let answered = answered.chain(self.saved.keys().copied());
        let answers = self.told_answers(answered, now).take(MAX_KEPT_ANSWERS);
        PartReport { answers: answers.collect(), crashes }
    }

    /// Number of entries that are kept.
    #[must_use]
    pub fn retained_entries(&self) -> usize {
        let pending: usize = self.pending.values().map(|loss| loss.parts.len()).sum();
        let crashes: usize = self.crashes.values().map(BTreeMap::len).sum();
        let runs = self.ended.len() + self.observed.len();
        pending + crashes + runs + self.answers.len() + self.cleared.len()
    }

    /// Forgets what is too old.
    pub fn expire(&mut self, now: Timestamp) {
        let retention = CRASH_RETENTION + self.trial_delay;
        let is_recent = |at: &Timestamp| now.since(*at) < retention;
        self.pending.retain(|_, loss| now.since(loss.at) <= LOSS_TIME);
        self.ended.retain(|_, at| is_recent(at));
        self.observed.retain(|_, at| is_recent(at));
        self.answers.retain(|_, at| is_recent(at));
        self.cleared.retain(|_, at| now.since(*at) < CLEARED_RETENTION);
        self.crashes.values_mut().for_each(|runs| runs.retain(|_, at| is_recent(at)));
        self.crashes.retain(|_, runs| !runs.is_empty());
        self.evaluate(now);
    }

    /// What other hosts should know: the parts implicated in most crashes first.
    pub fn report(&mut self, now: Timestamp) -> PartReport {
        self.reports = self.reports.wrapping_add(1);
        let mut parts: Vec<(&PartHash, &BTreeMap<RunHash, Timestamp>)> =
            self.crashes.iter().collect();
        if !parts.is_empty() {
            let start = self.reports.wrapping_mul(MAX_REPORTED_CRASHES) % parts.len();
            parts.rotate_left(start);
        }
        parts.sort_by_key(|(_, runs)| std::cmp::Reverse(runs.len()));
        let crashes = parts.iter().flat_map(|(part, _)| self.told_crashes(**part, now));
        let crashes = crashes.take(MAX_REPORTED_CRASHES).collect();
        let mut answered: Vec<PartHash> = Vec::new();
        if !self.blocked.is_empty() {
            answered.extend(self.newest_answered());
            answered.extend(self.blocked.keys());
        }
        let mut cleared: Vec<PartHash> = self.cleared.keys().copied().collect();
        cleared.sort_by_key(|part| std::cmp::Reverse(self.answers.get(part)));
        answered.extend(cleared);
        let answers = self.told_answers(answered.into_iter(), now).take(MAX_REPORTED_ANSWERS);
        PartReport { answers: answers.collect(), crashes }
    }

    /// The newest crashes of a part. Those at the same time would not add to what others know.
    fn told_crashes(&self, part: PartHash, now: Timestamp) -> Vec<ReportedCrash> {
        let Some(runs) = self.crashes.get(&part) else { return Vec::new() };
        let times = separate_times(runs.values());
        let mut newest: Vec<(&RunHash, &Timestamp)> =
            runs.iter().filter(|(_, at)| times.contains(at)).collect();
        newest.sort_by_key(|(_, at)| std::cmp::Reverse(**at));
        newest.truncate(MAX_REPORTED_CRASHES_PER_PART);
        let crash = |(run, at): (&RunHash, &Timestamp)| ReportedCrash {
            part,
            run: *run,
            age: age(*at, now),
        };
        newest.into_iter().map(crash).collect()
    }

    /// The last answers with those of the parts that were answered, each once.
    fn told_answers(
        &self,
        parts: impl Iterator<Item = PartHash>,
        now: Timestamp,
    ) -> impl Iterator<Item = ReportedAnswer> {
        let mut told = BTreeSet::new();
        parts.filter_map(move |part| {
            let answered = self.answers.get(&part)?;
            told.insert(part).then(|| ReportedAnswer { part, age: age(*answered, now) })
        })
    }

    /// The part that was answered last. That anything is answered shows that a crash has its cause in
    /// a part; a host that has just started cannot have seen it.
    fn newest_answered(&self) -> Option<PartHash> {
        self.answers.iter().max_by_key(|(_, at)| **at).map(|(part, _)| *part)
    }

    /// Takes over what another host tells.
    pub fn merge(&mut self, report: &PartReport, now: Timestamp) {
        let at = |age: u32| now.before(Duration::from_millis(u64::from(age) * AGE_UNIT_MS));
        for crash in &report.crashes {
            let crashed_at = at(crash.age);
            if now.since(crashed_at) < CRASH_RETENTION + self.trial_delay {
                self.implicate(crash.run, &[crash.part], crashed_at, now);
                self.record_end(crash.run, now);
            }
        }
        for answer in &report.answers {
            let answered_at = at(answer.age);
            self.last_answer = self.last_answer.max(Some(answered_at));
            self.clear(answer.part, answered_at, now);
        }
        evict_oldest(&mut self.answers, MAX_SERVED, |at| *at);
        if !report.crashes.is_empty() || !report.answers.is_empty() {
            self.evaluate(now);
        }
    }

    /// Implicates parts in a crash at `at`, unless they were answered later.
    fn implicate(&mut self, run: RunHash, parts: &[PartHash], at: Timestamp, now: Timestamp) {
        for part in parts {
            if self.answers.get(part).is_some_and(|answered| *answered > at) {
                self.cleared.insert(*part, now);
                evict_oldest(&mut self.cleared, MAX_CLEARED, |at| *at);
                continue;
            }
            let runs = self.crashes.entry(*part).or_default();
            let known = runs.entry(run).or_insert(at);
            *known = at.min(*known);
            evict_oldest(runs, MAX_CRASHES_PER_PART, |at| *at);
        }
        while self.crashes.len() > MAX_PARTS {
            let fewest = self.crashes.iter().min_by_key(|(_, runs)| {
                (runs.len(), runs.values().max().copied().unwrap_or_default())
            });
            let Some(part) = fewest.map(|(part, _)| *part) else { break };
            self.crashes.remove(&part);
        }
    }

    /// Clears a part of the crashes before an answer at `at`; whether it was implicated in any.
    fn clear(&mut self, part: PartHash, at: Timestamp, now: Timestamp) -> bool {
        let answered = self.answers.entry(part).or_insert(at);
        *answered = at.max(*answered);
        let Some(runs) = self.crashes.get_mut(&part) else { return false };
        let before = runs.len();
        runs.retain(|_, crashed| *crashed >= at);
        let is_cleared = runs.len() < before;
        if runs.is_empty() {
            self.crashes.remove(&part);
        }
        if is_cleared {
            self.cleared.insert(part, now);
            evict_oldest(&mut self.cleared, MAX_CLEARED, |at| *at);
        }
        is_cleared
    }

    /// Decides again which parts are blocked.
    ///
    /// A crash has one cause: a part that is implicated only in crashes which another one explains
    /// was merely beside it. Parts that were never answered are suspected first, then those with
    /// most crashes.
    fn evaluate(&mut self, now: Timestamp) {
        let suspects = self.crashes.keys().filter_map(|part| {
            let crashes = self.counted_crashes(*part, now);
            let times = separate_times(crashes.values());
            let first = *times.first()?;
            let was_answered = self.answers.contains_key(part);
            let had_time = !was_answered || now.since(first) >= PROOF_TIME;
            // While nothing is answered, no part can be told from the others.
            let are_others_answered = self.last_answer.is_some_and(|last| last > first);
            let is_suspect = times.len() >= MAX_CRASHES && had_time && are_others_answered;
            is_suspect.then_some((was_answered, std::cmp::Reverse(times.len()), *part, crashes))
        });
        let mut suspects: Vec<_> = suspects.collect();
        suspects.sort_by_key(|(was_answered, crashes, part, _)| (*was_answered, *crashes, *part));
        let (mut blocked, mut explained) = (BTreeMap::new(), BTreeSet::new());
        for (_, _, part, crashes) in suspects {
            let others = crashes.iter().filter(|(run, _)| !explained.contains(*run));
            let times = separate_times(others.map(|(_, at)| at));
            if let Some(oldest) = times.len().checked_sub(MAX_CRASHES) {
                blocked.insert(part, times[oldest] + self.retention(part));
                explained.extend(crashes.into_keys());
            }
        }
        self.blocked = blocked;
    }

    /// How long a crash counts against a part.
    fn retention(&self, part: PartHash) -> Duration {
        if self.answers.contains_key(&part) {
            ANSWERED_CRASH_RETENTION + self.trial_delay
        } else {
            CRASH_RETENTION + self.trial_delay
        }
    }

    fn counted_crashes(&self, part: PartHash, now: Timestamp) -> BTreeMap<RunHash, Timestamp> {
        let retention = self.retention(part);
        let crashes = self.crashes.get(&part).into_iter().flatten();
        let counted = crashes.filter(|(_, at)| now.since(**at) < retention);
        counted.map(|(run, at)| (*run, *at)).collect()
    }
}

fn age(at: Timestamp, now: Timestamp) -> u32 {
    u32::try_from(now.since(at).as_millis() as u64 / AGE_UNIT_MS).unwrap_or(u32::MAX)
}

/// Times of crashes, ascending, without those that follow another one closely.
fn separate_times<'a>(times: impl Iterator<Item = &'a Timestamp>) -> Vec<Timestamp> {
    let mut times: Vec<Timestamp> = times.copied().collect();
    times.sort_unstable();
    times.dedup_by(|next, kept| next.since(*kept) < CRASH_SEPARATION);
    times
}

/// Removes the quarter of the entries with the earliest times when there are more than `max`.
pub(crate) fn evict_oldest<K: Copy + Ord, V>(
    entries: &mut BTreeMap<K, V>,
    max: usize,
    time: impl Fn(&V) -> Timestamp,
) {
    if entries.len() <= max {
        return;
    }
    let mut oldest: Vec<(Timestamp, K)> =
        entries.iter().map(|(key, value)| (time(value), *key)).collect();
    oldest.sort_unstable();
    for (_, key) in oldest.into_iter().take(max.div_ceil(4)) {
        entries.remove(&key);
    }
}
