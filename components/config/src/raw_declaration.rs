use std::collections::BTreeMap;
use std::time::Duration;

use compact_str::CompactString;
use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSecondsWithFrac, serde_as};

use crate::{
    ClientAccount, ClientAccountId, FailureDomain, FailureDomainId, Fencing, Model, ModelId,
    RegionId, ServiceId,
};

/// The operators' configuration as written, before its values are checked.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawDeclaration {
    /// Region of the origin of weights. VMs in this region reach the origin without
    /// crossing a link between regions.
    pub origin_region: RegionId,
    /// Failure domains by name.
    pub failure_domains: BTreeMap<FailureDomainId, FailureDomain>,
    /// Client accounts by name.
    pub client_accounts: BTreeMap<ClientAccountId, ClientAccount>,
    /// Models by name.
    #[serde(default)]
    pub models: BTreeMap<ModelId, Model>,
    /// Services by name.
    pub services: BTreeMap<ServiceId, RawService>,
}

/// A service before its values are checked.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawService {
    /// Model that the service's engines serve; none for a plain service.
    #[serde(default)]
    pub model: Option<ModelId>,
    /// Whether the engines refuse orders with an old fencing number.
    #[serde(default)]
    pub fencing: Fencing,
    /// Services that this one calls.
    #[serde(default)]
    pub depends_on: Vec<ServiceId>,
    /// Most requests in flight at one warm upstream.
    pub limit: usize,
    /// Most requests in flight at an upstream that has just started.
    pub cold_limit: usize,
    /// Most requests that wait at one entry.
    pub queue: usize,
    /// Deadline of a request that sets none, in milliseconds.
    #[serde_as(as = "DurationMilliSecondsWithFrac<f64>")]
    #[serde(rename = "deadline_ms")]
    pub deadline: Duration,
    /// Priority of a request that sets none, 0 (lowest) to 9.
    #[serde(default = "default_priority")]
    pub priority: u8,
    /// Routes of the service.
    pub routes: Vec<RawRoute>,
}

/// A route before its values are checked.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawRoute {
    /// HTTP method.
    pub method: CompactString,
    /// Path below the service's name, beginning with a slash.
    pub path: CompactString,
    /// Whether a request that may have run may be sent again.
    pub idempotent: bool,
}

fn default_priority() -> u8 {
    5
}
