use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSecondsWithFrac, serde_as};

use crate::{ConfigError, FailureDomainId, RegionId, ServiceId, VmId, parse_json};

/// Addresses of the platform's services.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlatformSettings {
    /// Append-only log.
    pub log: SocketAddr,
    /// List of VMs.
    pub vms: SocketAddr,
    /// Origin of weights.
    pub origin: SocketAddr,
}

/// Settings that all processes of a VM share.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct NodeSettings {
    /// Id of the VM.
    pub vm: VmId,
    /// Address to listen on.
    pub listen: SocketAddr,
    /// Failure domain of the VM.
    pub failure_domain: FailureDomainId,
    /// Region of the VM.
    pub region: RegionId,
    /// Addresses of the platform's services.
    pub platform: PlatformSettings,
    /// Longest graceful shutdown, in milliseconds in the file.
    #[serde_as(as = "DurationMilliSecondsWithFrac<f64>")]
    #[serde(rename = "drain_ms")]
    pub drain: Duration,
}

/// Settings of an entry.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EntrySettings {
    /// Settings of its VM.
    pub node: NodeSettings,
}

/// Settings of an agent.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AgentSettings {
    /// Settings of its VM.
    pub node: NodeSettings,
    /// Service of the agent's upstream, on the same VM.
    pub service: ServiceId,
    /// Address of the upstream.
    pub upstream: SocketAddr,
    /// Most bytes of weights kept in memory.
    pub memory_bytes: u64,
}

/// Reads a settings file.
fn load<T: DeserializeOwned>(path: &Path) -> Result<T, ConfigError> {
    let file = path.display().to_string();
    let json = std::fs::read_to_string(path).map_err(|e| {
        let remedy = "name a readable settings file";
        ConfigError::new(".", e.to_string(), remedy).in_file(&file)
    })?;
    parse_json(&file, &json)
}

impl EntrySettings {
    /// Reads the settings of an entry.
    pub fn load(path: &Path) -> Result<Self, ConfigError> {
        load(path)
    }
}

impl AgentSettings {
    /// Reads the settings of an agent.
    pub fn load(path: &Path) -> Result<Self, ConfigError> {
        load(path)
    }
}
