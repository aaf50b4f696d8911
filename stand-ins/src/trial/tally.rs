//! Counts of how requests ended.

use std::collections::HashMap;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use hdrhistogram::Histogram;

use crate::trial::caller::{CallOutcome, FinishedCall};

/// Requests of a trial, counted as their callers saw them end.
#[derive(Debug, Clone)]
pub struct Counts {
    /// Requests sent.
    pub requests: u64,
    /// Whole right answers.
    pub answered: u64,
    /// Told "not run".
    pub refused: u64,
    /// Refusals that did not say when to come back.
    pub without_retry: u64,
    /// Told "unknown".
    pub unknown: u64,
    /// Told "failed".
    pub failed: u64,
    /// Broken off or without any answer.
    pub lost: u64,
    /// Complete but not the caller's answer.
    pub wrong: u64,
    /// Total times of answered requests, in microseconds.
    pub latency: Histogram<u64>,
    /// Orders by what their callers were told.
    pub orders: HashMap<String, CallOutcome>,
    /// First few broken or wrong ends, for the reader.
    pub samples: Vec<String>,
}

/// Counts shared by many callers.
#[derive(Debug)]
pub struct Tally {
    counts: Mutex<Counts>,
}

impl Default for Counts {
    fn default() -> Self {
        Counts {
            requests: 0,
            answered: 0,
            refused: 0,
            without_retry: 0,
            unknown: 0,
            failed: 0,
            lost: 0,
            wrong: 0,
            latency: histogram(),
            orders: HashMap::new(),
            samples: Vec::new(),
        }
    }
}

impl Default for Tally {
    fn default() -> Self {
        Tally {
            counts: Mutex::new(Counts::default()),
        }
    }
}

impl Tally {
    /// Counts a request that was sent.
    pub fn record_sent(&self) {
        self.lock().requests += 1;
    }

    /// Counts how a request ended; `order` names one that may run at most once.
    pub fn record_finished(&self, finished: &FinishedCall, order: Option<String>) {
        let mut counts = self.lock();
        match &finished.outcome {
            CallOutcome::Answered => {
                counts.answered += 1;
                let micros = u64::try_from(finished.total_time.as_micros()).unwrap_or(u64::MAX);
                counts.latency.saturating_record(micros);
            }
            CallOutcome::NotRun => {
                counts.refused += 1;
                counts.without_retry += u64::from(!finished.retry_after);
            }
            CallOutcome::Unknown => counts.unknown += 1,
            CallOutcome::Failed => counts.failed += 1,
            CallOutcome::Broken(why) => {
                counts.lost += 1;
                sample(&mut counts, format!("broken: {why}"));
            }
            CallOutcome::Wrong(why) => {
                counts.wrong += 1;
                sample(&mut counts, format!("wrong: {why}"));
            }
        }
        if let Some(order) = order {
            counts.orders.insert(order, finished.outcome.clone());
        }
    }

    /// A copy of the counts.
    pub fn counts(&self) -> Counts {
        self.lock().clone()
    }

    fn lock(&self) -> MutexGuard<'_, Counts> {
        self.counts.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A histogram of times from 1 microsecond to 100 s.
fn histogram() -> Histogram<u64> {
    // The bounds are valid, so the fallback is never taken.
    Histogram::new_with_bounds(1, 100_000_000, 3)
        .or_else(|_| Histogram::new(3))
        .unwrap_or_else(|_| unreachable!("three digits are a valid precision"))
}

fn sample(counts: &mut Counts, text: String) {
    if counts.samples.len() < 5 {
        counts.samples.push(text);
    }
}

impl Counts {
    /// A percentile of the total times of answered requests.
    pub fn percentile(&self, p: f64) -> Duration {
        Duration::from_micros(self.latency.value_at_percentile(p))
    }
}
