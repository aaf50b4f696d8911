use compact_str::CompactString;
use serde::{Deserialize, Serialize};

/// A crash of an upstream, as its agent detected it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Crash {
    /// Id, unique across VMs and restarts.
    pub id: CompactString,
    /// Fingerprints of the requests that were in flight.
    pub fingerprints: Vec<u64>,
}
