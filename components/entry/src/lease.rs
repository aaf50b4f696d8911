use std::io;
use std::sync::Arc;
use std::time::Duration;

use kernel::Clock;
use serde_json::json;
use telemetry::{Outcome, decision};
use wire::BodyObserver;

use crate::crash_tracker::CrashTracker;
use crate::schedulers::{SharedScheduler, lock};

/// A slot at an upstream that a run occupies, released when dropped.
pub struct Lease {
    scheduler: SharedScheduler,
    clock: Clock,
    key: u64,
    started_at: Duration,
    suspect: Option<(Arc<CrashTracker>, u64)>,
    completed: bool,
}

impl Lease {
    /// A lease of the slot just assigned at the upstream with `key`.
    pub fn new(scheduler: SharedScheduler, clock: Clock, key: u64) -> Self {
        Lease {
            scheduler,
            started_at: clock.now(),
            clock,
            key,
            suspect: None,
            completed: false,
        }
    }

    /// Makes the tracker forget the fingerprint of a suspect request when the response
    /// is complete.
    pub fn forget_on_completion(&mut self, crashes: Arc<CrashTracker>, fingerprint: u64) {
        self.suspect = Some((crashes, fingerprint));
    }

    /// Records that the complete response has arrived.
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
        let took = self.completed.then(|| now.saturating_sub(self.started_at));
        lock(&self.scheduler).record_end(now, self.key, took);
    }
}

impl BodyObserver for Lease {
    fn on_complete(&mut self) {
        self.complete();
    }

    fn on_error(&mut self, error: &io::Error) {
        let fields = json!({ "error": error.to_string() });
        decision("relay", "response ended early", Outcome::Failure, fields);
    }
}
