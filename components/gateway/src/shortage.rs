use std::time::Duration;

use domain::WeightVersion;

/// Why a request found no place; what a log line needs to explain it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Shortage {
    /// When to come back.
    pub retry_after: Duration,
    /// Requests of the service that waited here.
    pub waiting: usize,
    /// Upstreams of the service that are listed.
    pub listed: usize,
    /// Upstreams that took work.
    pub open: usize,
    /// Requests in flight at them from all entries, and their slots.
    pub load: (u32, u32),
    /// Weight version that an upstream had to have.
    pub weights: Option<WeightVersion>,
}
