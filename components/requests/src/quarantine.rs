use std::collections::HashMap;
use std::time::Duration;

/// Crashes after which a fingerprint is quarantined.
const MIN_CRASHES: u32 = 2;
/// Time that a fingerprint is kept after its latest crash.
const RETENTION: Duration = Duration::from_secs(600);
/// Most fingerprints kept; the oldest are evicted first.
const CAPACITY: usize = 4096;

/// Whether a request is suspected of crashing upstreams.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Suspicion {
    /// It was in flight at no recent crash.
    Clear,
    /// It was in flight at one recent crash.
    Suspect,
    /// It was in flight at several recent crashes and must not run.
    Quarantined {
        /// Time until it may run again.
        remaining: Duration,
    },
}

#[derive(Debug, Clone)]
struct Crashes {
    count: u32,
    expires: Duration,
}

/// Fingerprints of the requests that were in flight when upstreams crashed.
#[derive(Debug, Default)]
pub struct Quarantine {
    crashes: HashMap<u64, Crashes>,
}

impl Quarantine {
    /// Records that a request with this fingerprint was in flight at a crash.
    pub fn record_crash(&mut self, now: Duration, fingerprint: u64) {
        if self.crashes.len() >= CAPACITY {
            self.evict(now);
        }
        let crashes = self.crashes.entry(fingerprint).or_insert(Crashes {
            count: 0,
            expires: now,
        });
        if crashes.expires <= now {
            crashes.count = 0;
        }
        crashes.count += 1;
        crashes.expires = now + RETENTION;
    }

    /// Suspicion of a fingerprint at `now`.
    pub fn check(&self, now: Duration, fingerprint: u64) -> Suspicion {
        match self.crashes.get(&fingerprint) {
            Some(c) if c.expires <= now => Suspicion::Clear,
            Some(c) if c.count >= MIN_CRASHES => Suspicion::Quarantined {
                remaining: c.expires - now,
            },
            Some(_) => Suspicion::Suspect,
            None => Suspicion::Clear,
        }
    }

    /// Removes a fingerprint whose request completed without a crash.
    pub fn forget(&mut self, fingerprint: u64) {
        self.crashes.remove(&fingerprint);
    }

    fn evict(&mut self, now: Duration) {
        self.crashes.retain(|_, c| c.expires > now);
        let oldest = self
            .crashes
            .iter()
            .min_by_key(|(_, c)| c.expires)
            .map(|(fingerprint, _)| *fingerprint);
        if let Some(fingerprint) = oldest.filter(|_| self.crashes.len() >= CAPACITY) {
            self.crashes.remove(&fingerprint);
        }
    }
}
