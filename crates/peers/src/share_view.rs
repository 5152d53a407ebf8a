//! Who shares the rates and who coordinates each account, by this process's membership.

use oleander_core::ids::AccountName;
use oleander_core::membership::{Member, MemberRole, MemberState};
use oleander_core::stable_hash::hash_parts;
use oleander_core::units::Timestamp;
use std::time::Duration;

/// Time for which entries that are gone still count: they may only be out of sight.
const PEAK_LIFE: Duration = Duration::from_secs(600);

/// Who shares the rates and who coordinates each account.
#[derive(Clone, Debug, Default)]
pub struct ShareView {
    coordinators: Vec<Member>,
    live: usize,
    peak: usize,
    peak_at: Timestamp,
}

impl ShareView {
    /// Takes the members in.
    pub fn update(&mut self, members: &[Member], now: Timestamp) {
        self.live = of_role(members, MemberRole::Entry).count();
        if self.live >= self.peak || now.since(self.peak_at) >= PEAK_LIFE {
            self.peak = self.live;
            self.peak_at = now;
        }
        let stewards: Vec<Member> = alive(members, MemberRole::Steward);
        self.coordinators = match stewards.is_empty() {
            true => alive(members, MemberRole::Entry),
            false => stewards,
        };
    }

    /// Entries that share the rates: the most that were seen lately, at least one.
    #[must_use]
    pub fn entries(&self) -> usize {
        self.peak.max(1)
    }

    /// The part of the entries that is in sight. A coordinator hands out no more than this
    /// part of a rate: the other entries may have a coordinator of their own.
    #[must_use]
    pub fn part_in_sight(&self) -> f64 {
        self.live.max(1) as f64 / self.entries() as f64
    }

    /// The coordinator of an account: the highest of the candidates' hashes with its name.
    #[must_use]
    pub fn coordinator(&self, account: &AccountName) -> Option<&Member> {
        let rank = |member: &&Member| hash_parts(&[account.as_str(), member.id.as_str()]);
        self.coordinators.iter().max_by_key(rank)
    }
}

fn of_role(members: &[Member], role: MemberRole) -> impl Iterator<Item = &Member> {
    members.iter().filter(move |member| member.role == role)
}

fn alive(members: &[Member], role: MemberRole) -> Vec<Member> {
    let answers = |member: &&Member| member.state == MemberState::Alive;
    of_role(members, role).filter(answers).cloned().collect()
}
