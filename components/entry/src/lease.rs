use std::io;
use std::sync::Arc;
use std::time::Duration;

use kernel::Clock;
use wire::BodyObserver;

use crate::crash_tracker::CrashTracker;
use crate::schedulers::{SharedScheduler, lock};

/// A request's place at an upstream; gives it back when dropped.
pub struct Lease {
    scheduler: SharedScheduler,
    clock: Clock,
    key: u64,
    begun: Duration,
    suspect: Option<(Arc<CrashTracker>, u64)>,
    completed: bool,
}

impl Lease {
    /// The place that was just granted at the upstream with `key`.
    pub fn new(scheduler: SharedScheduler, clock: Clock, key: u64) -> Self {
        Lease {
            scheduler,
            begun: clock.now(),
            clock,
            key,
            suspect: None,
            completed: false,
        }
    }

    /// Clears the fingerprint of a suspect when its whole answer has arrived.
    pub fn forget_on_completion(&mut self, crashes: Arc<CrashTracker>, fingerprint: u64) {
        self.suspect = Some((crashes, fingerprint));
    }

    /// Records that the whole answer has arrived.
    pub fn complete(&mut self) {
        self.completed = true;
        if let Some((crashes, fingerprint)) = self.suspect.take() {
            crashes.forget(fingerprint);
        }
    }
}

impl Drop for Lease {
    fn drop(&mut self) {
        let now = self.clock.now();
        let took = self.completed.then(|| now.saturating_sub(self.begun));
        lock(&self.scheduler).finish(now, self.key, took);
    }
}

impl BodyObserver for Lease {
    fn on_complete(&mut self) {
        self.complete();
    }

    fn on_error(&mut self, error: &io::Error) {
        log::warn!("relay: answer broken off: {error}");
    }
}
