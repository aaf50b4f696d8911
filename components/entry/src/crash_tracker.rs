use std::collections::{HashSet, VecDeque};
use std::sync::{Mutex, MutexGuard, PoisonError};

use compact_str::CompactString;
use kernel::Clock;
use requests::{Quarantine, Suspicion};

/// Ids of crashes remembered, so that each counts once however often it is told.
const IDS_KEPT: usize = 4096;

/// What this entry knows of crashes, from agents' answers, heartbeats and the log.
pub struct CrashTracker {
    clock: Clock,
    inner: Mutex<Inner>,
}

#[derive(Default)]
struct Inner {
    quarantine: Quarantine,
    seen: HashSet<CompactString>,
    order: VecDeque<CompactString>,
}

impl CrashTracker {
    /// An empty book.
    pub fn new(clock: Clock) -> Self {
        CrashTracker {
            clock,
            inner: Mutex::default(),
        }
    }

    /// Notes a crash, once for each id.
    pub fn record_crash(&self, id: &CompactString, fingerprints: &[u64]) {
        let now = self.clock.now();
        let mut inner = self.lock();
        if !inner.seen.insert(id.clone()) {
            return;
        }
        inner.order.push_back(id.clone());
        if inner.order.len() > IDS_KEPT
            && let Some(oldest) = inner.order.pop_front()
        {
            inner.seen.remove(&oldest);
        }
        log::warn!(
            "crashes: {id} with {} requests in flight",
            fingerprints.len()
        );
        for f in fingerprints {
            inner.quarantine.record_crash(now, *f);
        }
    }

    /// What is known about a request's fingerprint.
    pub fn check(&self, fingerprint: u64) -> Suspicion {
        self.lock().quarantine.check(self.clock.now(), fingerprint)
    }

    /// Clears a suspect that was answered.
    pub fn forget(&self, fingerprint: u64) {
        self.lock().quarantine.forget(fingerprint);
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
