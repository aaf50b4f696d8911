use std::collections::HashMap;
use std::time::Duration;

/// Crashes that put a fingerprint under quarantine.
const CRASHES: u32 = 2;
/// How long a crash is remembered.
const MEMORY: Duration = Duration::from_secs(600);
/// Most fingerprints remembered; the oldest are forgotten first.
const CAPACITY: usize = 4096;

/// What is known about a request's fingerprint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Suspicion {
    /// Nothing is known against it.
    Clear,
    /// It was in flight at one crash.
    Suspect,
    /// It was in flight at several crashes and is not run.
    Quarantined {
        /// Time until it may be sent again.
        left: Duration,
    },
}

#[derive(Debug, Clone)]
struct Entry {
    crashes: u32,
    until: Duration,
}

/// Remembers which requests were in flight when upstreams crashed.
#[derive(Debug, Default)]
pub struct Quarantine {
    entries: HashMap<u64, Entry>,
}

impl Quarantine {
    /// Records that a request with this fingerprint was in flight at a crash.
    pub fn record_crash(&mut self, now: Duration, fingerprint: u64) {
        if self.entries.len() >= CAPACITY {
            self.evict(now);
        }
        let entry = self.entries.entry(fingerprint).or_insert(Entry {
            crashes: 0,
            until: now,
        });
        if entry.until <= now {
            entry.crashes = 0;
        }
        entry.crashes += 1;
        entry.until = now + MEMORY;
    }

    /// What is known about a fingerprint at `now`.
    pub fn check(&self, now: Duration, fingerprint: u64) -> Suspicion {
        match self.entries.get(&fingerprint) {
            Some(e) if e.until <= now => Suspicion::Clear,
            Some(e) if e.crashes >= CRASHES => Suspicion::Quarantined {
                left: e.until - now,
            },
            Some(_) => Suspicion::Suspect,
            None => Suspicion::Clear,
        }
    }

    /// Clears a fingerprint that completed without a crash.
    pub fn forget(&mut self, fingerprint: u64) {
        self.entries.remove(&fingerprint);
    }

    fn evict(&mut self, now: Duration) {
        self.entries.retain(|_, e| e.until > now);
        let oldest = self
            .entries
            .iter()
            .min_by_key(|(_, e)| e.until)
            .map(|(f, _)| *f);
        if let Some(f) = oldest.filter(|_| self.entries.len() >= CAPACITY) {
            self.entries.remove(&f);
        }
    }
}
