use std::time::Duration;

use domain::WeightVersion;
use serde_json::{Value, json};

/// Why a request got no slot, for the logs and the advised wait.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Shortage {
    /// Advised wait before a retry.
    pub retry_after: Duration,
    /// Queued requests of the service at this entry.
    pub waiting: usize,
    /// Listed upstreams of the service.
    pub listed: usize,
    /// Those of them that stated that they accept no requests.
    pub closed: usize,
    /// Upstreams that accepted requests.
    pub open: usize,
    /// Requests of all entries in flight at the open upstreams, and their slots.
    pub load: (u32, u32),
    /// Oldest weight version that the request accepts.
    pub min_weight_version: Option<WeightVersion>,
}

impl Shortage {
    /// Fields of a decision line.
    pub fn fields(self) -> Value {
        json!({
            "waiting": self.waiting, "listed": self.listed, "closed": self.closed,
            "open": self.open, "in_flight": self.load.0, "slots": self.load.1,
            "weights": self.min_weight_version,
        })
    }
}
