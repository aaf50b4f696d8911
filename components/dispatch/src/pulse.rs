use std::time::Duration;

use domain::Moment;

/// Time between two beats after which the process counts as resumed: evidence about
/// other processes starts anew.
const RESUME_GAP: Duration = Duration::from_millis(500);

/// Regular beats of a process, which show whether it was held up: stopped, or without
/// processor time. After that it may handle input that arrived long before.
#[derive(Debug, Clone, Default)]
pub struct Pulse {
    last: Moment,
    resumed: Moment,
}

impl Pulse {
    /// Interval at which [`Pulse::beat`] is to be called.
    pub const INTERVAL: Duration = Duration::from_millis(30);

    /// Records a beat.
    pub fn beat(&mut self, now: Moment) {
        self.resumed = self.resumed(now);
        self.last = now;
    }

    /// When the process started, or last resumed after it was held up for long; `now`
    /// if it resumes just now, before its first beat.
    pub fn resumed(&self, now: Moment) -> Moment {
        match now.saturating_sub(self.last) > RESUME_GAP {
            true => now,
            false => self.resumed,
        }
    }
}
