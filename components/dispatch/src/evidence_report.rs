use serde::{Deserialize, Serialize};

use crate::Feature;

/// Identifies one start of an upstream, and with it its crash, at all entries.
pub type StartId = u64;

/// A crash as entries report it to each other.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashReport {
    /// Start of the upstream that crashed.
    pub id: StartId,
    /// Time since the crash in milliseconds.
    pub age_ms: u64,
    /// Features of the requests in flight, with the time from the latest of these
    /// requests to the crash in milliseconds.
    pub features: Vec<(Feature, u64)>,
}

/// Crashes and completed requests, as an entry reports them to the others.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EvidenceReport {
    /// Crashes, including those that other entries reported.
    pub crashes: Vec<CrashReport>,
    /// Features of requests that this entry saw completed, with the time since the
    /// latest of them in milliseconds.
    pub completions: Vec<(Feature, u64)>,
}
