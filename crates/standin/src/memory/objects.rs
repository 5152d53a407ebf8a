//! An in-memory object store.

use oleander_ports::objects::{ObjectPort, PutOutcome};
use oleander_ports::{PlatformError, PortFuture};
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

#[derive(Default)]
struct ObjectState {
    bodies: BTreeMap<Arc<str>, Vec<u8>>,
    down: bool,
}

/// An in-memory object store. Clones share the objects.
#[derive(Clone, Default)]
pub struct MemoryObjects {
    state: Arc<Mutex<ObjectState>>,
}

impl MemoryObjects {
    /// Creates an empty store.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Sets whether every call fails without being applied.
    pub fn set_down(&self, down: bool) {
        self.lock().down = down;
    }

    fn lock(&self) -> MutexGuard<'_, ObjectState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn begin(&self) -> Result<MutexGuard<'_, ObjectState>, PlatformError> {
        let state = self.lock();
        if state.down {
            return Err(PlatformError::NotApplied("the object store is down".to_owned()));
        }
        Ok(state)
    }
}

impl ObjectPort for MemoryObjects {
    fn put_if_absent<'a>(
        &'a self,
        name: &'a str,
        body: Vec<u8>,
    ) -> PortFuture<'a, Result<PutOutcome, PlatformError>> {
        Box::pin(async move {
            let mut state = self.begin()?;
            if state.bodies.contains_key(name) {
                return Ok(PutOutcome::Exists);
            }
            state.bodies.insert(Arc::from(name), body);
            Ok(PutOutcome::Written)
        })
    }

    fn get<'a>(&'a self, name: &'a str) -> PortFuture<'a, Result<Option<Vec<u8>>, PlatformError>> {
        Box::pin(async move { Ok(self.begin()?.bodies.get(name).cloned()) })
    }

    fn list<'a>(&'a self, prefix: &'a str) -> PortFuture<'a, Result<Vec<Arc<str>>, PlatformError>> {
        Box::pin(async move {
            let state = self.begin()?;
            let names = state.bodies.keys().filter(|name| name.starts_with(prefix));
            Ok(names.cloned().collect())
        })
    }
}
