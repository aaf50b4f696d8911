use std::time::Duration;

use domain::Moment;

/// Longest time between two beats of a process that was not held up between them.
const MAX_GAP: Duration = Duration::from_millis(100);

/// Time after a gap in which a task that waited in it may not have had its turn yet.
const CATCH_UP_TIME: Duration = Duration::from_secs(1);

/// Time between two beats after which the process counts as resumed: evidence about
/// other processes starts anew.
const RESUME_GAP: Duration = Duration::from_millis(500);

/// Regular beats of a process, which show whether it was held up: stopped, or without
/// processor time. After that it may handle input that arrived long before.
#[derive(Debug, Clone, Default)]
pub struct Pulse {
    last: Moment,
    settled: Moment,
    /// When the last gap ended, and what was settled before it and those shortly before.
    gap_end: Moment,
    settled_before_gap: Moment,
    resumed: Moment,
}

impl Pulse {
    /// Interval at which [`Pulse::beat`] is to be called.
    pub const INTERVAL: Duration = Duration::from_millis(30);

    /// Records a beat.
    pub fn beat(&mut self, now: Moment) {
        if now.saturating_sub(self.last) <= MAX_GAP {
            self.settled = self.last;
        } else {
            if now.saturating_sub(self.gap_end) > CATCH_UP_TIME {
                self.settled_before_gap = self.settled;
            }
            self.gap_end = now;
        }
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

    /// Moment up to which all input that had arrived for a task has been handled. The
    /// task waits since `since`: one that waited in a gap may get its turn late after
    /// it, so beats after the gap show nothing.
    pub fn settled(&self, since: Moment) -> Moment {
        match since < self.gap_end {
            true => self.settled_before_gap,
            false => self.settled,
        }
    }
}
