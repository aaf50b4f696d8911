use std::time::Duration;

use domain::Moment;

/// Longest time between two beats of a process that was not held up between them.
const MAX_GAP: Duration = Duration::from_millis(100);

/// Regular beats of a process, which show whether it was held up: stopped, or without
/// processor time. After that it may handle input that arrived long before.
#[derive(Debug, Clone, Default)]
pub struct Pulse {
    last: Moment,
    settled: Moment,
}

impl Pulse {
    /// Interval at which [`Pulse::beat`] is to be called.
    pub const INTERVAL: Duration = Duration::from_millis(30);

    /// Records a beat.
    pub fn beat(&mut self, now: Moment) {
        if now.saturating_sub(self.last) <= MAX_GAP {
            self.settled = self.last;
        }
        self.last = now;
    }

    /// Moment up to which all input that had arrived has been handled.
    pub fn settled(&self) -> Moment {
        self.settled
    }
}
