use compact_str::CompactString;
use domain::ModelSource;
use serde::{Deserialize, Serialize};

/// Path of a request for target versions.
pub const TARGETS_PATH: &str = "/goals";

/// A version and the milliseconds since its declaration, if known.
pub type VersionAge = (u64, Option<u64>);

/// Request of an agent to an entry for declared versions. The entry responds as soon
/// as it has newer versions or model sources than the agent, or when `wait` is over.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct TargetsRequest {
    /// For each model, the newest declared version that the agent has received.
    pub newest: Vec<(CompactString, u64)>,
    /// Model sources that the agent has received.
    #[serde(rename = "supplies")]
    pub sources: Vec<ModelSource>,
    /// Version of the configuration that the sources come from; 0 for none.
    #[serde(rename = "plan")]
    pub config_version: u64,
    /// Milliseconds for which the response may be delayed.
    pub wait: u64,
}

/// Response of an entry with its declared versions and model sources.
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
