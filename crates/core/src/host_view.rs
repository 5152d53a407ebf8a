//! Which hosts are alive, as one host believes.
//!
//! Each host counts up a heartbeat and passes on the latest that it knows of others. A host whose
//! heartbeat no longer rises is taken for dead after [`EXPIRY_TIME`]. A host that hears from no other
//! cannot tell who is dead and keeps what it knew: taking the others for dead, it would claim what
//! they share for itself.

use crate::ids::HostId;
use crate::stable_hash::{hash_parts, mix};
use crate::units::Timestamp;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::time::Duration;

/// Time without a new heartbeat after which a host is taken for dead.
pub const EXPIRY_TIME: Duration = Duration::from_secs(10);
/// Time from a host's first report to others until all of them count with it.
pub const SETTLE_TIME: Duration = Duration::from_secs(4);
/// Time without any report of others after which a host counts as out of touch.
const CONTACT_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Maximum number of hosts; above what deployments have.
const MAX_HOSTS: usize = 1_024;
/// Maximum number of other hosts in a report.
const MAX_REPORTED: usize = 24;

/// Compact id of a host.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct HostHash(u32);

impl HostHash {
    /// Hashes a host's name.
    #[must_use]
    pub fn new(host: &HostId) -> Self {
        Self(hash_parts(&[host.as_str()]) as u32)
    }

    /// The hash as a number.
    #[must_use]
    pub const fn get(self) -> u32 {
        self.0
    }
}

/// A counter that a host increments with each report; it wraps around.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat(u16);

impl Heartbeat {
    /// A heartbeat with this number.
    #[must_use]
    pub const fn new(number: u16) -> Self {
        Self(number)
    }

    const fn next(self) -> Self {
        Self(self.0.wrapping_add(1))
    }

    /// Whether it follows another one, by less than half of its range.
    const fn follows(self, other: Self) -> bool {
        let steps = self.0.wrapping_sub(other.0);
        steps != 0 && steps < u16::MAX / 2
    }
}

/// The latest heartbeat of a host, as told to others.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReportedHost {
    host: HostHash,
    heartbeat: Heartbeat,
}

/// What a host tells others about who is alive.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostReport {
    /// Heartbeat of the sender.
    pub heartbeat: Heartbeat,
    /// Heartbeats of others.
    pub others: Vec<ReportedHost>,
}

#[derive(Clone, Copy, Debug)]
struct KnownHost {
    /// `None` for a host that only the store's list names.
    heartbeat: Option<Heartbeat>,
    heard_at: Timestamp,
}

/// A span in which other hosts were heard from without a long pause.
#[derive(Clone, Copy, Debug)]
struct ContactSpan {
    since: Timestamp,
    last: Timestamp,
}

/// The hosts that one host believes to be alive.
///
/// ```
/// use oleander_core::host_view::{EXPIRY_TIME, Heartbeat, HostHash, HostView};
/// use oleander_core::units::Timestamp;
///
/// let [one, two, three] =
///     ["host-1", "host-2", "host-3"].map(|host| HostHash::new(&host.parse().unwrap()));
/// let start = Timestamp::from_millis(1_000);
/// let mut view = HostView::new(one, Heartbeat::default());
/// view.register([one, two, three], start);
/// assert_eq!(view.live(start).len(), 3);
/// // Only the second host is heard from.
/// let mut other = HostView::new(two, Heartbeat::default());
/// let later = start + EXPIRY_TIME;
/// for at in [start, later] {
///     view.merge(two, &other.report(at), at);
/// }
/// assert_eq!(view.live(later).len(), 3, "out of touch until a moment ago");
/// ```
#[derive(Clone, Debug)]
pub struct HostView {
    me: HostHash,
    heartbeat: Heartbeat,
    hosts: BTreeMap<HostHash, KnownHost>,
    contact: Option<ContactSpan>,
    /// When the store's list was first read.
    joined_at: Option<Timestamp>,
    /// Rotates the hosts that are reported.
    reports: usize,
}

impl HostView {
    /// Creates the view of a host that knows no other. After a restart `heartbeat` must follow the
    /// one before.
    #[must_use]
    pub const fn new(me: HostHash, heartbeat: Heartbeat) -> Self {
        let hosts = BTreeMap::new();
        Self { me, heartbeat, hosts, contact: None, joined_at: None, reports: 0 }
    }

    /// The host whose view it is.
    #[must_use]
    pub const fn me(&self) -> HostHash {
        self.me
    }

    /// Adds the hosts that the store lists; some of them may be gone.
    pub fn register(&mut self, hosts: impl IntoIterator<Item = HostHash>, now: Timestamp) {
        self.joined_at.get_or_insert(now);
        for host in hosts {
            self.known(host, now);
        }
    }

    /// Takes over what another host tells, which was heard from just now.
    pub fn merge(&mut self, sender: HostHash, report: &HostReport, now: Timestamp) {
        let contact = self.contact.get_or_insert(ContactSpan { since: now, last: now });
        if now.since(contact.last) > CONTACT_TIMEOUT {
            contact.since = now;
        }
        contact.last = now;
        if let Some(known) = self.known(sender, now) {
            // Its clock, from which its first heartbeat is taken, may have been set back.
            *known = KnownHost { heartbeat: Some(report.heartbeat), heard_at: now };
        }
        for reported in &report.others {
            let Some(known) = self.known(reported.host, now) else { continue };
            if known.heartbeat.is_none_or(|known| reported.heartbeat.follows(known)) {
                *known = KnownHost { heartbeat: Some(reported.heartbeat), heard_at: now };
            }
        }
    }

    /// What other hosts should know: this host's next heartbeat and those of others in turn.
    pub fn report(&mut self, now: Timestamp) -> HostReport {
        self.heartbeat = self.heartbeat.next();
        let alive = self.hosts.iter().filter(|(_, known)| self.is_live(known, now));
        let beating = alive.filter_map(|(host, known)| {
            Some(ReportedHost { host: *host, heartbeat: known.heartbeat? })
        });
        let mut others: Vec<ReportedHost> = beating.collect();
        if others.len() > MAX_REPORTED {
            let start = self.reports.wrapping_mul(MAX_REPORTED) % others.len();
            others.rotate_left(start);
            others.truncate(MAX_REPORTED);
        }
        self.reports = self.reports.wrapping_add(1);
        HostReport { heartbeat: self.heartbeat, others }
    }

    /// The hosts that are alive, this one included.
    #[must_use]
    pub fn live(&self, now: Timestamp) -> Vec<HostHash> {
        let others = self.hosts.iter().filter(|(_, known)| self.is_live(known, now));
        std::iter::once(self.me).chain(others.map(|(host, _)| *host)).collect()
    }

    /// The hosts that were heard from, or first listed, within `silence`, this one included. Unlike
    /// [`HostView::live`] it keeps hosts that may only be paused or cut off from this one.
    #[must_use]
    pub fn members(&self, silence: Duration, now: Timestamp) -> Vec<HostHash> {
        let others = self.hosts.iter().filter(|(_, known)| self.is_heard(known, silence, now));
        std::iter::once(self.me).chain(others.map(|(host, _)| *host)).collect()
    }

    /// Whether another host was heard from just now, or none is known.
    #[must_use]
    pub fn is_in_touch(&self, now: Timestamp) -> bool {
        self.hosts.is_empty()
            || self.contact.is_some_and(|contact| now.since(contact.last) <= CONTACT_TIMEOUT)
    }

    /// Whether this host is the first one in the order of a key, among those that are alive. None is
    /// as long as it has not settled, or is out of touch with others that it knows.
    #[must_use]
    pub fn is_first(&self, key: u64, now: Timestamp) -> bool {
        let rank = |host: HostHash| (mix(key ^ u64::from(host.get())), host);
        let first = self.live(now).into_iter().min_by_key(|host| rank(*host));
        self.is_settled(now) && self.is_in_touch(now) && first == Some(self.me)
    }

    /// Whether the store's list was read, so that this host knows of the others.
    #[must_use]
    pub const fn knows_others(&self) -> bool {
        self.joined_at.is_some()
    }

    /// Whether other hosts have had the time to learn of this one.
    #[must_use]
    pub fn is_settled(&self, now: Timestamp) -> bool {
        self.joined_at.is_some_and(|joined| now.since(joined) >= SETTLE_TIME)
    }

    fn is_live(&self, known: &KnownHost, now: Timestamp) -> bool {
        self.is_heard(known, EXPIRY_TIME, now)
    }

    fn is_heard(&self, known: &KnownHost, silence: Duration, now: Timestamp) -> bool {
        let Some(contact) = self.contact else { return true };
        let is_in_touch = now.since(contact.last) <= CONTACT_TIMEOUT;
        let silent_for = now.since(known.heard_at).min(now.since(contact.since));
        !is_in_touch || silent_for < silence
    }

    /// The entry of another host, added if there is room. Dead hosts stay, so that they do not come
    /// back by a report of one that has not noticed yet.
    fn known(&mut self, host: HostHash, now: Timestamp) -> Option<&mut KnownHost> {
        let is_full = self.hosts.len() >= MAX_HOSTS && !self.hosts.contains_key(&host);
        if host == self.me {
            return None;
        }
        if is_full {
            let longest = self.hosts.iter().min_by_key(|(_, known)| known.heard_at);
            let longest = longest.map(|(host, _)| *host)?;
            self.hosts.remove(&longest);
        }
        Some(self.hosts.entry(host).or_insert(KnownHost { heartbeat: None, heard_at: now }))
    }
}
