//! Which entries share the rates and which process coordinates each account, according to the
//! membership of this process.

use oleander_core::ids::AccountName;
use oleander_core::membership::{Member, MemberRole, MemberState};
use oleander_core::stable_hash::hash_parts;
use oleander_core::units::Timestamp;
use std::time::Duration;

/// Time for which removed entries still count. They may only be unreachable from this process.
const PEAK_RETENTION: Duration = Duration::from_secs(600);

/// Number of entries that share the rates, and the coordinator of each account.
#[derive(Clone, Debug, Default)]
pub struct ShareView {
    coordinators: Vec<Member>,
    live: usize,
    peak: usize,
    peak_at: Timestamp,
}

impl ShareView {
    /// Updates the view with the current members.
    pub fn update(&mut self, members: &[Member], now: Timestamp) {
        self.live = of_role(members, MemberRole::Entry).count();
        if self.live >= self.peak || now.since(self.peak_at) >= PEAK_RETENTION {
            self.peak = self.live;
            self.peak_at = now;
        }
        let stewards: Vec<Member> = alive(members, MemberRole::Steward);
        self.coordinators = match stewards.is_empty() {
            true => alive(members, MemberRole::Entry),
            false => stewards,
        };
    }

    /// Number of entries that share the rates: the recent maximum, at least 1.
    #[must_use]
    pub fn entries(&self) -> usize {
        self.peak.max(1)
    }

    /// Fraction of the entries that this process sees. A coordinator grants at most this fraction
    /// of a rate, since the other entries may have another coordinator.
    #[must_use]
    pub fn visible_fraction(&self) -> f64 {
        self.live.max(1) as f64 / self.entries() as f64
    }

    /// The coordinator of an account, by rendezvous hashing: the candidate with the highest hash.
    #[must_use]
    pub fn coordinator(&self, account: &AccountName) -> Option<&Member> {
        let score = |member: &&Member| hash_parts(&[account.as_str(), member.id.as_str()]);
        self.coordinators.iter().max_by_key(score)
    }
}

fn of_role(members: &[Member], role: MemberRole) -> impl Iterator<Item = &Member> {
    members.iter().filter(move |member| member.role == role)
}

fn alive(members: &[Member], role: MemberRole) -> Vec<Member> {
    let is_alive = |member: &&Member| member.state == MemberState::Alive;
    of_role(members, role).filter(is_alive).cloned().collect()
}
