//! Which ledgers are asked, in which order.

use oleander_core::ids::{DomainName, HostId, RegionName};
use oleander_core::ledger::shard::LedgerRoute;
use oleander_core::stable_hash::hash_parts;
use oleander_ports::members::{Member, MemberRole, MemberState};
use std::cmp::Reverse;

/// Ledgers that take what goes by `route`: those of `region` first, then by rendezvous score, so
/// that few ledgers write for a shard and every entry of a region agrees on them.
#[must_use]
pub fn ledgers_for(
    members: &[Member],
    route: LedgerRoute,
    region: Option<&RegionName>,
) -> Vec<Member> {
    let mut ledgers: Vec<Member> = members.iter().filter(|m| takes_work(m)).cloned().collect();
    ledgers.sort_by_key(|ledger| {
        (region.is_some_and(|home| ledger.region != *home), Reverse(route.score(&ledger.id)))
    });
    ledgers
}

/// Where a ledger stands.
#[derive(Clone, Debug)]
pub struct LedgerPlace {
    /// Its id.
    pub host: HostId,
    /// Its region.
    pub region: RegionName,
    /// Its failure domain.
    pub domain: DomainName,
}

/// Ledgers in other failure domains that hold copies for the ledger at `place`: those of its
/// region first, in an order that differs from ledger to ledger.
#[must_use]
pub fn backups_for(members: &[Member], place: &LedgerPlace) -> Vec<Member> {
    let other = |member: &&Member| takes_work(member) && member.domain != place.domain;
    let mut backups: Vec<Member> = members.iter().filter(other).cloned().collect();
    backups.sort_by_key(|backup| {
        let score = hash_parts(&[place.host.as_str(), backup.id.as_str()]);
        (backup.region != place.region, Reverse(score))
    });
    backups
}

fn takes_work(member: &Member) -> bool {
    member.role == MemberRole::Ledger && member.state == MemberState::Alive
}
