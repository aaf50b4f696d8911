use std::net::SocketAddr;
use std::time::Duration;

use config::{Digest, VersionId, VmId};
use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};

use crate::{Crash, Load, Ticket};

/// Sent by an entry to each agent of its subset.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Heartbeat {
    /// VM of the entry.
    pub vm: VmId,
    /// Address at which the entry serves its configuration.
    pub addr: SocketAddr,
    /// Revision in force at the entry.
    pub revision: u64,
}

/// Whether an agent accepts runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Availability {
    /// Accepts runs.
    Open,
    /// Not ready: no configuration, no weights or no upstream yet.
    Starting,
    /// Its failure domain is out of service.
    OutOfService,
    /// About to stop, or its upstream is.
    Leaving,
    /// Its upstream wants no requests for some time.
    Paused,
}

/// Progress of a model on one VM.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Progress {
    /// Version being fetched or served.
    pub version: VersionId,
    /// Chunks verified.
    #[serde(rename = "have")]
    pub verified: u32,
    /// Chunks of the version.
    pub total: u32,
    /// Bytes downloaded from the origin.
    pub origin_bytes: u64,
    /// Bytes downloaded from peers.
    pub peer_bytes: u64,
    /// Digest of the weights that the engine reports as loaded.
    pub serving: Option<Digest>,
}

/// An agent's reply to a heartbeat.
#[serde_as]
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct HeartbeatReply {
    /// The agent's VM.
    pub vm: VmId,
    /// Ticket for the next runs.
    pub ticket: Ticket,
    /// Whether the agent accepts runs.
    #[serde(rename = "door")]
    pub availability: Availability,
    /// Load of the upstream.
    pub load: Load,
    /// Revision in force at the agent.
    pub revision: u64,
    /// Progress of the service's model, if it has one.
    pub progress: Option<Progress>,
    /// Recent crashes of the upstream.
    pub crashes: Vec<Crash>,
    /// Time until a paused upstream wants requests again. It is left out otherwise:
    /// processes of earlier releases do not know it.
    #[serde_as(as = "Option<DurationMilliSeconds<u64>>")]
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub retry_after: Option<Duration>,
}
