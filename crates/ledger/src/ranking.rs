//! Order in which ledgers are tried.

use oleander_core::ids::{DomainName, HostId, RegionName};
use oleander_core::ledger::shard::LedgerRoute;
use oleander_core::stable_hash::hash_parts;
use oleander_ports::members::{Member, MemberRole, MemberState};
use std::cmp::Reverse;

/// Ledgers for `route`: those of `region` first, then by rendezvous score, so that few ledgers
/// write for a shard and all entries of a region agree on them.
#[must_use]
pub fn ledgers_for(
    members: &[Member],
    route: LedgerRoute,
    region: Option<&RegionName>,
) -> Vec<Member> {
    let mut ledgers: Vec<Member> = members.iter().filter(|m| accepts_work(m)).cloned().collect();
    ledgers.sort_by_key(|ledger| {
        (region.is_some_and(|home| ledger.region != *home), Reverse(route.score(&ledger.id)))
    });
    ledgers
}

/// Location of a ledger.
#[derive(Clone, Debug)]
pub struct LedgerLocation {
    /// Host id of the ledger.
    pub host: HostId,
    /// Region of the ledger.
    pub region: RegionName,
    /// Failure domain of the ledger.
    pub domain: DomainName,
}

/// Ledgers in other failure domains that can hold copies for the ledger at `location`: those of its
/// region first, then by a score that gives each ledger a different order.
#[must_use]
pub fn backups_for(members: &[Member], location: &LedgerLocation) -> Vec<Member> {
    let other = |member: &&Member| accepts_work(member) && member.domain != location.domain;
    let mut backups: Vec<Member> = members.iter().filter(other).cloned().collect();
    backups.sort_by_key(|backup| {
        let score = hash_parts(&[location.host.as_str(), backup.id.as_str()]);
        (backup.region != location.region, Reverse(score))
    });
    backups
}

fn accepts_work(member: &Member) -> bool {
    member.role == MemberRole::Ledger && member.state == MemberState::Alive
}
