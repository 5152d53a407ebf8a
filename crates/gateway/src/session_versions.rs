//! Which version a session ran on last, as this host saw it.
//!
//! A session keeps its version while a roll-out is young, and never goes back from the new
//! version to the old one. Callers of a session mostly stay with a host, so each host remembers
//! its own; new sessions are drawn by a hash that is the same everywhere.

use oleander_core::ids::ServiceName;
use oleander_core::units::Timestamp;
use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// Sessions that are remembered; each takes about 150 bytes.
const MAX_SESSIONS: usize = 20_000;

#[derive(Clone, Debug)]
struct SessionEntry {
    version: Arc<str>,
    seen: Timestamp,
}

/// Remembers sessions.
#[derive(Debug, Default)]
pub struct SessionVersions(Mutex<HashMap<(ServiceName, Arc<str>), SessionEntry>>);

impl SessionVersions {
    /// A book that remembers none.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<(ServiceName, Arc<str>), SessionEntry>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Notes that a request of a session runs on a version, or ended there.
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

    /// The version of a session that was seen within `gap`.
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
    /// let gap = Duration::from_secs(5);
    /// assert_eq!(versions.version(&service, &"van-1".into(), gap, at(5_000)).as_deref(), Some("v1"));
    /// assert_eq!(versions.version(&service, &"van-1".into(), gap, at(7_000)), None);
    /// ```
    #[must_use]
    pub fn version(
        &self,
        service: &ServiceName,
        session: &Arc<str>,
        gap: Duration,
        now: Timestamp,
    ) -> Option<Arc<str>> {
        let sessions = self.lock();
        let found = sessions.get(&(service.clone(), Arc::clone(session)))?;
        (now.since(found.seen) <= gap).then(|| Arc::clone(&found.version))
    }

    /// Forgets sessions that were not seen within `gap`.
    pub fn evict(&self, gap: Duration, now: Timestamp) {
        self.lock().retain(|_, entry| now.since(entry.seen) <= gap);
    }
}
