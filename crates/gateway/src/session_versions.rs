//! The version that each session used most recently, as seen by this host.
//!
//! A session keeps its version during a canary, and never moves back from the new version to the
//! old one. Callers mostly stay with one host during a session, so each host remembers its own
//! sessions; new sessions are assigned by a hash that is the same on all hosts.

use oleander_core::ids::ServiceName;
use oleander_core::units::Timestamp;
use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// Maximum number of sessions; each takes about 150 bytes.
const MAX_SESSIONS: usize = 20_000;

#[derive(Clone, Debug)]
struct SessionEntry {
    version: Arc<str>,
    seen: Timestamp,
}

/// Versions by service and session.
#[derive(Debug, Default)]
pub struct SessionVersions(Mutex<HashMap<(ServiceName, Arc<str>), SessionEntry>>);

impl SessionVersions {
    /// Creates an empty map.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<(ServiceName, Arc<str>), SessionEntry>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records that a request of a session runs on a version, or ended there.
    pub fn record(
        &self,
        service: &ServiceName,
        session: &Arc<str>,
        version: &Arc<str>,
        now: Timestamp,
    ) {
        let mut sessions = self.lock();
        let key = (service.clone(), Arc::clone(session));
        if sessions.len() >= MAX_SESSIONS && !sessions.contains_key(&key) {
            return;
        }
        sessions.insert(key, SessionEntry { version: Arc::clone(version), seen: now });
    }

    /// The version of a session that was last seen within `retention`.
    ///
    /// ```
    /// use oleander_core::ids::ServiceName;
    /// use oleander_core::units::Timestamp;
    /// use oleander_gateway::session_versions::SessionVersions;
    /// use std::time::Duration;
    ///
    /// let (versions, service) = (SessionVersions::new(), ServiceName::new("writer").unwrap());
    /// let at = Timestamp::from_millis;
    /// versions.record(&service, &"van-1".into(), &"v1".into(), at(1_000));
    /// let retention = Duration::from_secs(5);
    /// assert_eq!(
    ///     versions.version(&service, &"van-1".into(), retention, at(5_000)).as_deref(),
    ///     Some("v1")
    /// );
    /// assert_eq!(versions.version(&service, &"van-1".into(), retention, at(7_000)), None);
    /// ```
    #[must_use]
    pub fn version(
        &self,
        service: &ServiceName,
        session: &Arc<str>,
        retention: Duration,
        now: Timestamp,
    ) -> Option<Arc<str>> {
        let sessions = self.lock();
        let found = sessions.get(&(service.clone(), Arc::clone(session)))?;
        (now.since(found.seen) <= retention).then(|| Arc::clone(&found.version))
    }

    /// Evicts sessions that were not seen within `retention`.
    pub fn evict(&self, retention: Duration, now: Timestamp) {
        self.lock().retain(|_, entry| now.since(entry.seen) <= retention);
    }
}
