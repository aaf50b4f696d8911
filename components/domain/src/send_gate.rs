use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use crate::{Moment, millis};

/// End of a closure that never ends.
const NEVER: u64 = u64::MAX;

/// Whether an upstream accepts requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum GateStatus {
    /// It does.
    Open,
    /// It does from this moment on.
    ClosedUntil(Moment),
    /// It never does again.
    Closed,
}

/// Whether one start of an upstream accepts requests, as its responses state. Clones share
/// the state, so that a statement also applies to requests that are about to be written.
#[derive(Debug, Clone, Default)]
pub struct SendGate {
    /// End of the closure in milliseconds since the VM booted. It only increases.
    closed_until: Arc<AtomicU64>,
}

impl SendGate {
    /// Closes it for good; returns whether it was not closed for good before.
    pub fn close(&self) -> bool {
        self.closed_until.fetch_max(NEVER, Ordering::Relaxed) != NEVER
    }

    /// Closes it until `until` at least; returns whether this is later than before.
    pub fn close_until(&self, until: Moment) -> bool {
        // Rounded up to the next millisecond.
        let until = millis(until).saturating_add(1).min(NEVER - 1);
        self.closed_until.fetch_max(until, Ordering::Relaxed) < until
    }

    /// The status at `now`.
    pub fn status(&self, now: Moment) -> GateStatus {
        match self.closed_until.load(Ordering::Relaxed) {
            NEVER => GateStatus::Closed,
            until if until <= millis(now) => GateStatus::Open,
            until => GateStatus::ClosedUntil(Duration::from_millis(until)),
        }
    }

    /// Whether requests may be sent at `now`.
    pub fn is_open(&self, now: Moment) -> bool {
        self.status(now) == GateStatus::Open
    }

    /// Whether it is closed for good.
    pub fn is_closed(&self) -> bool {
        self.closed_until.load(Ordering::Relaxed) == NEVER
    }

    /// Whether there is another clone.
    pub fn is_shared(&self) -> bool {
        Arc::strong_count(&self.closed_until) > 1
    }
}
