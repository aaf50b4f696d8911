use std::collections::HashMap;
use std::time::Duration;

use compact_str::CompactString;

use crate::{AccountId, RegionId, Route, ServiceId, ServiceSpec};

/// A client account.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Account {
    /// Name of the account.
    pub name: AccountId,
    /// Priority that overrides the route's; 0 is served first.
    pub priority: Option<u8>,
    /// Regions that may serve its requests; empty for all.
    pub home_regions: Vec<RegionId>,
}

/// Limits on requests and connections of callers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallerLimits {
    /// Longest request head in bytes.
    pub head_bytes: usize,
    /// Longest request body in bytes.
    pub body_bytes: usize,
    /// Longest time in which a head must be complete.
    pub head_timeout: Duration,
    /// Longest idle time between two requests on a connection.
    pub idle_timeout: Duration,
}

/// One version of the operators' configuration, indexed by host and API key.
#[derive(Debug, Clone, PartialEq)]
pub struct FleetConfig {
    /// Version; higher is newer.
    pub version: u64,
    /// Services by name.
    pub services: HashMap<ServiceId, ServiceSpec>,
    /// Limits on requests and connections of callers.
    pub limits: CallerLimits,
    /// Routes of each host, longest prefix first.
    routes: HashMap<CompactString, Vec<Route>>,
    /// `None` if the configuration has no list of accounts.
    accounts: Option<Vec<Account>>,
    /// Index into `accounts` of each API key.
    keys: HashMap<CompactString, usize>,
}

impl FleetConfig {
    /// Indexes the parts of a configuration; each account comes with its API keys.
    /// `accounts` is `None` if the configuration has no list of them.
    pub fn new(
        version: u64,
        services: Vec<ServiceSpec>,
        limits: CallerLimits,
        routes: Vec<Route>,
        accounts: Option<Vec<(Account, Vec<CompactString>)>>,
    ) -> Self {
        let mut by_host: HashMap<CompactString, Vec<Route>> = HashMap::new();
        for r in routes {
            by_host.entry(r.host.clone()).or_default().push(r);
        }
        for routes in by_host.values_mut() {
            routes.sort_by_key(|r| std::cmp::Reverse(r.path_prefix.len()));
        }
        let mut keys = HashMap::new();
        let accounts = accounts.map(|accounts| {
            let indexed = accounts.into_iter().enumerate();
            let indexed = indexed.map(|(i, (account, api_keys))| {
                keys.extend(api_keys.into_iter().map(|k| (k, i)));
                account
            });
            indexed.collect()
        });
        FleetConfig {
            version,
            services: services.into_iter().map(|s| (s.name.clone(), s)).collect(),
            limits,
            routes: by_host,
            accounts,
            keys,
        }
    }

    /// Finds the route of a host and path; the longest matching prefix wins.
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        let routes = self.routes.get(host)?;
        routes
            .iter()
            .find(|r| path.starts_with(r.path_prefix.as_str()))
    }

    /// Finds the account of an API key.
    pub fn account(&self, api_key: &str) -> Option<&Account> {
        self.accounts.as_ref()?.get(*self.keys.get(api_key)?)
    }

    /// Whether requests need a key: accounts are listed, or the list is empty in a deployment
    /// that has accounts.
    pub fn needs_keys(&self, has_accounts: bool) -> bool {
        let accounts = self.accounts.as_ref();
        accounts.is_some_and(|accounts| has_accounts || !accounts.is_empty())
    }
}
