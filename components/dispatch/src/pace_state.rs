use std::time::Duration;

use domain::{Moment, Pace};

/// Age up to which a statement counts in full. Slow stretches last about 600 ms, and a
/// loader states one 75 ms after its begin on average.
const HOLD_TIME: Duration = Duration::from_millis(400);
/// Time after that in which a statement fades to the usual pace.
const FADE_TIME: Duration = Duration::from_millis(300);
/// Largest slowdown that is taken into account; beyond it, other rules exclude an upstream
/// that does not answer.
const MAX_SLOWDOWN: f64 = 4.0;
/// Decrease of the slowdown in a second, at most. All entries learn at the same moment that
/// an engine is fast again: by such steps, the first of them have announced what they sent
/// before the others see the whole gain. A stretch of 2.5 ends in 150 ms.
const RECOVERY_RATE: f64 = 10.0;
/// Slowdown from which on an upstream counts as slow.
const SLOW: f64 = 1.2;
/// Longest delay of a response that a slow upstream explains: one slow stretch.
const MAX_DELAY: Duration = Duration::from_millis(600);

/// Pace of one start of an upstream, as it was last stated.
#[derive(Debug, Clone, Default)]
pub struct PaceState {
    /// The newest statement.
    stated: Option<Statement>,
    /// The newest statement that it is slow, and its slowdown.
    slow: Option<(Moment, f64)>,
}

#[derive(Debug, Clone, Copy)]
struct Statement {
    at: Moment,
    slowdown: f64,
    /// Slowdown in force when it arrived.
    previous: f64,
}

impl PaceState {
    /// Records a statement that arrived at `now`; one that arrived later stays in force.
    pub fn record(&mut self, now: Moment, pace: Pace) {
        if self.stated.is_some_and(|s| s.at > now) {
            return;
        }
        // An upstream that states to be faster than usual gets no more than others: each
        // entry would prefer it at the same moment.
        let slowdown = pace.factor().clamp(1.0, MAX_SLOWDOWN);
        let statement = Statement {
            at: now,
            slowdown,
            previous: self.slowdown(now),
        };
        self.stated = Some(statement);
        if slowdown >= SLOW {
            self.slow = Some((now, slowdown));
        }
    }

    /// Time that work takes, relative to the usual time: from 1 to 4.
    pub fn slowdown(&self, now: Moment) -> f64 {
        let Some(stated) = self.stated else {
            return 1.0;
        };
        let age = now.saturating_sub(stated.at);
        let faded = age.saturating_sub(HOLD_TIME).div_duration_f64(FADE_TIME);
        let current = 1.0 + (stated.slowdown - 1.0) * (1.0 - faded.min(1.0));
        current.max(stated.previous - RECOVERY_RATE * age.as_secs_f64())
    }

    /// Whether it is slow now.
    pub fn is_slow(&self, now: Moment) -> bool {
        self.slowdown(now) >= SLOW
    }

    /// Time beyond `expected` that a response may take which was requested at `since`, as
    /// the upstream stated to be slow meanwhile or shortly before.
    pub fn explained_delay(&self, since: Moment, expected: Duration) -> Duration {
        let slow = self.slow.filter(|(at, _)| *at + HOLD_TIME >= since);
        let delay = slow.map(|(_, slowdown)| expected.mul_f64(slowdown - 1.0));
        delay.unwrap_or_default().min(MAX_DELAY)
    }
}
