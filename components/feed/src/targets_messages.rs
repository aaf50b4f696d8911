use compact_str::CompactString;
use domain::ModelSource;
use serde::{Deserialize, Serialize};

/// Path of a request for target versions.
pub const TARGETS_PATH: &str = "/goals";

/// A version and the milliseconds since its declaration, if known.
pub type VersionAge = (u64, Option<u64>);

/// Asks an entry for declared versions. The entry responds as soon as it knows
/// more than the agent, or when `wait` is over.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct TargetsRequest {
    /// Newest declared version of each model that the agent knows.
    pub newest: Vec<(CompactString, u64)>,
    /// Model sources that the agent knows.
    #[serde(rename = "supplies")]
    pub sources: Vec<ModelSource>,
    /// Version of the configuration that the sources come from; 0 for none.
    #[serde(rename = "plan")]
    pub config_version: u64,
    /// Milliseconds for which the response may be delayed.
    pub wait: u64,
}

/// Declared versions and model sources that an entry knows.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct TargetsResponse {
    /// Declared versions of each model.
    pub declared: Vec<(CompactString, Vec<VersionAge>)>,
    /// Model sources of all services.
    #[serde(rename = "supplies")]
    pub sources: Vec<ModelSource>,
    /// Version of the configuration that the sources come from; 0 for none.
    #[serde(rename = "plan")]
    pub config_version: u64,
    /// Milliseconds since the entry last confirmed the operators' records.
    pub age: Option<u64>,
    /// Milliseconds for which the response was delayed.
    #[serde(rename = "held")]
    pub delay: u64,
}
