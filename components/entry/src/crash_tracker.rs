use std::collections::{HashSet, VecDeque};
use std::sync::{Mutex, MutexGuard, PoisonError};

use compact_str::CompactString;
use kernel::Clock;
use requests::{Quarantine, Suspicion};

/// Most ids of crashes kept. A crash is reported several times; its id ensures that it
/// counts once.
const MAX_IDS: usize = 4096;

/// Crashes of upstreams known to this entry, from responses to runs, from heartbeat
/// replies and from the log, and the quarantine that follows from them.
pub struct CrashTracker {
    clock: Clock,
    inner: Mutex<Inner>,
}

#[derive(Default)]
struct Inner {
    quarantine: Quarantine,
    ids: HashSet<CompactString>,
    ids_by_age: VecDeque<CompactString>,
}

impl CrashTracker {
    /// A tracker without crashes.
    pub fn new(clock: Clock) -> Self {
        CrashTracker {
            clock,
            inner: Mutex::default(),
        }
    }

    /// Records a crash, unless its id is recorded already. `fingerprints` are those of
    /// the requests in flight.
    pub fn record_crash(&self, id: &CompactString, fingerprints: &[u64]) {
        let now = self.clock.now();
        let mut inner = self.lock();
        if !inner.ids.insert(id.clone()) {
            return;
        }
        inner.ids_by_age.push_back(id.clone());
        if inner.ids_by_age.len() > MAX_IDS
            && let Some(oldest) = inner.ids_by_age.pop_front()
        {
            inner.ids.remove(&oldest);
        }
        log::warn!(
            "crashes: {id}: {} requests were in flight",
            fingerprints.len()
        );
        for f in fingerprints {
            inner.quarantine.record_crash(now, *f);
        }
    }

    /// Whether the request with this fingerprint is suspected of crashing upstreams.
    pub fn check(&self, fingerprint: u64) -> Suspicion {
        self.lock().quarantine.check(self.clock.now(), fingerprint)
    }

    /// Removes a fingerprint whose request completed without a crash.
    pub fn forget(&self, fingerprint: u64) {
        self.lock().quarantine.forget(fingerprint);
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
