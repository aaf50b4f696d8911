use std::collections::HashMap;
use std::time::Duration;

use compact_str::CompactString;

use crate::{AccountId, RegionId, Route, ServiceId, ServiceSpec};

/// A client account.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Account {
    /// Name of the account.
    pub name: AccountId,
    /// Rank that goes before the route's, 0 first.
    pub priority: Option<u8>,
    /// Regions that may serve it; empty for all.
    pub home_regions: Vec<RegionId>,
}

/// Bounds on what callers may send.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallerLimits {
    /// Longest head in bytes.
    pub head_bytes: usize,
    /// Longest body in bytes.
    pub body_bytes: usize,
    /// Longest time for a head.
    pub head_timeout: Duration,
    /// Longest time between two requests of a connection.
    pub idle_timeout: Duration,
}

/// One version of the operators' configuration, indexed for requests.
#[derive(Debug, Clone, PartialEq)]
pub struct FleetConfig {
    /// Version; higher is newer.
    pub version: u64,
    /// Services by name.
    pub services: HashMap<ServiceId, ServiceSpec>,
    /// Bounds on what callers may send.
    pub limits: CallerLimits,
    routes: HashMap<CompactString, Vec<Route>>,
    accounts: Vec<Account>,
    keys: HashMap<CompactString, usize>,
}

impl FleetConfig {
    /// A plan of its parts; each account comes with its keys.
    pub fn new(
        version: u64,
        services: Vec<ServiceSpec>,
        limits: CallerLimits,
        routes: Vec<Route>,
        accounts: Vec<(Account, Vec<CompactString>)>,
    ) -> Self {
        let mut by_host: HashMap<CompactString, Vec<Route>> = HashMap::new();
        for r in routes {
            by_host.entry(r.host.clone()).or_default().push(r);
        }
        for list in by_host.values_mut() {
            list.sort_by_key(|r| std::cmp::Reverse(r.path_prefix.len()));
        }
        let mut keys = HashMap::new();
        let mut names = Vec::new();
        for (i, (account, own)) in accounts.into_iter().enumerate() {
            names.push(account);
            keys.extend(own.into_iter().map(|k| (k, i)));
        }
        FleetConfig {
            version,
            services: services.into_iter().map(|s| (s.name.clone(), s)).collect(),
            limits,
            routes: by_host,
            accounts: names,
            keys,
        }
    }

    /// The route of a host and path: the one with the longest prefix.
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        let list = self.routes.get(host)?;
        list.iter()
            .find(|r| path.starts_with(r.path_prefix.as_str()))
    }

    /// The account that holds a key.
    pub fn account(&self, key: &str) -> Option<&Account> {
        self.accounts.get(*self.keys.get(key)?)
    }

    /// Whether requests need keys at all.
    pub fn has_accounts(&self) -> bool {
        !self.accounts.is_empty()
    }
}
