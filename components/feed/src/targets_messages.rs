use compact_str::CompactString;
use domain::ModelSource;
use serde::{Deserialize, Serialize};

/// Path of a question for what an agent has to bring.
pub const GOALS_PATH: &str = "/goals";

/// A version and milliseconds since its declaration, where they are known.
pub type Aged = (u64, Option<u64>);

/// Asks an entry for declared versions; it answers once it has news.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct TargetsRequest {
    /// Newest version of each model that the agent knows.
    pub newest: Vec<(CompactString, u64)>,
    /// What it knows of the configuration.
    pub supplies: Vec<ModelSource>,
    /// Version of the configuration that this comes from, 0 for none.
    pub plan: u64,
    /// Milliseconds for which the answer may wait for news.
    pub wait: u64,
}

/// What an entry knows of the versions to be brought.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct TargetsResponse {
    /// Declared versions of each model.
    pub declared: Vec<(CompactString, Vec<Aged>)>,
    /// What agents need of the configuration.
    pub supplies: Vec<ModelSource>,
    /// Version of the configuration that this comes from, 0 for none.
    pub plan: u64,
    /// Milliseconds since the operators' records were confirmed.
    pub age: Option<u64>,
    /// Milliseconds for which the question was held.
    pub held: u64,
}
