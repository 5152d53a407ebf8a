//! Binds sessions to versions.

use crate::refusal::Refusal;
use crate::state::EntryState;
use oleander_core::ids::{AccountName, SessionId, TargetName, VersionName};
use oleander_core::reason::Reason;
use oleander_core::session::{SessionClaims, SessionError};
use oleander_ports::PlatformError;
use oleander_ports::table::{RowCondition, TableTransaction, TransactionOutcome};
use serde::{Deserialize, Serialize};
use std::collections::{HashMap, VecDeque};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

/// Lifetime of a session token; every answer carries a new one.
pub const SESSION_LIFETIME: Duration = Duration::from_secs(24 * 60 * 60);
/// Number of caller-named sessions that are cached.
const MAX_CACHED_SESSIONS: usize = 4_096;
const TABLE_RETRY_AFTER: Duration = Duration::from_secs(5);

/// What a session is bound to.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SessionPin {
    /// Name in the `model` field of the session's first request.
    pub target: TargetName,
    /// Version that answers every request of the session.
    pub version: VersionName,
}

impl SessionPin {
    /// Checks that a request names the same `model` as the first one of its session.
    pub fn check_target(&self, target: &TargetName) -> Result<(), Refusal> {
        if self.target == *target {
            return Ok(());
        }
        let message = format!("the session is of {}; start a new one for {target}", self.target);
        Err(Refusal::new(Reason::BadSession, message).with_param("model"))
    }
}

/// Verifies a session token of an account.
pub fn read_token(
    state: &EntryState,
    token: &str,
    account: &AccountName,
) -> Result<SessionClaims, Refusal> {
    let read = state.signer.verify(token, account, state.parts.clock.now());
    read.map_err(|error: SessionError| {
        Refusal::new(Reason::BadSession, error.to_string()).with_param("x-oleander-session")
    })
}

/// Bounded cache of the pins of caller-named sessions. A pin never changes once it is written.
#[derive(Default)]
pub struct NamedSessions {
    cache: Mutex<PinCache>,
}

#[derive(Default)]
struct PinCache {
    pins: HashMap<Arc<str>, SessionPin>,
    order: VecDeque<Arc<str>>,
}

impl NamedSessions {
    fn get(&self, key: &str) -> Option<SessionPin> {
        self.cache.lock().unwrap_or_else(PoisonError::into_inner).pins.get(key).cloned()
    }

    fn insert(&self, key: &str, pin: &SessionPin) {
        let mut cache = self.cache.lock().unwrap_or_else(PoisonError::into_inner);
        let key: Arc<str> = Arc::from(key);
        if cache.pins.insert(Arc::clone(&key), pin.clone()).is_none() {
            cache.order.push_back(key);
        }
        if cache.order.len() > MAX_CACHED_SESSIONS
            && let Some(oldest) = cache.order.pop_front()
        {
            cache.pins.remove(&oldest);
        }
    }
}

fn session_key(account: &AccountName, session: &SessionId) -> String {
    format!("session/{account}/{session}")
}

/// Returns the pin of a caller-named session, if it has one.
pub async fn find_named(
    state: &EntryState,
    account: &AccountName,
    session: &SessionId,
) -> Result<Option<SessionPin>, Refusal> {
    let key = session_key(account, session);
    if let Some(pin) = state.named_sessions.get(&key) {
        return Ok(Some(pin));
    }
    let row = state.parts.table.get(&key).await.map_err(|error| table_refusal(&error))?;
    let Some(row) = row else { return Ok(None) };
    let pin = parse_pin(&row.value)?;
    state.named_sessions.insert(&key, &pin);
    Ok(Some(pin))
}

/// Binds a caller-named session. When another request has bound it first, that pin is returned.
pub async fn bind_named(
    state: &EntryState,
    account: &AccountName,
    session: &SessionId,
    pin: SessionPin,
) -> Result<SessionPin, Refusal> {
    let key = session_key(account, session);
    let value = serde_json::to_vec(&pin).map_err(|error| pin_refusal(&error.to_string()))?;
    let insert = TableTransaction::new()
        .with_condition(RowCondition::Absent(Arc::from(key.as_str())))
        .with_put(&key, value);
    let outcome = state.parts.table.transact(insert).await;
    match outcome {
        Ok(TransactionOutcome::Applied) => {
            state.named_sessions.insert(&key, &pin);
            Ok(pin)
        }
        // After a conflict or a lost reply the stored row decides which pin the session has.
        Ok(TransactionOutcome::Conflict(_)) | Err(PlatformError::Unknown(_)) => {
            let found = find_named(state, account, session).await?;
            found.ok_or_else(|| pin_refusal("the session could not be bound"))
        }
        Err(error) => Err(table_refusal(&error)),
    }
}

fn parse_pin(value: &[u8]) -> Result<SessionPin, Refusal> {
    serde_json::from_slice(value).map_err(|error| pin_refusal(&error.to_string()))
}

fn pin_refusal(message: &str) -> Refusal {
    Refusal::new(Reason::PlatformDown, message).with_retry_after(TABLE_RETRY_AFTER)
}

fn table_refusal(error: &PlatformError) -> Refusal {
    let message = format!("the session cannot be looked up: {error}");
    Refusal::new(Reason::PlatformDown, message).with_retry_after(TABLE_RETRY_AFTER)
}
