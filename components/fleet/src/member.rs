use std::net::SocketAddr;

use config::{FailureDomainId, RegionId, ServiceId, VmId};
use serde::{Deserialize, Serialize};

/// What a VM is for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Role {
    /// Takes callers' requests.
    Entry,
    /// Runs an upstream with an agent beside it.
    Upstream,
}

/// State of a VM as the platform lists it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum VmState {
    /// In use.
    Live,
    /// About to be taken away.
    Leaving,
}

/// A VM on the platform's list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Id of the VM.
    pub vm: VmId,
    /// What the VM is for.
    pub role: Role,
    /// Address of our process on it.
    pub addr: SocketAddr,
    /// Failure domain of the VM.
    pub failure_domain: FailureDomainId,
    /// Region of the VM.
    pub region: RegionId,
    /// Service of its upstream; empty for an entry.
    pub service: ServiceId,
    /// State on the list.
    pub state: VmState,
}
