use std::collections::HashMap;
use std::time::Duration;

use compact_str::CompactString;
use domain::Moment;

/// Share by which the patience of callers differs; only who has less left than
/// that has been here before.
const PATIENCE_SPREAD: f64 = 0.16;

/// Tells callers who come back from new ones.
///
/// Answers the burst after which refused callers return: counted as new ones they
/// would take the places of those who can still be on time.
#[derive(Debug, Default)]
pub struct FirstAttemptEstimator {
    patience: HashMap<CompactString, Duration>,
}

impl FirstAttemptEstimator {
    /// When the first attempt of a request of a route was sent, as far as its
    /// `patience` tells: callers who come back have less of it left.
    pub fn estimate(&mut self, route: &str, arrived: Moment, patience: Duration) -> Moment {
        let most = self.patience.entry(route.into()).or_default();
        *most = (*most).max(patience);
        let age = *most - patience;
        match age < most.mul_f64(PATIENCE_SPREAD) {
            true => arrived,
            false => arrived.saturating_sub(age),
        }
    }
}
