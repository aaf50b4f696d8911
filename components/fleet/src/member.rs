use std::net::SocketAddr;

use config::{FailureDomainId, RegionId, ServiceId, VmId};
use serde::{Deserialize, Serialize};

/// Role of a VM.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Role {
    /// Receives requests from callers.
    Entry,
    /// Runs an upstream and its agent.
    Upstream,
}

/// State of a VM on the platform's list.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum VmState {
    /// In use.
    Live,
    /// About to be removed by the platform.
    Leaving,
}

/// A VM on the platform's list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Id of the VM.
    pub vm: VmId,
    /// Role of the VM.
    pub role: Role,
    /// Address of the entry or agent on the VM.
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
