//! Client of the ledgers, used by entries.

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

/// Time limit for one ledger to store a record.
pub const RECORD_TIMEOUT: Duration = Duration::from_secs(2);
/// Time after which a record is not sent to a further ledger.
pub const RECORD_RETRY_WINDOW: Duration = Duration::from_secs(8);
/// Time limit for one ledger to make, release or mark a claim.
pub const CLAIM_TIMEOUT: Duration = Duration::from_secs(3);
/// Maximum number of ledgers that are tried for one claim.
pub const MAX_CLAIM_TRIES: usize = 3;
/// Time for which a ledger that did not answer is tried last.
pub const UNRESPONSIVE_PENALTY: Duration = Duration::from_secs(2);
/// Time for which a ledger with a full backlog is tried last.
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
    unresponsive: HashMap<HostId, Timestamp>,
    full: HashMap<HostId, Timestamp>,
}

impl LedgerClient {
    /// A client without a preferred region. `seed` selects the shard whose ranking of ledgers
    /// [`UsagePort::has_room`] uses.
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

    /// Prefers the ledgers of this region.
    #[must_use]
    pub fn with_region(mut self, region: RegionName) -> Self {
        self.region = Some(region);
        self
    }

    fn candidates(&self, route: LedgerRoute) -> Vec<Member> {
        let members = self.members.members();
        let mut ledgers = ledgers_for(&members, route, self.region.as_ref());
        let (now, penalties) = (self.clock.now(), self.lock());
        ledgers.sort_by_key(|ledger| penalties.penalized_until(&ledger.id) > now);
        ledgers
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Penalties> {
        self.penalties.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn record_unresponsive(&self, ledger: &HostId) {
        let until = self.clock.now() + UNRESPONSIVE_PENALTY;
        self.lock().unresponsive.insert(ledger.clone(), until);
    }

    fn record_room(&self, ledger: &HostId, room: bool) {
        let until = self.clock.now() + FULL_PENALTY;
        let mut penalties = self.lock();
        penalties.unresponsive.remove(ledger);
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
        let mut last_error = UsageError::NotHeld("no ledger is known".to_owned());
        for ledger in self.candidates(route) {
            if self.clock.now().since(started) >= RECORD_RETRY_WINDOW {
                break;
            }
            match self.ask_record(&ledger, body.clone()).await {
                Ok(()) => return Ok(()),
                Err(error) => last_error = error,
            }
        }
        Err(last_error)
    }

    async fn ask_record(&self, ledger: &Member, body: Vec<u8>) -> Result<(), UsageError> {
        let call = self.peers.call(ledger.address, PeerChannel::Usage, body, RECORD_TIMEOUT);
        let reply = call.await.and_then(|bytes| decoded(&bytes));
        match reply {
            Ok(UsageReply::Held { room }) => {
                self.record_room(&ledger.id, room);
                Ok(())
            }
            Ok(UsageReply::Full) => {
                self.record_room(&ledger.id, false);
                Err(UsageError::Full)
            }
            Ok(UsageReply::NotHeld(why)) => {
                self.record_unresponsive(&ledger.id);
                Err(UsageError::NotHeld(why.to_string()))
            }
            Err(error) => {
                self.record_unresponsive(&ledger.id);
                Err(UsageError::NotHeld(error.to_string()))
            }
        }
    }

    /// Tries ledgers until one answers. The answer comes from the table, so a refusal is final.
    async fn ask_claim(&self, call: &ClaimCall) -> Result<ClaimReply, ClaimError> {
        let body = to_wire(call);
        let mut last_error = "no ledger is known".to_owned();
        for ledger in self.candidates(LedgerRoute::of_claims()).into_iter().take(MAX_CLAIM_TRIES) {
            let call =
                self.peers.call(ledger.address, PeerChannel::Claims, body.clone(), CLAIM_TIMEOUT);
            match call.await.and_then(|bytes| decoded(&bytes)) {
                Ok(ClaimReply::Failed(why)) => return Err(ClaimError(why.to_string())),
                Ok(reply) => return Ok(reply),
                Err(error) => {
                    self.record_unresponsive(&ledger.id);
                    last_error = error.to_string();
                }
            }
        }
        Err(ClaimError(last_error))
    }

    async fn claim_now(&self, request: ClaimRequest) -> Result<ClaimOutcome, ClaimError> {
        let reply = self.ask_claim(&ClaimCall::Claim(request.clone())).await;
        match reply {
            Ok(ClaimReply::Outcome(outcome)) => Ok(outcome),
            Ok(_) => Err(ClaimError("a ledger gave the wrong answer".to_owned())),
            Err(error) => {
                // The claim may still be applied; release it so that it does not block the key.
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
    fn penalized_until(&self, ledger: &HostId) -> Timestamp {
        let unresponsive = self.unresponsive.get(ledger).copied().unwrap_or_default();
        unresponsive.max(self.full.get(ledger).copied().unwrap_or_default())
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
        ledgers.iter().any(|ledger| penalties.penalized_until(&ledger.id) <= now)
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
