//! GossipUpdates that waits to ride on messages, each piece a bounded number of times.

use crate::ids::{HostId, UpstreamName};
use crate::membership::config::MAX_UPDATE_BYTES;
use crate::membership::member::Rumor;
use crate::membership::message::{GossipUpdates, RevisionReport};
use crate::membership::record::{MemberRecord, MemberTag};
use std::collections::BTreeMap;

/// What a piece of news is about; a newer piece replaces an older one. The order is that of
/// sending: rumors first.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Subject {
    Head,
    Upstream(UpstreamName),
    Member(HostId),
    Revision(MemberTag),
}

#[derive(Clone, Debug)]
enum Piece {
    Rumor(Rumor),
    Record(MemberRecord),
    Revision(RevisionReport),
}

#[derive(Clone, Debug)]
struct QueuedPiece {
    piece: Piece,
    sent: u32,
}

/// Bytes of a rumor on the wire beside its name or digest.
const RUMOR_FIXED_BYTES: usize = 14;
const REVISION_BYTES: usize = 9;

impl Piece {
    fn wire_bytes(&self) -> usize {
        match self {
            Self::Rumor(rumor) => RUMOR_FIXED_BYTES + text_bytes(rumor),
            Self::Record(record) => record.wire_bytes(),
            Self::Revision(_) => REVISION_BYTES,
        }
    }

    fn add_to(&self, updates: &mut GossipUpdates) {
        match self {
            Self::Rumor(rumor) => updates.rumors.push(rumor.clone()),
            Self::Record(record) => updates.records.push(record.clone()),
            Self::Revision(report) => updates.revisions.push(*report),
        }
    }

    const fn class(&self) -> u8 {
        match self {
            Self::Rumor(_) => 0,
            Self::Record(_) => 1,
            Self::Revision(_) => 2,
        }
    }
}

fn text_bytes(rumor: &Rumor) -> usize {
    match rumor {
        Rumor::Head { digest, .. } => digest.len(),
        Rumor::Leaving { upstream, .. } | Rumor::Joined { upstream, .. } => upstream.as_str().len(),
    }
}

/// GossipUpdates that waits to be sent.
#[derive(Clone, Debug, Default)]
pub struct UpdateQueue {
    pieces: BTreeMap<Subject, QueuedPiece>,
}

impl UpdateQueue {
    /// Whether nothing waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.pieces.is_empty()
    }

    /// How many pieces wait.
    #[must_use]
    pub fn len(&self) -> usize {
        self.pieces.len()
    }

    /// Queues a rumor.
    pub fn push_rumor(&mut self, rumor: Rumor) {
        let subject = match &rumor {
            Rumor::Head { .. } => Subject::Head,
            Rumor::Leaving { upstream, .. } | Rumor::Joined { upstream, .. } => {
                Subject::Upstream(upstream.clone())
            }
        };
        self.push(subject, Piece::Rumor(rumor));
    }

    /// Queues a record.
    pub fn push_record(&mut self, record: MemberRecord) {
        self.push(Subject::Member(record.id.clone()), Piece::Record(record));
    }

    /// Queues a revision report.
    pub fn push_revision(&mut self, report: RevisionReport) {
        self.push(Subject::Revision(report.tag), Piece::Revision(report));
    }

    fn push(&mut self, subject: Subject, piece: Piece) {
        self.pieces.insert(subject, QueuedPiece { piece, sent: 0 });
    }

    /// Takes the news for one message: rumors, then records, then revisions, the least sent
    /// first. A piece that was sent `limit` times is dropped.
    pub fn take(&mut self, limit: u32) -> GossipUpdates {
        let mut order: Vec<&mut QueuedPiece> = self.pieces.values_mut().collect();
        order.sort_by_key(|queued| (queued.piece.class(), queued.sent));
        let mut updates = GossipUpdates::default();
        let mut room = MAX_UPDATE_BYTES;
        for queued in order {
            let bytes = queued.piece.wire_bytes();
            if bytes > room {
                continue;
            }
            room -= bytes;
            queued.sent += 1;
            queued.piece.add_to(&mut updates);
        }
        self.pieces.retain(|_, queued| queued.sent < limit);
        updates
    }
}
