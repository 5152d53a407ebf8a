//! Distribution of a client account's rate over the entries, by demand. An entry is a process that
//! serves client requests.
//!
//! One coordinator per account issues grants that expire. It never issues rate that another
//! unexpired grant may still use, so the sum stays within the rate even if replies are lost,
//! delayed or duplicated. A tenth of the rate is not granted: each entry always has an equal
//! share of it.

use crate::ids::{HostId, Sequence};
use crate::membership::record::MemberTag;
use crate::units::Timestamp;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::time::Duration;

/// Fraction of an account's rate that is divided equally over the entries without grants.
pub const BASE_FRACTION: f64 = 0.1;

/// Headroom factor on the reported demand, so that a growing demand is not refused at once.
const GROWTH_FACTOR: f64 = 1.25;

/// Shortest lifetime of a grant.
pub const MIN_GRANT_LIFETIME: Duration = Duration::from_secs(10);

/// Reports per second over all entries; with more entries, each one reports less often.
const REPORTS_PER_SECOND: usize = 25;

/// Maximum number of unexpired grants of one entry.
const MAX_GRANTS: usize = 64;

/// Interval between two reports of one entry when there are `entries` entries.
#[must_use]
pub fn report_interval(entries: usize) -> Duration {
    Duration::from_secs(1).mul_f64((entries as f64 / REPORTS_PER_SECOND as f64).max(1.0))
}

/// Lifetime of a grant when there are `entries` entries: at least three report intervals.
#[must_use]
pub fn grant_lifetime(entries: usize) -> Duration {
    MIN_GRANT_LIFETIME.max(report_interval(entries) * 3)
}

/// Fraction of the surplus over all demands that is granted anyway, as headroom for growing
/// demands. The rest is reserved for an entry whose demand rises suddenly.
const GRANTED_SURPLUS_FRACTION: f64 = 0.5;

/// Divides a rate over demands with max-min fairness: no share exceeds its demand while another
/// demand is unmet. Half of the surplus is divided equally; the other half is reserved, unless
/// there is only one demand.
///
/// ```
/// use oleander_core::rate_share::divide;
///
/// assert_eq!(divide(10.0, &[2.0, 100.0]), vec![2.0, 8.0]);
/// assert_eq!(divide(10.0, &[2.0, 4.0]), vec![3.0, 5.0]);
/// ```
#[must_use]
pub fn divide(rate: f64, demands: &[f64]) -> Vec<f64> {
    let mut order: Vec<usize> = (0..demands.len()).collect();
    order.sort_by(|&a, &b| demands[a].total_cmp(&demands[b]));
    let mut shares = vec![0.0; demands.len()];
    let mut remaining = rate;
    for (served, &index) in order.iter().enumerate() {
        let equal = remaining / (demands.len() - served) as f64;
        shares[index] = demands[index].clamp(0.0, equal);
        remaining -= shares[index];
    }
    let granted_surplus =
        if demands.len() > 1 { remaining * GRANTED_SURPLUS_FRACTION } else { remaining };
    let headroom = granted_surplus / demands.len().max(1) as f64;
    shares.iter().map(|share| share + headroom).collect()
}

/// The share of an account's rate that an entry holds, without its share of the base.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct HeldShare {
    /// Requests per second.
    pub amount: f64,
    /// The coordinator that granted it; `None` for the initial share of an entry that just started.
    pub grantor: Option<MemberTag>,
    /// Sequence number of the grant, assigned by its grantor.
    pub sequence: Sequence,
}

/// Report of an entry about one account.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct DemandReport {
    /// Requests per second that arrived for admission.
    pub demand: f64,
    /// The share that the entry holds.
    pub held: HeldShare,
}

/// Grant of a coordinator to an entry.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct ShareGrant {
    /// Requests per second.
    pub amount: f64,
    /// The coordinator that issues it.
    pub grantor: MemberTag,
    /// Sequence number, which grows with every grant of the grantor.
    pub sequence: Sequence,
    /// Lifetime in milliseconds, counted from when the entry sent its report.
    pub life_millis: u32,
}

/// Parameters of an account at its coordinator.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ShareTerms {
    /// Requests per second over all entries.
    pub rate: f64,
    /// Lifetime of a grant.
    pub lifetime: Duration,
    /// Until then, grants of an earlier coordinator may be in use, so only the sum of the shares
    /// that entries report is divided.
    pub settling_until: Timestamp,
}

#[derive(Clone, Debug)]
struct OutstandingGrant {
    amount: f64,
    expires: Timestamp,
}

#[derive(Clone, Debug, Default)]
struct EntryState {
    demand: f64,
    seen_at: Timestamp,
    grants: BTreeMap<Sequence, OutstandingGrant>,
    inherited: Option<OutstandingGrant>,
}

impl EntryState {
    /// The largest rate that the entry may be using.
    fn in_use(&self, now: Timestamp) -> f64 {
        let grants = self.grants.values().chain(&self.inherited);
        let unexpired = grants.filter(|grant| grant.expires > now);
        unexpired.map(|grant| grant.amount).fold(0.0, f64::max)
    }

    fn is_expired(&self, lifetime: Duration, now: Timestamp) -> bool {
        now.since(self.seen_at) >= lifetime && self.in_use(now) <= 0.0
    }
}

/// State of one account at its coordinator.
///
/// ```
/// use oleander_core::ids::{Incarnation, Sequence};
/// use oleander_core::membership::record::MemberTag;
/// use oleander_core::rate_share::{AccountShares, DemandReport, HeldShare, ShareTerms};
/// use oleander_core::units::Timestamp;
/// use std::time::Duration;
///
/// let me = MemberTag::new(&"host-1.steward".parse().unwrap(), Incarnation::new(1));
/// let now = Timestamp::from_millis(60_000);
/// let lifetime = Duration::from_secs(10);
/// let terms = ShareTerms { rate: 100.0, lifetime, settling_until: now };
/// let nothing = HeldShare { amount: 0.0, grantor: None, sequence: Sequence::default() };
/// let report = DemandReport { demand: 70.0, held: nothing };
/// let mut shares = AccountShares::new(me, now);
/// let grant = shares.report(&"host-2.entry".parse().unwrap(), &report, &terms, now);
/// assert_eq!(grant.amount, 90.0);
/// ```
#[derive(Clone, Debug)]
pub struct AccountShares {
    me: MemberTag,
    next_sequence: Sequence,
    entries: BTreeMap<HostId, EntryState>,
    inherited_sum: f64,
}

impl AccountShares {
    /// An account without any report. Sequence numbers start at the current time, so that they
    /// grow across restarts.
    #[must_use]
    pub const fn new(me: MemberTag, now: Timestamp) -> Self {
        let next_sequence = Sequence::new(now.as_millis());
        Self { me, next_sequence, entries: BTreeMap::new(), inherited_sum: 0.0 }
    }

    /// Starts a settling period. Called when this process becomes the account's coordinator,
    /// which may happen repeatedly.
    pub fn start_settling(&mut self, now: Timestamp) {
        self.inherited_sum = self.entries.values().map(|state| state.in_use(now)).sum();
    }

    /// Whether no entry holds or requests a share.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Processes an entry's report and answers it with a grant.
    pub fn report(
        &mut self,
        entry: &HostId,
        report: &DemandReport,
        terms: &ShareTerms,
        now: Timestamp,
    ) -> ShareGrant {
        self.entries.retain(|_, state| !state.is_expired(terms.lifetime, now));
        self.record_report(entry, report, terms, now);
        let amount = self.available(entry, terms, now).min(self.target(entry, terms, now));
        let sequence = self.next_sequence;
        self.next_sequence = sequence.next();
        let granted = OutstandingGrant { amount, expires: now + terms.lifetime };
        let state = self.entries.entry(entry.clone()).or_default();
        let amount = if state.grants.len() < MAX_GRANTS { amount } else { 0.0 };
        if amount > 0.0 {
            state.grants.insert(sequence, granted);
        }
        let life_millis = terms.lifetime.as_millis() as u32;
        ShareGrant { amount, grantor: self.me, sequence, life_millis }
    }

    fn record_report(
        &mut self,
        entry: &HostId,
        report: &DemandReport,
        terms: &ShareTerms,
        now: Timestamp,
    ) {
        let state = self.entries.entry(entry.clone()).or_default();
        let before = state.in_use(now);
        state.demand = non_negative(report.demand);
        state.seen_at = now;
        state.grants.retain(|_, grant| grant.expires > now);
        let held = report.held;
        if held.grantor == Some(self.me) {
            // The entry ignores grants older than the one that it holds.
            state.grants.retain(|sequence, _| *sequence >= held.sequence);
            state.inherited = None;
            return;
        }
        let amount = non_negative(held.amount).min(terms.rate);
        if amount > 0.0 {
            state.inherited = Some(OutstandingGrant { amount, expires: now + terms.lifetime });
            self.inherited_sum += (amount - before).max(0.0);
        }
    }

    /// The rate that may be granted to all entries together. Until the settling period ends, it is
    /// limited to the shares that entries already held.
    fn grantable_rate(&self, terms: &ShareTerms, now: Timestamp) -> f64 {
        let grantable = terms.rate * (1.0 - BASE_FRACTION);
        match now < terms.settling_until {
            true => self.inherited_sum.min(grantable),
            false => grantable,
        }
    }

    /// The rate that no other entry may be using.
    fn available(&self, entry: &HostId, terms: &ShareTerms, now: Timestamp) -> f64 {
        let other_entries = self.entries.iter().filter(|(id, _)| *id != entry);
        let used: f64 = other_entries.map(|(_, state)| state.in_use(now)).sum();
        (self.grantable_rate(terms, now) - used).max(0.0)
    }

    fn target(&self, entry: &HostId, terms: &ShareTerms, now: Timestamp) -> f64 {
        let active =
            || self.entries.iter().filter(|(_, state)| now.since(state.seen_at) < terms.lifetime);
        let demands: Vec<f64> = active().map(|(_, state)| state.demand * GROWTH_FACTOR).collect();
        let index = active().position(|(id, _)| id == entry);
        let shares = divide(self.grantable_rate(terms, now), &demands);
        index.and_then(|index| shares.get(index).copied()).unwrap_or(0.0)
    }
}

/// A number from a peer; zero when it is negative or not finite.
fn non_negative(number: f64) -> f64 {
    if number.is_finite() { number.max(0.0) } else { 0.0 }
}

/// The share of one account at one entry.
#[derive(Clone, Debug, PartialEq)]
pub struct EntryShare {
    held: HeldShare,
    expires: Timestamp,
    lowered: bool,
}

impl EntryShare {
    /// A share without any grant yet. An entry that has just started may use its equal share until
    /// `until`, so that no request is refused when all processes start at once.
    #[must_use]
    pub const fn new(equal_share: f64, until: Timestamp) -> Self {
        let held = HeldShare { amount: equal_share, grantor: None, sequence: Sequence::new(0) };
        Self { held, expires: until, lowered: false }
    }

    /// The share held at `now`.
    #[must_use]
    pub fn held(&self, now: Timestamp) -> HeldShare {
        match now < self.expires {
            true => self.held,
            false => HeldShare { amount: 0.0, ..self.held },
        }
    }

    /// Whether the last grant was lower than the one before.
    #[must_use]
    pub const fn was_lowered(&self) -> bool {
        self.lowered
    }

    /// The remaining time until the share expires.
    #[must_use]
    pub const fn left(&self, now: Timestamp) -> Duration {
        self.expires.since(now)
    }

    /// Applies a grant that answers a report sent at `sent_at`. A grant older than the held one is
    /// ignored.
    pub fn apply_grant(&mut self, grant: &ShareGrant, sent_at: Timestamp) {
        let same = self.held.grantor == Some(grant.grantor);
        if same && grant.sequence <= self.held.sequence {
            return;
        }
        self.lowered = grant.amount < self.held.amount;
        self.held = HeldShare {
            amount: non_negative(grant.amount),
            grantor: Some(grant.grantor),
            sequence: grant.sequence,
        };
        self.expires = sent_at + Duration::from_millis(grant.life_millis.into());
    }
}
