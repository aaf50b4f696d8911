use std::collections::VecDeque;
use std::time::Duration;

use domain::{Bounds, Moment};

/// Fraction of the bound that is used: windows of several entries are not aligned,
/// so more retries may fall into a window that overlaps two of them.
const USED_FRACTION: f64 = 0.75;
/// Length of the buckets in which requests are counted.
const BUCKET_TIME: Duration = Duration::from_millis(250);

#[derive(Debug, Clone, Copy)]
struct Bucket {
    start: Moment,
    requests: u32,
    retries: u32,
}

/// Bounds the retries that an entry sends to one service: its share of those that
/// all entries together may send in a window.
#[derive(Debug)]
pub struct RetryBudget {
    ratio: f64,
    slack: f64,
    window: Duration,
    buckets: VecDeque<Bucket>,
}

impl RetryBudget {
    /// An empty budget with the bounds that the operators set.
    pub fn new(bounds: &Bounds) -> Self {
        RetryBudget {
            ratio: bounds.retry_ratio,
            slack: bounds.retry_slack,
            window: bounds.retry_window,
            buckets: VecDeque::new(),
        }
    }

    /// Counts a caller's request, which adds to the budget.
    pub fn record_request(&mut self, now: Moment) {
        self.current_bucket(now).requests += 1;
    }

    /// Takes one retry from the share that each of `entries` entries has; returns
    /// false when the share is used up.
    pub fn try_withdraw(&mut self, now: Moment, entries: usize) -> bool {
        self.current_bucket(now);
        let (requests, retries) = self
            .buckets
            .iter()
            .fold((0, 0), |(q, r), b| (q + b.requests, r + b.retries));
        let share = self.slack / f64::from(u32::try_from(entries.max(1)).unwrap_or(u32::MAX));
        let allowed = (self.ratio * f64::from(requests) + share) * USED_FRACTION;
        if f64::from(retries) + 1.0 > allowed {
            return false;
        }
        self.current_bucket(now).retries += 1;
        true
    }

    fn current_bucket(&mut self, now: Moment) -> &mut Bucket {
        while self
            .buckets
            .front()
            .is_some_and(|b| b.start + self.window < now)
        {
            self.buckets.pop_front();
        }
        let is_over = self
            .buckets
            .back()
            .is_none_or(|b| b.start + BUCKET_TIME <= now);
        if is_over {
            self.buckets.push_back(Bucket {
                start: now,
                requests: 0,
                retries: 0,
            });
        }
        let last = self.buckets.len() - 1;
        &mut self.buckets[last]
    }
}
