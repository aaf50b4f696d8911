use compact_str::CompactString;
use serde::{Deserialize, Serialize};

/// A change of the configuration that an operator proposes.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Proposal {
    /// Unique id, chosen by the operator's command.
    pub id: CompactString,
    /// Revision that the change is based on.
    pub base: u64,
    /// Operator who proposed the change.
    pub author: CompactString,
    /// The complete new declaration as JSON.
    pub text: String,
}

/// The active configuration after all records before an offset.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Checkpoint {
    /// Offset of the first record that is not included.
    pub as_of: u64,
    /// Active revision.
    pub revision: u64,
    /// Active declaration as JSON.
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
    /// A proposed change; its place in the log decides whether it is accepted.
    Proposal(Proposal),
    /// A configuration from which readers start when earlier records have expired.
    Checkpoint(Checkpoint),
    /// A crash, reported to every entry. Does not change the configuration.
    Crash(CrashReport),
}
