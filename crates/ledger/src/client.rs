//! The ledgers as an entry sees them.

use crate::ranking::ledgers_for;
use crate::wire::{ClaimCall, ClaimReply, UsageCall, UsageReply, from_wire, to_wire};
use oleander_core::ids::{HostId, RegionName};
use oleander_core::ledger::shard::{LedgerRoute, ShardId};
use oleander_core::units::Timestamp;
use oleander_core::usage::UsageRecord;
use oleander_ports::PortFuture;
use oleander_ports::claims::{ClaimError, ClaimOutcome, ClaimPort, ClaimRequest};
use oleander_ports::clock::ClockPort;
use oleander_ports::members::{Member, MembershipPort};
use oleander_ports::peers::{PeerChannel, PeerError, PeerPort};
use oleander_ports::usage::{UsageError, UsagePort};
use std::collections::HashMap;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

/// Time that one ledger has to hold a record.
pub const RECORD_DEADLINE: Duration = Duration::from_secs(2);
/// Time after which no further ledger is asked to hold a record.
pub const RECORD_GIVE_UP: Duration = Duration::from_secs(8);
/// Time that one ledger has to make or settle a claim.
pub const CLAIM_DEADLINE: Duration = Duration::from_secs(3);
/// Ledgers that are asked about one claim.
pub const MAX_CLAIM_TRIES: usize = 3;
/// Time for which a ledger that did not answer is asked last.
pub const SILENT_PENALTY: Duration = Duration::from_secs(2);
/// Time for which a ledger without room is asked last.
pub const FULL_PENALTY: Duration = Duration::from_secs(5);

/// Sends usage records and claims to the ledgers of the membership.
#[derive(Clone)]
pub struct LedgerClient {
    peers: Arc<dyn PeerPort>,
    members: Arc<dyn MembershipPort>,
    clock: Arc<dyn ClockPort>,
    seed: u64,
    region: Option<RegionName>,
    penalties: Arc<Mutex<Penalties>>,
}

#[derive(Default)]
struct Penalties {
    silent: HashMap<HostId, Timestamp>,
    full: HashMap<HostId, Timestamp>,
}

impl LedgerClient {
    /// A client that asks the ledgers of any region alike. `seed` picks the shard whose ledgers
    /// [`UsagePort::has_room`] looks at first.
    #[must_use]
    pub fn new(
        peers: Arc<dyn PeerPort>,
        members: Arc<dyn MembershipPort>,
        clock: Arc<dyn ClockPort>,
        seed: u64,
    ) -> Self {
        let penalties = Arc::default();
        Self { peers, members, clock, seed, region: None, penalties }
    }

    /// Asks the ledgers of this region first.
    #[must_use]
    pub fn with_region(mut self, region: RegionName) -> Self {
        self.region = Some(region);
        self
    }

    fn candidates(&self, route: LedgerRoute) -> Vec<Member> {
        let members = self.members.members();
        let mut ledgers = ledgers_for(&members, route, self.region.as_ref());
        let (now, penalties) = (self.clock.now(), self.lock());
        ledgers.sort_by_key(|ledger| penalties.worst_until(&ledger.id) > now);
        ledgers
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Penalties> {
        self.penalties.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn note_silent(&self, ledger: &HostId) {
        let until = self.clock.now() + SILENT_PENALTY;
        self.lock().silent.insert(ledger.clone(), until);
    }

    fn note_room(&self, ledger: &HostId, room: bool) {
        let until = self.clock.now() + FULL_PENALTY;
        let mut penalties = self.lock();
        penalties.silent.remove(ledger);
        if room {
            penalties.full.remove(ledger);
        } else {
            penalties.full.insert(ledger.clone(), until);
        }
    }

    async fn record_now(&self, record: UsageRecord) -> Result<(), UsageError> {
        let started = self.clock.now();
        let route = LedgerRoute::of(&record.account, record.request);
        let body = to_wire(&UsageCall::Record(record));
        let mut last = UsageError::NotHeld("no ledger is known".to_owned());
        for ledger in self.candidates(route) {
            if self.clock.now().since(started) >= RECORD_GIVE_UP {
                break;
            }
            match self.ask_record(&ledger, body.clone()).await {
                Ok(()) => return Ok(()),
                Err(error) => last = error,
            }
        }
        Err(last)
    }

    async fn ask_record(&self, ledger: &Member, body: Vec<u8>) -> Result<(), UsageError> {
        let call = self.peers.call(ledger.address, PeerChannel::Usage, body, RECORD_DEADLINE);
        let reply = call.await.and_then(|bytes| decoded(&bytes));
        match reply {
            Ok(UsageReply::Held { room }) => {
                self.note_room(&ledger.id, room);
                Ok(())
            }
            Ok(UsageReply::Full) => {
                self.note_room(&ledger.id, false);
                Err(UsageError::Full)
            }
            Ok(UsageReply::NotHeld(why)) => {
                self.note_silent(&ledger.id);
                Err(UsageError::NotHeld(why.to_string()))
            }
            Err(error) => {
                self.note_silent(&ledger.id);
                Err(UsageError::NotHeld(error.to_string()))
            }
        }
    }

    /// Asks ledgers until one answers. A ledger that answers speaks for the table, so its
    /// refusal is final.
    async fn ask_claim(&self, call: &ClaimCall) -> Result<ClaimReply, ClaimError> {
        let body = to_wire(call);
        let mut last = "no ledger is known".to_owned();
        for ledger in self.candidates(LedgerRoute::of_claims()).into_iter().take(MAX_CLAIM_TRIES) {
            let call =
                self.peers.call(ledger.address, PeerChannel::Claims, body.clone(), CLAIM_DEADLINE);
            match call.await.and_then(|bytes| decoded(&bytes)) {
                Ok(ClaimReply::Failed(why)) => return Err(ClaimError(why.to_string())),
                Ok(reply) => return Ok(reply),
                Err(error) => {
                    self.note_silent(&ledger.id);
                    last = error.to_string();
                }
            }
        }
        Err(ClaimError(last))
    }

    async fn claim_now(&self, request: ClaimRequest) -> Result<ClaimOutcome, ClaimError> {
        let reply = self.ask_claim(&ClaimCall::Claim(request.clone())).await;
        match reply {
            Ok(ClaimReply::Outcome(outcome)) => Ok(outcome),
            Ok(_) => Err(ClaimError("a ledger gave the wrong answer".to_owned())),
            Err(error) => {
                // A claim that is still on its way must not block the key later.
                self.release_later(request);
                Err(error)
            }
        }
    }

    fn release_later(&self, request: ClaimRequest) {
        let client = self.clone();
        tokio::spawn(async move {
            let _ = client.ask_claim(&ClaimCall::Release(request)).await;
        });
    }

    async fn settle(&self, call: ClaimCall) -> Result<(), ClaimError> {
        match self.ask_claim(&call).await? {
            ClaimReply::Settled => Ok(()),
            _ => Err(ClaimError("a ledger gave the wrong answer".to_owned())),
        }
    }
}

impl Penalties {
    fn worst_until(&self, ledger: &HostId) -> Timestamp {
        let silent = self.silent.get(ledger).copied().unwrap_or_default();
        silent.max(self.full.get(ledger).copied().unwrap_or_default())
    }
}

fn decoded<T: serde::de::DeserializeOwned>(bytes: &[u8]) -> Result<T, PeerError> {
    from_wire(bytes).map_err(|error| PeerError::Unknown(format!("the reply has {error}")))
}

impl UsagePort for LedgerClient {
    fn record(&self, record: UsageRecord) -> PortFuture<'_, Result<(), UsageError>> {
        Box::pin(self.record_now(record))
    }

    fn has_room(&self) -> bool {
        let members = self.members.members();
        let shards: Vec<ShardId> = ShardId::all().collect();
        let shard = shards[self.seed as usize % shards.len()];
        let (now, penalties) = (self.clock.now(), self.lock());
        let ledgers = ledgers_for(&members, LedgerRoute::of_shard(shard), self.region.as_ref());
        ledgers.iter().any(|ledger| penalties.worst_until(&ledger.id) <= now)
    }
}

impl ClaimPort for LedgerClient {
    fn claim(&self, request: ClaimRequest) -> PortFuture<'_, Result<ClaimOutcome, ClaimError>> {
        Box::pin(self.claim_now(request))
    }

    fn release(&self, request: ClaimRequest) -> PortFuture<'_, Result<(), ClaimError>> {
        Box::pin(self.settle(ClaimCall::Release(request)))
    }

    fn mark_unknown(&self, request: ClaimRequest) -> PortFuture<'_, Result<(), ClaimError>> {
        Box::pin(self.settle(ClaimCall::MarkUnknown(request)))
    }
}
