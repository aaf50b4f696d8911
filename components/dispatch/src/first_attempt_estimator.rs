use std::collections::HashMap;
use std::time::Duration;

use compact_str::CompactString;
use domain::Moment;

/// Fraction by which the timeouts of first attempts vary; a timeout that is shorter
/// by more than this belongs to a retry.
const TIMEOUT_SPREAD: f64 = 0.16;

/// Estimates when the first attempt of a request was sent.
///
/// After a burst, refused callers retry. Treated as new requests, these retries would
/// take the slots of requests that can still be on time.
#[derive(Debug, Default)]
pub struct FirstAttemptEstimator {
    /// Longest timeout seen, by route.
    longest: HashMap<CompactString, Duration>,
}

impl FirstAttemptEstimator {
    /// Estimated moment of the first attempt of a request that arrived at `arrived`
    /// with the remaining timeout `timeout`. The longest timeout seen on a route is
    /// that of first attempts; a retry has less time left.
    pub fn estimate(&mut self, route: &str, arrived: Moment, timeout: Duration) -> Moment {
        let longest = self.longest.entry(route.into()).or_default();
        *longest = (*longest).max(timeout);
        let age = *longest - timeout;
        match age < longest.mul_f64(TIMEOUT_SPREAD) {
            true => arrived,
            false => arrived.saturating_sub(age),
        }
    }
}
