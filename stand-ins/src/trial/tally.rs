//! Counts of the outcomes of requests.

use std::collections::HashMap;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use hdrhistogram::Histogram;

use crate::trial::caller::{CallOutcome, FinishedCall};

/// Numbers of requests by the outcome that their callers saw.
#[derive(Debug, Clone)]
pub struct Counts {
    /// Requests sent.
    pub requests: u64,
    /// Complete and correct responses.
    pub answered: u64,
    /// Refusals: outcome `not-run`.
    pub refused: u64,
    /// Refusals without `retry-after`.
    pub without_retry: u64,
    /// Outcome `unknown`.
    pub unknown: u64,
    /// Outcome `failed`.
    pub failed: u64,
    /// No response, or one that ended early.
    pub lost: u64,
    /// Complete but incorrect responses.
    pub wrong: u64,
    /// Times to the end of the response of answered requests, in microseconds.
    pub latency: Histogram<u64>,
    /// Outcomes by order, of orders that may run at most once.
    pub orders: HashMap<String, CallOutcome>,
    /// Descriptions of the first few lost or wrong responses.
    pub samples: Vec<String>,
}

/// Counts that many callers update.
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

    /// Counts the outcome of a request; `order` is the id of an order that may run at
    /// most once.
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
            CallOutcome::Broken(error) => {
                counts.lost += 1;
                add_sample(&mut counts, format!("broken: {error}"));
            }
            CallOutcome::Wrong(body) => {
                counts.wrong += 1;
                add_sample(&mut counts, format!("wrong: {body}"));
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

/// A histogram of times from 1 µs to 100 s, in microseconds.
fn histogram() -> Histogram<u64> {
    // The bounds are valid, so the fallback is never taken.
    Histogram::new_with_bounds(1, 100_000_000, 3)
        .or_else(|_| Histogram::new(3))
        .unwrap_or_else(|_| unreachable!("three digits are a valid precision"))
}

fn add_sample(counts: &mut Counts, text: String) {
    if counts.samples.len() < 5 {
        counts.samples.push(text);
    }
}

impl Counts {
    /// A percentile of the times to the end of the response of answered requests.
    pub fn percentile(&self, p: f64) -> Duration {
        Duration::from_micros(self.latency.value_at_percentile(p))
    }
}
