use std::hash::{DefaultHasher, Hash, Hasher};
use std::time::Duration;

use bytes::Bytes;
use domain::{Account, Moment, RequestHead, Route, ServiceId};
use http::request;

/// A caller's request on its way through the entry.
pub struct Job {
    /// Number of the request within the process.
    pub id: u64,
    /// Its head as the caller sent it.
    pub head: request::Parts,
    /// What the head says.
    pub ask: RequestHead,
    /// Its body.
    pub body: Bytes,
    /// Its route.
    pub route: Route,
    /// Service that the route leads to.
    pub service: ServiceId,
    /// Account of the caller.
    pub account: Option<Account>,
    /// When its head had arrived.
    pub arrived: Moment,
    /// When the caller, or the operators, want a final answer at the latest.
    pub until: Moment,
    /// When the caller sent its first attempt, as far as can be told.
    pub first: Moment,
    /// The same for requests that are alike.
    pub fingerprint: u64,
}

impl Job {
    /// Time that is left.
    pub fn left(&self, now: Moment) -> Duration {
        self.until.saturating_sub(now)
    }

    /// Regions that may serve it; `None` when the route and the account allow
    /// no region in common.
    pub fn homes(&self) -> Option<Vec<domain::RegionId>> {
        let route = &self.route.home_regions;
        let account = self.account.as_ref().map_or(&[][..], |a| &a.home_regions);
        if route.is_empty() || account.is_empty() {
            return Some([route.as_slice(), account].concat());
        }
        let both: Vec<_> = route
            .iter()
            .filter(|r| account.contains(r))
            .cloned()
            .collect();
        (!both.is_empty()).then_some(both)
    }

    /// Rank of the request, 0 first.
    pub fn rank(&self) -> u8 {
        let account = self.account.as_ref().and_then(|a| a.priority);
        account.unwrap_or(self.route.priority)
    }
}

/// The same for requests with the same path, caller and body.
pub fn fingerprint(ask: &RequestHead, body: &[u8]) -> u64 {
    let mut hasher = DefaultHasher::new();
    ask.host.hash(&mut hasher);
    ask.path.hash(&mut hasher);
    ask.api_key.hash(&mut hasher);
    body.hash(&mut hasher);
    for part in &ask.prompt_parts {
        part.id.hash(&mut hasher);
    }
    hasher.finish()
}
