use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use domain::{Moment, millis};

/// Latest moment for the end of the response to a request: the caller's deadline or the
/// timeout of the route, whichever is earlier.
#[derive(Debug)]
pub struct Deadline {
    arrived: Moment,
    /// Until when the caller waits.
    caller: Moment,
    /// Timeout of the route in milliseconds.
    timeout_ms: AtomicU64,
}

impl Deadline {
    /// Deadline of a request that arrived at `arrived`, whose caller waits for `caller` and
    /// whose route allows `timeout`.
    pub fn new(arrived: Moment, caller: Duration, timeout: Duration) -> Self {
        Deadline {
            arrived,
            caller: arrived + caller,
            timeout_ms: AtomicU64::new(millis(timeout)),
        }
    }

    /// The deadline.
    pub fn at(&self) -> Moment {
        let timeout = Duration::from_millis(self.timeout_ms.load(Ordering::Relaxed));
        self.caller.min(self.arrived + timeout)
    }

    /// Until when the caller waits, whatever the timeout of the route.
    pub fn of_caller(&self) -> Moment {
        self.caller
    }

    /// Applies a timeout of the route if it is longer; returns whether the deadline is later
    /// than before.
    pub fn raise(&self, timeout: Duration) -> bool {
        let before = self.at();
        self.timeout_ms
            .fetch_max(millis(timeout), Ordering::Relaxed);
        self.at() > before
    }
}
