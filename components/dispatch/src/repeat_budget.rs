use std::collections::VecDeque;
use std::time::Duration;

use domain::{Bounds, Moment};

/// Share of the allowance that is used; the rest covers windows that slide
/// between the entries' own.
const SAFETY: f64 = 0.75;
/// Requests are counted in steps of this length.
const STEP: Duration = Duration::from_millis(250);

#[derive(Debug, Clone, Copy)]
struct Step {
    start: Moment,
    requests: u32,
    repeats: u32,
}

/// Bounds the repeats that an entry sends to one service: its share of what
/// all entries together may send in a window.
#[derive(Debug)]
pub struct RepeatBudget {
    ratio: f64,
    slack: f64,
    window: Duration,
    steps: VecDeque<Step>,
}

impl RepeatBudget {
    /// A budget within the operators' bounds.
    pub fn new(bounds: &Bounds) -> Self {
        RepeatBudget {
            ratio: bounds.retry_ratio,
            slack: bounds.retry_slack,
            window: bounds.retry_window,
            steps: VecDeque::new(),
        }
    }

    /// Counts a request of a caller.
    pub fn request(&mut self, now: Moment) {
        self.step(now).requests += 1;
    }

    /// Takes one repeat from the share of one in `entries`; false when the
    /// share is used up.
    pub fn spend(&mut self, now: Moment, entries: usize) -> bool {
        self.step(now);
        let (requests, repeats) = self
            .steps
            .iter()
            .fold((0, 0), |(q, r), s| (q + s.requests, r + s.repeats));
        let share = self.slack / f64::from(u32::try_from(entries.max(1)).unwrap_or(u32::MAX));
        let allowed = (self.ratio * f64::from(requests) + share) * SAFETY;
        if f64::from(repeats) + 1.0 > allowed {
            return false;
        }
        self.step(now).repeats += 1;
        true
    }

    fn step(&mut self, now: Moment) -> &mut Step {
        while self
            .steps
            .front()
            .is_some_and(|s| s.start + self.window < now)
        {
            self.steps.pop_front();
        }
        let fresh = self.steps.back().is_none_or(|s| s.start + STEP <= now);
        if fresh {
            self.steps.push_back(Step {
                start: now,
                requests: 0,
                repeats: 0,
            });
        }
        let last = self.steps.len() - 1;
        &mut self.steps[last]
    }
}
