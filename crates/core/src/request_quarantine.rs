//! Finds requests that crash each upstream which runs them, and blocks them when they come again.
//!
//! A request is *implicated* in the end of an upstream when it was in flight there and had no answer.
//! Requests beside it are implicated as well, so one end proves nothing. A request is blocked when it
//! is implicated in [`MAX_ENDS`] ends of at least two causes, unless another request explains them: one
//! that is implicated in these ends and in more. Any answer clears a request of all ends before.
//!
//! Two ends may have one cause, such as a loss of power, if the request was sent to both upstreams
//! before either ended. One that was sent to the second after the first had ended was at fault
//! twice, however close the ends are.
//!
//! Hosts tell each other what they have seen. A blocked request is tried again twice in all, by one
//! host at a time and at one upstream, so that one that was blocked by mistake comes free: soon if
//! others are implicated in as many ends, since they were beside it or it beside them.

use crate::host_view::HostHash;
use crate::part_quarantine::{RunHash, evict_oldest};
use crate::request_hash::RequestHash;
use crate::stable_hash::mix;
use crate::units::Timestamp;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Number of ends from which a request is blocked.
pub const MAX_ENDS: usize = 3;
/// Time that a request which was answered before has to be answered again, before it is blocked.
const PROOF_TIME: Duration = Duration::from_secs(8);
/// Number of requests that may be blocked for the same number of ends. More of them show that the
/// upstreams end for another cause, or that no request can be told from those beside it yet.
const MAX_TIED: usize = 4;
/// Ends at least this far from each other have different causes.
const CAUSE_SEPARATION: Duration = Duration::from_millis(250);
/// Maximum error of times that another host has told.
const TOLD_TOLERANCE: Duration = Duration::from_millis(150);
/// Time after which an end is forgotten.
pub const END_RETENTION: Duration = Duration::from_secs(3_600);
/// Times from the end that blocked a request to its trials.
pub const TRIAL_DELAYS: [Duration; 2] = [Duration::from_secs(300), Duration::from_secs(1_200)];
/// Time to the first trial of a request that is blocked together with others.
pub const TIED_TRIAL_DELAY: Duration = Duration::from_secs(3);
/// Time within which the loss of a request is put down to the end of its upstream.
const LOSS_TIME: Duration = Duration::from_secs(4);
/// Maximum number of requests that are implicated in ends, and of ends of one request.
const MAX_SUSPECTS: usize = 512;
const MAX_ENDS_PER_SUSPECT: usize = 8;
/// Maximum number of upstreams with lost requests, and of upstreams known to have ended.
const MAX_UPSTREAMS: usize = 256;
/// Maximum number of requests whose last answer is remembered.
const MAX_ANSWERED: usize = 1_024;
/// Time for which one end, or an answer that clears a request, is told to others.
const TELL_TIME: Duration = Duration::from_secs(10);
/// Maximum number of ends and of answers in a report, and of ends of one request.
const MAX_REPORTED_ENDS: usize = 14;
const MAX_REPORTED_ENDS_PER_SUSPECT: usize = 4;
const MAX_REPORTED_ANSWERS: usize = 6;
/// Maximum number of requests that are kept for hosts that start later.
const MAX_KEPT_SUSPECTS: usize = 64;
/// Unit of times in reports, in milliseconds.
const TIME_UNIT_MS: u64 = 10;
/// Maximum error of the difference of two times that one host has told.
const ROUNDING_ERROR: Duration = Duration::from_millis(2 * TIME_UNIT_MS);

/// The end of an upstream as told to other hosts, with times in units of 10 ms.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct ReportedEnd {
    run: RunHash,
    observer: HostHash,
    /// Time since the request was lost.
    age: u32,
    /// Time from its sending until then.
    ran: u16,
}

/// A request that is implicated in ends, as told to other hosts.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReportedSuspect {
    request: RequestHash,
    trials: u8,
    ends: Vec<ReportedEnd>,
}

/// An answer that clears a request, as told to other hosts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReportedClearance {
    request: RequestHash,
    /// Age in units of 10 ms.
    age: u32,
}

/// What a host tells others.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestReport {
    /// Implicated requests.
    pub suspects: Vec<ReportedSuspect>,
    /// Answers that clear requests.
    pub clearances: Vec<ReportedClearance>,
}

impl RequestReport {
    /// Number of ends and answers.
    #[must_use]
    pub fn len(&self) -> usize {
        let ends: usize = self.suspects.iter().map(|suspect| suspect.ends.len()).sum();
        ends + self.clearances.len()
    }

    /// The report as it is when it was made this long ago.
    #[must_use]
    pub fn aged(mut self, by: Duration) -> Self {
        let units = u32::try_from(time_units(by)).unwrap_or(u32::MAX);
        let ends = self.suspects.iter_mut().flat_map(|suspect| &mut suspect.ends);
        let ages = ends.map(|end| &mut end.age);
        for age in ages.chain(self.clearances.iter_mut().map(|clearance| &mut clearance.age)) {
            *age = age.saturating_add(units);
        }
        self
    }

    /// Whether there is nothing to tell.
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        self.suspects.is_empty() && self.clearances.is_empty()
    }
}

/// Whether a request may be sent to an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestPermission {
    /// It may.
    Open,
    /// Once, and only if [`RequestQuarantine::begin_trial`] is called before.
    Trial,
    /// Not before this time.
    Blocked(Timestamp),
}

/// One loss of a request on an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct RequestLoss {
    observer: HostHash,
    sent_at: Timestamp,
    lost_at: Timestamp,
}

impl RequestLoss {
    /// Whether it has another cause than an earlier one.
    fn is_separate_from(&self, earlier: &Self) -> bool {
        let is_sent_after = if self.observer == earlier.observer {
            self.sent_at + ROUNDING_ERROR >= earlier.lost_at
        } else {
            self.sent_at >= earlier.lost_at + TOLD_TOLERANCE
        };
        is_sent_after || self.lost_at.since(earlier.lost_at) >= CAUSE_SEPARATION
    }
}

#[derive(Clone, Debug, Default)]
struct RequestSuspect {
    ends: BTreeMap<RunHash, RequestLoss>,
    trials: u8,
    /// Whether this host has tried it.
    is_tried_here: bool,
}

/// What the store holds of a request.
#[derive(Clone, Debug, Default)]
struct SavedRequest {
    runs: BTreeSet<RunHash>,
    trials: u8,
}

impl SavedRequest {
    fn covers(&self, suspect: &ReportedSuspect) -> bool {
        suspect.trials <= self.trials && suspect.ends.iter().all(|end| self.runs.contains(&end.run))
    }
}

impl RequestSuspect {
    fn newest(&self) -> Timestamp {
        self.ends.values().map(|loss| loss.lost_at).max().unwrap_or_default()
    }

    /// When the end was seen from which the request is blocked, without the ends of `explained` runs;
    /// `None` if they are too few or of one cause.
    fn blocked_since(&self, explained: &BTreeSet<RunHash>) -> Option<Timestamp> {
        let ends = self.ends.iter().filter(|(run, _)| !explained.contains(run));
        let mut losses: Vec<RequestLoss> = ends.map(|(_, loss)| *loss).collect();
        losses.sort_unstable_by_key(|loss| loss.lost_at);
        let decisive = losses.get(MAX_ENDS - 1)?;
        separate_pair(&losses).map(|_| decisive.lost_at)
    }

    /// The ends to tell others: two of different causes first, if there are any, then the earliest.
    fn told_ends(&self) -> Vec<(RunHash, RequestLoss)> {
        let mut ends: Vec<(RunHash, RequestLoss)> =
            self.ends.iter().map(|(run, loss)| (*run, *loss)).collect();
        ends.sort_unstable_by_key(|(_, loss)| loss.lost_at);
        let losses: Vec<RequestLoss> = ends.iter().map(|(_, loss)| *loss).collect();
        if let Some((earlier, later)) = separate_pair(&losses) {
            ends.swap(0, earlier);
            ends.swap(1, later);
        }
        ends.truncate(MAX_REPORTED_ENDS_PER_SUSPECT);
        ends
    }
}

fn time_units(time: Duration) -> u64 {
    time.as_millis() as u64 / TIME_UNIT_MS
}

fn age_units(at: Timestamp, now: Timestamp) -> u32 {
    u32::try_from(time_units(now.since(at))).unwrap_or(u32::MAX)
}

/// A suspect with at most `max_ends` of its ends.
fn reported_suspect(
    request: RequestHash,
    suspect: &RequestSuspect,
    max_ends: usize,
    now: Timestamp,
) -> ReportedSuspect {
    let end = |(run, loss): (RunHash, RequestLoss)| ReportedEnd {
        run,
        observer: loss.observer,
        age: age_units(loss.lost_at, now),
        ran: u16::try_from(time_units(loss.lost_at.since(loss.sent_at))).unwrap_or(u16::MAX),
    };
    let ends = suspect.told_ends().into_iter().take(max_ends).map(end).collect();
    ReportedSuspect { request, trials: suspect.trials, ends }
}

/// The places of two losses of different causes.
fn separate_pair(losses: &[RequestLoss]) -> Option<(usize, usize)> {
    (0..losses.len()).find_map(|earlier| {
        let mut later = earlier + 1..losses.len();
        let found = later.find(|later| losses[*later].is_separate_from(&losses[earlier]))?;
        Some((earlier, found))
    })
}

#[derive(Clone, Copy, Debug)]
struct RequestBlock {
    /// When the end that blocked it was seen.
    since: Timestamp,
    /// Whether others are implicated in as many ends.
    is_tied: bool,
}

#[derive(Clone, Debug)]
struct PendingLoss {
    at: Timestamp,
    requests: BTreeMap<RequestHash, RequestLoss>,
}

/// What one host knows of the requests that crash upstreams.
///
/// ```
/// use oleander_core::host_view::HostHash;
/// use oleander_core::part_quarantine::RunHash;
/// use oleander_core::request_hash::RequestHash;
/// use oleander_core::request_quarantine::{RequestPermission, RequestQuarantine};
/// use oleander_core::units::Timestamp;
///
/// let mut quarantine = RequestQuarantine::new(HostHash::new(&"host-1".parse().unwrap()));
/// let [guilty, sound] = [b"guilty", b"sound "].map(|body| RequestHash::new(&[body]));
/// let at = Timestamp::from_millis;
/// for start in 1..=3 {
///     let (run, sent_at, now) = (RunHash::new("i-1", start), at(start * 100), at(start * 100 + 70));
///     quarantine.record_loss(run, guilty, sent_at, now);
///     quarantine.record_loss(run, sound, sent_at, now);
///     quarantine.record_end(run, now);
///     quarantine.record_answer(sound, at(start * 100 + 90));
/// }
/// let permission = |request| quarantine.permission(request, |_| false, at(400));
/// assert!(matches!(permission(guilty), RequestPermission::Blocked(_)));
/// assert_eq!(permission(sound), RequestPermission::Open);
/// ```
#[derive(Clone, Debug)]
pub struct RequestQuarantine {
    me: HostHash,
    pending: BTreeMap<RunHash, PendingLoss>,
    ended: BTreeMap<RunHash, Timestamp>,
    suspects: BTreeMap<RequestHash, RequestSuspect>,
    /// Last answers of requests that were implicated in ends.
    answers: BTreeMap<RequestHash, Timestamp>,
    /// Cleared requests, with the time at which one was last held to be implicated.
    cleared: BTreeMap<RequestHash, Timestamp>,
    blocked: BTreeMap<RequestHash, RequestBlock>,
    /// Requests of which the store holds ends or an answer, as far as this host knows.
    saved: BTreeMap<RequestHash, SavedRequest>,
    /// Whether this host was the last one to write it.
    is_saved_here: bool,
    /// Rotates the requests that are reported.
    reports: usize,
}

impl RequestQuarantine {
    /// Creates the quarantine of a host.
    #[must_use]
    pub const fn new(me: HostHash) -> Self {
        Self {
            me,
            pending: BTreeMap::new(),
            ended: BTreeMap::new(),
            suspects: BTreeMap::new(),
            answers: BTreeMap::new(),
            cleared: BTreeMap::new(),
            blocked: BTreeMap::new(),
            saved: BTreeMap::new(),
            is_saved_here: false,
            reports: 0,
        }
    }

    /// Whether no request is implicated in an end.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.suspects.is_empty()
    }

    /// Records that a request was lost on an upstream before it was answered. It counts if the
    /// upstream has ended; whether that should be found out, since it is not known and was not asked
    /// for yet.
    pub fn record_loss(
        &mut self,
        run: RunHash,
        request: RequestHash,
        sent_at: Timestamp,
        now: Timestamp,
    ) -> bool {
        let loss = RequestLoss { observer: self.me, sent_at, lost_at: now };
        if self.ended.contains_key(&run) {
            self.implicate(run, request, loss, now);
            self.evaluate(now);
            return false;
        }
        let is_first = !self.pending.contains_key(&run);
        let pending = PendingLoss { at: now, requests: BTreeMap::new() };
        self.pending.entry(run).or_insert(pending).requests.entry(request).or_insert(loss);
        evict_oldest(&mut self.pending, MAX_UPSTREAMS, |pending| pending.at);
        is_first
    }

    /// Records that an upstream has ended: it refuses connections, or was started again.
    pub fn record_end(&mut self, run: RunHash, now: Timestamp) {
        if self.ended.contains_key(&run) {
            return;
        }
        self.ended.insert(run, now);
        evict_oldest(&mut self.ended, MAX_UPSTREAMS, |at| *at);
        let Some(pending) = self.pending.remove(&run) else { return };
        if now.since(pending.at) <= LOSS_TIME {
            for (request, loss) in pending.requests {
                self.implicate(run, request, loss, now);
            }
            self.evaluate(now);
        }
    }

    /// Records that an upstream answered a request.
    pub fn record_answer(&mut self, request: RequestHash, now: Timestamp) {
        let is_suspect = self.suspects.contains_key(&request);
        self.clear(request, now, now);
        if is_suspect {
            self.evaluate(now);
        }
    }

    /// Whether a request may be sent; `is_first` tells whether this host is the first one in the
    /// order of a key, among those that are alive.
    #[must_use]
    pub fn permission(
        &self,
        request: RequestHash,
        is_first: impl FnOnce(u64) -> bool,
        now: Timestamp,
    ) -> RequestPermission {
        let Some(block) = self.blocked.get(&request) else { return RequestPermission::Open };
        let trials = self.suspects.get(&request).map_or(0, |suspect| suspect.trials);
        let delay = match TRIAL_DELAYS.get(usize::from(trials)) {
            None => return RequestPermission::Blocked(block.since + END_RETENTION),
            Some(_) if trials == 0 && block.is_tied => TIED_TRIAL_DELAY,
            Some(delay) => *delay,
        };
        let trial_at = block.since + delay;
        let key = mix(request.get().wrapping_add(u64::from(trials)));
        if now >= trial_at && is_first(key) {
            return RequestPermission::Trial;
        }
        // The first host may not get the request.
        RequestPermission::Blocked(trial_at.max(now + TIED_TRIAL_DELAY))
    }

    /// Begins a trial of a blocked request.
    pub fn begin_trial(&mut self, request: RequestHash) {
        if let Some(suspect) = self.suspects.get_mut(&request) {
            suspect.trials = suspect.trials.saturating_add(1);
            suspect.is_tried_here = true;
        }
    }

    /// The blocked requests.
    pub fn blocked(&self) -> impl Iterator<Item = RequestHash> {
        self.blocked.keys().copied()
    }

    /// Takes over what the store holds.
    pub fn restore(&mut self, report: &RequestReport, now: Timestamp) {
        self.record_saved(report, false);
        self.merge(report, now);
    }

    /// Records that the store holds a report and nothing else, which this host has written if `is_own`.
    pub fn record_saved(&mut self, report: &RequestReport, is_own: bool) {
        self.saved.clear();
        self.is_saved_here = is_own;
        for clearance in &report.clearances {
            self.saved.entry(clearance.request).or_default();
        }
        for suspect in &report.suspects {
            let saved = self.saved.entry(suspect.request).or_default();
            saved.runs.extend(suspect.ends.iter().map(|end| end.run));
            saved.trials = suspect.trials;
        }
    }

    /// What the store should hold, if that differs by anything that this host has to write: what it has
    /// seen or written itself, and the requests whose key it is `responsible` for, since hosts that
    /// saw it may be gone.
    #[must_use]
    pub fn unsaved_report(
        &self,
        responsible: impl Fn(u64) -> bool,
        now: Timestamp,
    ) -> Option<RequestReport> {
        if self.blocked.is_empty() && self.saved.is_empty() {
            return None;
        }
        let report = self.kept_report(now);
        let is_lacking = report.suspects.iter().any(|suspect| {
            let saved = self.saved.get(&suspect.request);
            !saved.is_some_and(|saved| saved.covers(suspect))
                && (self.is_observed(suspect.request) || responsible(suspect.request.get()))
        });
        let is_outdated = self.saved.iter().any(|(request, saved)| {
            let known = self.suspects.get(request);
            let is_kept = |run| known.is_some_and(|known| known.ends.contains_key(run));
            let is_cleared = self.answers.contains_key(request) && !saved.runs.iter().all(is_kept);
            is_cleared && (self.is_saved_here || responsible(request.get()))
        });
        (is_lacking || is_outdated).then_some(report)
    }

    /// What the store should hold: the blocked requests with what they are blocked for, the latest ones,
    /// and what it holds already and no answer has cleared, since another host may know more of it.
    #[must_use]
    pub fn kept_report(&self, now: Timestamp) -> RequestReport {
        let mut latest: Vec<(&RequestHash, &RequestBlock)> = self.blocked.iter().collect();
        latest.sort_by_key(|(_, block)| std::cmp::Reverse(block.since));
        let blocked = latest.into_iter().map(|(request, _)| request);
        let saved = self.saved.keys().filter(|request| !self.blocked.contains_key(request));
        let suspects = blocked.chain(saved).filter_map(|request| {
            let suspect = self.suspects.get(request)?;
            Some(reported_suspect(*request, suspect, usize::MAX, now))
        });
        let clearances = self.saved.keys().filter_map(|request| self.clearance(*request, now));
        RequestReport {
            suspects: suspects.take(MAX_KEPT_SUSPECTS).collect(),
            clearances: clearances.take(MAX_KEPT_SUSPECTS).collect(),
        }
    }

    /// The last answer of a request, if it has any.
    fn clearance(&self, request: RequestHash, now: Timestamp) -> Option<ReportedClearance> {
        let answered = self.answers.get(&request)?;
        Some(ReportedClearance { request, age: age_units(*answered, now) })
    }

    /// Whether this host has seen an end under a request or tried it itself.
    fn is_observed(&self, request: RequestHash) -> bool {
        self.suspects.get(&request).is_some_and(|suspect| {
            let has_seen = suspect.ends.values().any(|loss| loss.observer == self.me);
            suspect.is_tried_here || has_seen
        })
    }

    /// Number of entries that are kept.
    #[must_use]
    pub fn retained_entries(&self) -> usize {
        let pending: usize = self.pending.values().map(|pending| pending.requests.len()).sum();
        let ends: usize = self.suspects.values().map(|suspect| suspect.ends.len()).sum();
        pending + ends + self.ended.len() + self.answers.len() + self.cleared.len()
    }

    /// Forgets what is too old.
    pub fn expire(&mut self, now: Timestamp) {
        let is_recent = |at: Timestamp| now.since(at) < END_RETENTION;
        self.pending.retain(|_, pending| now.since(pending.at) <= LOSS_TIME);
        self.ended.retain(|_, at| is_recent(*at));
        self.answers.retain(|_, at| is_recent(*at));
        self.cleared.retain(|_, at| now.since(*at) < TELL_TIME);
        for suspect in self.suspects.values_mut() {
            suspect.ends.retain(|_, loss| is_recent(loss.lost_at));
        }
        self.suspects.retain(|_, suspect| !suspect.ends.is_empty());
        self.evaluate(now);
    }

    /// What other hosts should know: requests implicated in several ends, or in a recent one, in
    /// turn.
    pub fn report(&mut self, now: Timestamp) -> RequestReport {
        let is_told = |suspect: &RequestSuspect| {
            suspect.ends.len() > 1 || now.since(suspect.newest()) < TELL_TIME
        };
        let mut told: Vec<_> =
            self.suspects.iter().filter(|(_, suspect)| is_told(suspect)).collect();
        if !told.is_empty() {
            let start = self.reports.wrapping_mul(MAX_REPORTED_ENDS / 2) % told.len();
            told.rotate_left(start);
        }
        self.reports = self.reports.wrapping_add(1);
        let (mut suspects, mut left) = (Vec::new(), MAX_REPORTED_ENDS);
        for (request, suspect) in told {
            let reported = reported_suspect(*request, suspect, left, now);
            left -= reported.ends.len();
            suspects.push(reported);
            if left == 0 {
                break;
            }
        }
        let clearances = self.cleared.keys().filter_map(|request| self.clearance(*request, now));
        let clearances = clearances.take(MAX_REPORTED_ANSWERS).collect();
        RequestReport { suspects, clearances }
    }

    /// Takes over what another host tells.
    pub fn merge(&mut self, report: &RequestReport, now: Timestamp) {
        if report.is_empty() {
            return;
        }
        let before =
            |at: Timestamp, units: u64| at.before(Duration::from_millis(units * TIME_UNIT_MS));
        for reported in &report.suspects {
            for end in &reported.ends {
                let lost_at = before(now, end.age.into());
                if now.since(lost_at) >= END_RETENTION {
                    continue;
                }
                let sent_at = before(lost_at, end.ran.into());
                let loss = RequestLoss { observer: end.observer, sent_at, lost_at };
                self.implicate(end.run, reported.request, loss, now);
                self.record_end(end.run, now);
            }
            if let Some(suspect) = self.suspects.get_mut(&reported.request) {
                suspect.trials = suspect.trials.max(reported.trials);
            }
        }
        for clearance in &report.clearances {
            self.clear(clearance.request, before(now, clearance.age.into()), now);
        }
        self.evaluate(now);
    }

    /// Implicates a request in an end, unless it was answered later.
    fn implicate(&mut self, run: RunHash, request: RequestHash, loss: RequestLoss, now: Timestamp) {
        if self.answers.get(&request).is_some_and(|answered| *answered > loss.lost_at) {
            self.cleared.insert(request, now);
            evict_oldest(&mut self.cleared, MAX_ANSWERED, |at| *at);
            return;
        }
        let suspect = self.suspects.entry(request).or_default();
        if suspect.ends.len() >= MAX_ENDS_PER_SUSPECT && !suspect.ends.contains_key(&run) {
            // The first ones decide.
            return;
        }
        let known = suspect.ends.entry(run).or_insert(loss);
        // What this host has seen itself is exact, and of several reports the first one is.
        if loss.lost_at < known.lost_at && known.observer != self.me {
            *known = loss;
        }
        if self.suspects.len() > MAX_SUSPECTS {
            let least = self
                .suspects
                .iter()
                .min_by_key(|(_, suspect)| (suspect.ends.len(), suspect.newest()));
            if let Some(request) = least.map(|(request, _)| *request) {
                self.suspects.remove(&request);
            }
        }
    }

    /// Clears a request of the ends before an answer at `at`.
    fn clear(&mut self, request: RequestHash, at: Timestamp, now: Timestamp) {
        let answered = self.answers.entry(request).or_insert(at);
        *answered = at.max(*answered);
        evict_oldest(&mut self.answers, MAX_ANSWERED, |at| *at);
        let Some(suspect) = self.suspects.get_mut(&request) else { return };
        let before = suspect.ends.len();
        suspect.ends.retain(|_, loss| loss.lost_at >= at);
        let is_cleared = suspect.ends.len() < before;
        if suspect.ends.is_empty() {
            self.suspects.remove(&request);
        }
        if is_cleared {
            self.cleared.insert(request, now);
            evict_oldest(&mut self.cleared, MAX_ANSWERED, |at| *at);
        }
    }

    /// Decides again which requests are blocked: those with most ends first, so that what they
    /// explain does not count against others. Requests with the same number of ends explain nothing
    /// of each other; a trial tells them apart.
    fn evaluate(&mut self, now: Timestamp) {
        let none = BTreeSet::new();
        let mut groups: BTreeMap<usize, Vec<RequestHash>> = BTreeMap::new();
        for (request, suspect) in &self.suspects {
            if suspect.blocked_since(&none).is_some() {
                groups.entry(suspect.ends.len()).or_default().push(*request);
            }
        }
        let (mut blocked, mut explained) = (BTreeMap::new(), BTreeSet::new());
        for group in groups.into_values().rev() {
            let since = |request: &RequestHash| {
                let suspect = &self.suspects[request];
                let since = suspect.blocked_since(&explained)?;
                let had_time =
                    !self.answers.contains_key(request) || now.since(since) >= PROOF_TIME;
                had_time.then_some((*request, since))
            };
            let found: Vec<(RequestHash, Timestamp)> = group.iter().filter_map(since).collect();
            if found.len() > MAX_TIED {
                continue;
            }
            let is_tied = found.len() > 1;
            for (request, since) in found {
                blocked.insert(request, RequestBlock { since, is_tied });
                explained.extend(self.suspects[&request].ends.keys().copied());
            }
        }
        self.blocked = blocked;
    }
}
