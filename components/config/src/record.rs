use compact_str::CompactString;
use serde::{Deserialize, Serialize};

/// A change of configuration that an operator asks for.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Proposal {
    /// Unique id, chosen by the operator's command.
    pub id: CompactString,
    /// Revision that the change was made against.
    pub base: u64,
    /// Who asks.
    pub author: CompactString,
    /// The whole new text.
    pub text: String,
}

/// The configuration in force after all records before an offset.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Checkpoint {
    /// Offset of the first record that is not included.
    pub as_of: u64,
    /// Revision in force.
    pub revision: u64,
    /// Text in force.
    pub text: String,
}

/// An upstream's crash, with the requests that were in flight.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashReport {
    /// VM of the upstream.
    pub vm: CompactString,
    /// Id of the crash.
    pub id: CompactString,
    /// Fingerprints of the requests.
    pub fingerprints: Vec<u64>,
}

/// A record of the configuration stream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "lowercase")]
pub enum Record {
    /// A change to be decided.
    Proposal(Proposal),
    /// A summary of the decided changes.
    Checkpoint(Checkpoint),
    /// A crash that every entry has to hear of. Changes no configuration.
    Crash(CrashReport),
}
