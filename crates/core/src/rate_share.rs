//! Shares of a client account's rate over the entries, by their demand.
//!
//! One coordinator per account hands out grants that expire. It never hands out what another
//! unexpired grant may still use, so that the sum stays within the rate whatever replies are
//! lost, late or doubled. A tenth of the rate is not handed out: each entry always has its
//! equal part of it.

use crate::ids::{HostId, Sequence};
use crate::membership::record::MemberTag;
use crate::units::Timestamp;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::time::Duration;

/// Part of an account's rate that every entry has a share of without asking.
pub const BASE_FRACTION: f64 = 0.1;

/// Room above the reported demand, so that a growing demand is not refused at once.
const GROWTH_ROOM: f64 = 1.25;

/// Shortest life of a grant.
pub const MIN_GRANT_LIFETIME: Duration = Duration::from_secs(10);

/// Entries that report once a second; with more entries each reports less often.
const ENTRIES_PER_SECOND: usize = 25;

/// Most grants of one entry that may be in use at once.
const MAX_GRANTS: usize = 64;

/// Time from one report of an entry to the next, with so many entries.
#[must_use]
pub fn report_interval(entries: usize) -> Duration {
    Duration::from_secs(1).mul_f64((entries as f64 / ENTRIES_PER_SECOND as f64).max(1.0))
}

/// Life of a grant, with so many entries: three reports at least.
#[must_use]
pub fn grant_lifetime(entries: usize) -> Duration {
    MIN_GRANT_LIFETIME.max(report_interval(entries) * 3)
}

/// Part of what no demand needs that is handed out all the same, as room for demands that
/// grow. The rest is kept back for an entry whose demand rises at once.
const ROOM_PART: f64 = 0.5;

/// Divides a rate over demands: nobody gets more than its demand while another lacks. Half of
/// what is left over is divided equally; the other half is kept back, unless there is only one.
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
    let mut left = rate;
    for (passed, &index) in order.iter().enumerate() {
        let equal = left / (demands.len() - passed) as f64;
        shares[index] = demands[index].clamp(0.0, equal);
        left -= shares[index];
    }
    let handed_out = if demands.len() > 1 { left * ROOM_PART } else { left };
    let room = handed_out / demands.len().max(1) as f64;
    shares.iter().map(|share| share + room).collect()
}

/// What an entry holds of an account's rate, beside its part of the base.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct HeldShare {
    /// Requests a second.
    pub amount: f64,
    /// Who granted it; `None` for the first share of an entry that has just started.
    pub grantor: Option<MemberTag>,
    /// Sequence of the grant at its grantor.
    pub sequence: Sequence,
}

/// What an entry reports of one account.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct DemandReport {
    /// Requests a second that asked for admission.
    pub demand: f64,
    /// What the entry holds.
    pub held: HeldShare,
}

/// What a coordinator grants to an entry.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct ShareGrant {
    /// Requests a second.
    pub amount: f64,
    /// Who grants it.
    pub grantor: MemberTag,
    /// Grows with every grant of the grantor.
    pub sequence: Sequence,
    /// Milliseconds of its life, from when the entry sent its report.
    pub life_millis: u32,
}

/// Terms of an account on its coordinator.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ShareTerms {
    /// Requests a second over all entries.
    pub rate: f64,
    /// Life of a grant.
    pub lifetime: Duration,
    /// Until then, grants of an earlier coordinator may be in use: only what entries say they
    /// hold is divided.
    pub settling_until: Timestamp,
}

#[derive(Clone, Debug)]
struct Outstanding {
    amount: f64,
    expires: Timestamp,
}

#[derive(Clone, Debug, Default)]
struct EntryAccount {
    demand: f64,
    heard: Timestamp,
    grants: BTreeMap<Sequence, Outstanding>,
    carried: Option<Outstanding>,
}

impl EntryAccount {
    /// The most that the entry may be using.
    fn in_use(&self, now: Timestamp) -> f64 {
        let grants = self.grants.values().chain(&self.carried);
        let unexpired = grants.filter(|grant| grant.expires > now);
        unexpired.map(|grant| grant.amount).fold(0.0, f64::max)
    }

    fn is_spent(&self, life: Duration, now: Timestamp) -> bool {
        now.since(self.heard) >= life && self.in_use(now) <= 0.0
    }
}

/// One account on its coordinator.
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
    entries: BTreeMap<HostId, EntryAccount>,
    carried_sum: f64,
}

impl AccountShares {
    /// An account that nobody has reported yet. Sequences begin at the time, so that they grow
    /// over restarts.
    #[must_use]
    pub const fn new(me: MemberTag, now: Timestamp) -> Self {
        let next_sequence = Sequence::new(now.as_millis());
        Self { me, next_sequence, entries: BTreeMap::new(), carried_sum: 0.0 }
    }

    /// Begins anew to settle: this process has just become the account's coordinator, perhaps
    /// not for the first time.
    pub fn start_settling(&mut self, now: Timestamp) {
        self.carried_sum = self.entries.values().map(|known| known.in_use(now)).sum();
    }

    /// Whether nobody holds or asks for anything.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Takes an entry's report in and answers it with a grant.
    pub fn report(
        &mut self,
        entry: &HostId,
        report: &DemandReport,
        terms: &ShareTerms,
        now: Timestamp,
    ) -> ShareGrant {
        self.entries.retain(|_, known| !known.is_spent(terms.lifetime, now));
        self.note(entry, report, terms, now);
        let amount = self.affordable(entry, terms, now).min(self.target(entry, terms, now));
        let sequence = self.next_sequence;
        self.next_sequence = sequence.next();
        let granted = Outstanding { amount, expires: now + terms.lifetime };
        let known = self.entries.entry(entry.clone()).or_default();
        let amount = if known.grants.len() < MAX_GRANTS { amount } else { 0.0 };
        if amount > 0.0 {
            known.grants.insert(sequence, granted);
        }
        let life_millis = terms.lifetime.as_millis() as u32;
        ShareGrant { amount, grantor: self.me, sequence, life_millis }
    }

    fn note(&mut self, entry: &HostId, report: &DemandReport, terms: &ShareTerms, now: Timestamp) {
        let known = self.entries.entry(entry.clone()).or_default();
        let before = known.in_use(now);
        known.demand = finite(report.demand);
        known.heard = now;
        known.grants.retain(|_, grant| grant.expires > now);
        let held = report.held;
        if held.grantor == Some(self.me) {
            // Grants before the one that is held will never be taken up.
            known.grants.retain(|sequence, _| *sequence >= held.sequence);
            known.carried = None;
            return;
        }
        let amount = finite(held.amount).min(terms.rate);
        if amount > 0.0 {
            known.carried = Some(Outstanding { amount, expires: now + terms.lifetime });
            self.carried_sum += (amount - before).max(0.0);
        }
    }

    fn pool(&self, terms: &ShareTerms, now: Timestamp) -> f64 {
        let whole = terms.rate * (1.0 - BASE_FRACTION);
        match now < terms.settling_until {
            true => self.carried_sum.min(whole),
            false => whole,
        }
    }

    /// What no other entry may be using.
    fn affordable(&self, entry: &HostId, terms: &ShareTerms, now: Timestamp) -> f64 {
        let others = self.entries.iter().filter(|(id, _)| *id != entry);
        let used: f64 = others.map(|(_, known)| known.in_use(now)).sum();
        (self.pool(terms, now) - used).max(0.0)
    }

    fn target(&self, entry: &HostId, terms: &ShareTerms, now: Timestamp) -> f64 {
        let asking =
            || self.entries.iter().filter(|(_, known)| now.since(known.heard) < terms.lifetime);
        let demands: Vec<f64> = asking().map(|(_, known)| known.demand * GROWTH_ROOM).collect();
        let index = asking().position(|(id, _)| id == entry);
        let shares = divide(self.pool(terms, now), &demands);
        index.and_then(|index| shares.get(index).copied()).unwrap_or(0.0)
    }
}

/// A peer's number, or zero when it is none.
fn finite(number: f64) -> f64 {
    if number.is_finite() { number.max(0.0) } else { 0.0 }
}

/// What one entry holds of one account.
#[derive(Clone, Debug, PartialEq)]
pub struct EntryShare {
    held: HeldShare,
    expires: Timestamp,
    lowered: bool,
}

impl EntryShare {
    /// An account that this entry has not been granted anything of. An entry that has just
    /// started may use its equal part until `until`, so that a start of every process at once
    /// refuses nobody.
    #[must_use]
    pub const fn new(equal_part: f64, until: Timestamp) -> Self {
        let held = HeldShare { amount: equal_part, grantor: None, sequence: Sequence::new(0) };
        Self { held, expires: until, lowered: false }
    }

    /// What is held now.
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

    /// The time for which it is held.
    #[must_use]
    pub const fn left(&self, now: Timestamp) -> Duration {
        self.expires.since(now)
    }

    /// Takes a grant that answers a report sent at `sent_at`. One that is older than what is
    /// held is ignored.
    pub fn apply_grant(&mut self, grant: &ShareGrant, sent_at: Timestamp) {
        let same = self.held.grantor == Some(grant.grantor);
        if same && grant.sequence <= self.held.sequence {
            return;
        }
        self.lowered = grant.amount < self.held.amount;
        self.held = HeldShare {
            amount: finite(grant.amount),
            grantor: Some(grant.grantor),
            sequence: grant.sequence,
        };
        self.expires = sent_at + Duration::from_millis(grant.life_millis.into());
    }
}
