use std::collections::HashMap;
use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use crate::{FailureDomainId, RegionId, ServiceId, VmId};

/// Settings of a VM that all its processes share.
#[derive(Debug, Clone, PartialEq)]
pub struct NodeSettings {
    /// Name of the VM.
    pub vm: VmId,
    /// IP address of the VM.
    pub ip: IpAddr,
    /// Failure domain of the VM.
    pub failure_domain: FailureDomainId,
    /// Region of the VM.
    pub region: RegionId,
    /// Port for traffic between the project's processes, the first of the internal
    /// range; the same on every VM.
    pub peer_port: u16,
    /// Region of each failure domain.
    pub regions: HashMap<FailureDomainId, RegionId>,
    /// Address of the platform's store.
    pub store: SocketAddr,
    /// Addresses of a few entries, which are contacted in addition to the entries
    /// that have announced themselves.
    pub seeds: Vec<SocketAddr>,
    /// Bounds that the operators guarantee.
    pub bounds: Bounds,
    /// Limits on what is held for clients.
    pub clients: ClientLimits,
    /// Bandwidth of the VM's network link, in bytes per second.
    pub link_rate: f64,
}

impl NodeSettings {
    /// Region of a failure domain; empty if it is not configured.
    pub fn region_of(&self, domain: &str) -> &str {
        self.regions.get(domain).map_or("", |r| r.as_str())
    }
}

/// Limits on what a process holds for clients that nobody controls.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ClientLimits {
    /// Most bytes that are held for callers and upstreams.
    pub held_bytes: usize,
    /// Most of them that are held for one caller address.
    pub address_bytes: usize,
    /// Most of them that are held for one client account.
    pub account_bytes: usize,
    /// Longest time without a byte of a body.
    pub body_pause: Duration,
    /// Least bytes of a body a second, on average.
    pub body_rate: u64,
    /// Most header fields of a request.
    pub head_fields: usize,
    /// Longest time from the first byte of a request's head to its end.
    pub head_time: Duration,
}

/// Settings of an entry.
#[derive(Debug, Clone, PartialEq)]
pub struct EntrySettings {
    /// Settings of the VM.
    pub node: NodeSettings,
    /// Listen address for callers.
    pub caller_addr: SocketAddr,
    /// Listen address for readiness checks.
    pub readiness_addr: SocketAddr,
    /// Listen address for other processes of the project.
    pub peer_addr: SocketAddr,
    /// Whether the deployment has client accounts. Then a configuration whose list of them
    /// is empty admits nobody.
    pub has_accounts: bool,
}

/// Settings of an agent.
#[derive(Debug, Clone, PartialEq)]
pub struct AgentSettings {
    /// Settings of the VM.
    pub node: NodeSettings,
    /// Address of the engine on the same VM.
    pub engine: SocketAddr,
    /// Service that the engine belongs to.
    pub service: ServiceId,
}

/// Bounds that the operators guarantee.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Bounds {
    /// Longest time from the removal of an API key to its last accepted use.
    pub revocation: Duration,
    /// Longest time from the declaration of a weight version to the last request
    /// that starts on an older one.
    pub weight_rollout: Duration,
    /// Time from SIGTERM to SIGKILL.
    pub shutdown_grace: Duration,
    /// Retries at a service as a share of its requests.
    pub retry_ratio: f64,
    /// Retries at a service beyond that share, per window.
    pub retry_slack: f64,
    /// Window in which retries are counted.
    pub retry_window: Duration,
    /// Requests per second that a cold upstream may get, as a multiple of its cold
    /// rate.
    pub cold_factor: f64,
    /// Requests that a cold upstream may get beyond that, per second.
    pub cold_slack: f64,
}
