use std::collections::HashMap;
use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use crate::{FailureDomainId, RegionId, ServiceId, VmId};

/// Where a process runs.
#[derive(Debug, Clone, PartialEq)]
pub struct NodeSettings {
    /// Name of the VM.
    pub vm: VmId,
    /// Its address.
    pub ip: IpAddr,
    /// Its failure domain.
    pub failure_domain: FailureDomainId,
    /// Its region.
    pub region: RegionId,
    /// First of the ports for traffic between the project's processes; the same
    /// on every VM.
    pub peer_port: u16,
    /// Region of each failure domain.
    pub regions: HashMap<FailureDomainId, RegionId>,
    /// Address of the platform's store.
    pub store: SocketAddr,
    /// Addresses at which a few entries may be found.
    pub seeds: Vec<SocketAddr>,
    /// Bounds that operators promise to callers.
    pub bounds: Bounds,
    /// Bytes that the VM's link carries in a second.
    pub link_rate: f64,
}

impl NodeSettings {
    /// Region of a failure domain; empty when it is not known.
    pub fn region_of(&self, domain: &str) -> &str {
        self.regions.get(domain).map_or("", |r| r.as_str())
    }
}

/// Where an entry listens.
#[derive(Debug, Clone, PartialEq)]
pub struct EntrySettings {
    /// The VM.
    pub node: NodeSettings,
    /// Address for callers.
    pub caller_addr: SocketAddr,
    /// Address for readiness checks.
    pub readiness_addr: SocketAddr,
    /// Address for other processes of the project.
    pub peer_addr: SocketAddr,
}

/// Where an agent finds its engine.
#[derive(Debug, Clone, PartialEq)]
pub struct AgentSettings {
    /// The VM.
    pub node: NodeSettings,
    /// Address of the engine on the same VM.
    pub engine: SocketAddr,
    /// Service of the engine.
    pub service: ServiceId,
}

/// Bounds that operators promise to callers.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Bounds {
    /// From the removal of a key to its last use.
    pub revocation: Duration,
    /// From a new weight version to the last start on an older one.
    pub weight_rollout: Duration,
    /// From SIGTERM to SIGKILL.
    pub shutdown_grace: Duration,
    /// Repeats at a service as a share of its requests.
    pub retry_ratio: f64,
    /// Repeats at a service beyond that share, in one window.
    pub retry_slack: f64,
    /// Window of the repeats.
    pub retry_window: Duration,
    /// Factor on a cold upstream's rate.
    pub cold_factor: f64,
    /// Requests beyond a cold upstream's rate in one second.
    pub cold_slack: f64,
}
