use std::time::Duration;

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

use crate::raw_declaration::{RawRoute, RawService};
use crate::{ConfigError, ModelId, ServiceId};

/// Shortest deadline a service may declare.
const MIN_DEADLINE: Duration = Duration::from_millis(1);
/// Longest deadline a service may declare.
const MAX_DEADLINE: Duration = Duration::from_secs(3600);
/// Highest priority of a request.
const MAX_PRIORITY: u8 = 9;

/// Whether an engine refuses orders that carry an old fencing number.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Fencing {
    /// The engine refuses orders with an old number.
    Checked,
    /// The engine carries out any order.
    #[default]
    Ignored,
}

/// A checked route.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Route {
    /// HTTP method in upper case.
    pub method: CompactString,
    /// Path below the service's name.
    pub path: CompactString,
    /// Whether a request that may have run may be sent again.
    pub idempotent: bool,
}

/// A checked service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Service {
    /// Model that the engines serve; none for a plain service.
    pub model: Option<ModelId>,
    /// Whether the engines check fencing numbers.
    pub fencing: Fencing,
    /// Services that this one calls.
    pub depends_on: Vec<ServiceId>,
    /// Most requests in flight at one warm upstream.
    pub limit: usize,
    /// Most requests in flight at an upstream that has just started.
    pub cold_limit: usize,
    /// Most requests that wait at one entry.
    pub queue: usize,
    /// Deadline of a request that sets none.
    pub deadline: Duration,
    /// Priority of a request that sets none, 0 (lowest) to 9.
    pub priority: u8,
    /// Routes of the service.
    pub routes: Vec<Route>,
}

impl Service {
    /// Finds the route for a method and a path below the service's name.
    pub fn route(&self, method: &str, path: &str) -> Option<&Route> {
        self.routes
            .iter()
            .find(|r| r.method == method && r.path == path)
    }
}

impl TryFrom<RawService> for Service {
    type Error = ConfigError;

    fn try_from(raw: RawService) -> Result<Self, ConfigError> {
        check_limits(&raw)?;
        if raw.routes.is_empty() {
            let remedy = "declare at least one route";
            return Err(ConfigError::new("routes", "is empty", remedy));
        }
        let routes = raw
            .routes
            .into_iter()
            .enumerate()
            .map(|(i, r)| checked_route(i, r))
            .collect::<Result<_, _>>()?;
        Ok(Service {
            model: raw.model,
            fencing: raw.fencing,
            depends_on: raw.depends_on,
            limit: raw.limit,
            cold_limit: raw.cold_limit,
            queue: raw.queue,
            deadline: raw.deadline,
            priority: raw.priority,
            routes,
        })
    }
}

fn check_limits(raw: &RawService) -> Result<(), ConfigError> {
    let fail = |path: &str, found: String, remedy: &str| {
        Err(ConfigError::new(path, format!("is {found}"), remedy))
    };
    if raw.cold_limit == 0 {
        return fail("cold_limit", "0".into(), "give at least 1");
    }
    if raw.limit < raw.cold_limit {
        let remedy = "give at least the cold_limit";
        return fail("limit", raw.limit.to_string(), remedy);
    }
    if raw.deadline < MIN_DEADLINE || raw.deadline > MAX_DEADLINE {
        let found = (raw.deadline.as_secs_f64() * 1000.0).to_string();
        return fail("deadline_ms", found, "give 1 to 3600000");
    }
    if raw.priority > MAX_PRIORITY {
        return fail("priority", raw.priority.to_string(), "give 0 to 9");
    }
    Ok(())
}

fn checked_route(index: usize, raw: RawRoute) -> Result<Route, ConfigError> {
    let path = |field: &str| format!("routes[{index}].{field}");
    if !["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"].contains(&raw.method.as_str()) {
        let problem = format!("is {:?}", raw.method);
        let remedy = "give GET, HEAD, POST, PUT, PATCH or DELETE";
        return Err(ConfigError::new(path("method"), problem, remedy));
    }
    if !raw.path.starts_with('/') || raw.path.contains(['?', '#', ' ']) {
        let problem = format!("is {:?}", raw.path);
        let remedy = "begin with a slash and leave out query, fragment and spaces";
        return Err(ConfigError::new(path("path"), problem, remedy));
    }
    Ok(Route {
        method: raw.method,
        path: raw.path,
        idempotent: raw.idempotent,
    })
}
