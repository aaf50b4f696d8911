use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use dispatch::{FleetView, WriteBasis};
use domain::{Moment, Platform, millis, now};
use http::Method;
use transport::{fetch, with_timeout};

use crate::Feed;
use crate::feed::log_bound;
use crate::peers::{PEER_FRESH, PEER_LIMIT};
use crate::targets_messages::{TARGETS_PATH, TargetsRequest, TargetsResponse};

/// Longest time for which an entry delays its response. If an entry hangs, an agent
/// has this much less time to load a version.
const TARGETS_WAIT: Duration = Duration::from_secs(2);
/// Longest response, in bytes.
const TARGETS_LIMIT: usize = 64 << 10;

/// Agents get declared versions from an entry, by long polling. They do not read
/// the configuration from the store: it holds many routes, of which agents need
/// almost nothing, and if every agent read it, the links between regions would be
/// saturated for seconds.
impl<P: Platform> Feed<P> {
    /// Fetches target versions from up to two entries, one after another, those in this
    /// VM's region first; returns false if none of them has current records.
    pub(crate) async fn fetch_targets(&self) -> bool {
        let mut entries = self.nearest_entries();
        entries.truncate(2);
        let mut wait = TARGETS_WAIT;
        for addr in entries {
            match self.fetch_targets_from(addr, wait).await {
                Ok(true) => return true,
                Ok(false) => {}
                Err(e) => log::info!("feed: no target versions from entry {addr}: {e:#}"),
            }
            // The request to the next entry has no wait, so that versions declared in
            // the meantime are received at once.
            wait = Duration::ZERO;
        }
        false
    }

    /// Known entries in random order, those in this VM's region first.
    pub(crate) fn nearest_entries(&self) -> Vec<SocketAddr> {
        let members = self.members();
        let is_near = |addr: &SocketAddr| {
            let member = members.iter().find(|m| m.addr == *addr);
            member.is_some_and(|m| m.region == self.node.region)
        };
        let mut entries = self.peers();
        fastrand::shuffle(&mut entries);
        entries.sort_by_cached_key(|addr| !is_near(addr));
        entries
    }

    async fn fetch_targets_from(&self, addr: SocketAddr, wait: Duration) -> anyhow::Result<bool> {
        let sent_at = now();
        let request = self.view(|v| TargetsRequest {
            newest: newest_versions(v),
            sources: v.sources().to_vec(),
            config_version: v.sources_version(),
            wait: millis(wait),
        });
        let body = Bytes::from(rmp_serde::to_vec(&request)?);
        let limit = wait + PEER_LIMIT;
        let method = Method::POST;
        let response = fetch(
            &self.pool,
            addr,
            method,
            TARGETS_PATH,
            body,
            limit,
            TARGETS_LIMIT,
        )
        .await?;
        anyhow::ensure!(response.status == 200, "status {}", response.status);
        let targets: TargetsResponse = rmp_serde::from_slice(&response.body)?;
        let age = targets.age.map(Duration::from_millis);
        self.apply_targets(sent_at, targets);
        Ok(age.is_some_and(|age| age < PEER_FRESH))
    }

    fn apply_targets(&self, sent_at: Moment, targets: TargetsResponse) {
        // Earliest time of the response, from which ages are counted back.
        let responded = sent_at + Duration::from_millis(targets.delay);
        let mut changes = Vec::new();
        let mut sources_changed = false;
        {
            let mut state = self.state();
            for (model, versions) in targets.declared {
                for (version, age) in versions {
                    let since = |age| responded.saturating_sub(Duration::from_millis(age));
                    let at = age.map_or(Duration::ZERO, since);
                    let declared = state.view.declare(model.clone(), version, at);
                    let merged = state.view.merge_declared(&model, &[(version, at)]);
                    if declared.is_some() || !merged.is_empty() {
                        log_bound(&state.view, &model, version, at, WriteBasis::Peer);
                    }
                    changes.extend(declared);
                }
            }
            if targets.config_version > 0 {
                sources_changed = state
                    .view
                    .merge_sources(targets.config_version, targets.sources);
            }
        }
        self.publish(changes);
        if sources_changed {
            self.notify();
        }
    }

    /// Responds to an agent as soon as this process has newer versions or model sources
    /// than the agent, or when the wait is over.
    pub(crate) async fn targets(&self, request: &TargetsRequest) -> TargetsResponse {
        let received = now();
        let limit = Duration::from_millis(request.wait).min(TARGETS_WAIT);
        loop {
            let changed = self.listen();
            let delay = now().saturating_sub(received);
            let newer = self.view(|v| is_newer(v, request));
            if newer || delay >= limit {
                return self.current_targets(delay);
            }
            with_timeout(limit.saturating_sub(delay), changed).await;
        }
    }

    fn current_targets(&self, delay: Duration) -> TargetsResponse {
        let now = now();
        let (_, confirmed) = self.config_age();
        self.view(|v| {
            // Agents and entries have to count from the same time, since agents
            // plan their switches by it.
            let age = |at| millis(now.saturating_sub(v.bound_start(at)));
            let known = |at: Moment| (!at.is_zero()).then(|| age(at));
            let ages =
                |list: &[(u64, Moment)]| list.iter().map(|(v, at)| (*v, known(*at))).collect();
            let declared = v.all_declared();
            TargetsResponse {
                declared: declared.map(|(m, list)| (m.clone(), ages(list))).collect(),
                sources: v.sources().to_vec(),
                config_version: v.sources_version(),
                age: confirmed.map(millis),
                delay: millis(delay),
            }
        })
    }
}

/// Newest declared version of each model.
fn newest_versions(view: &FleetView) -> Vec<(domain::ModelId, u64)> {
    let declared = view.all_declared();
    let last = |(m, list): (&domain::ModelId, &[(u64, Moment)])| Some((m.clone(), list.last()?.0));
    declared.filter_map(last).collect()
}

/// Whether the view holds newer versions or model sources than the agent.
fn is_newer(view: &FleetView, request: &TargetsRequest) -> bool {
    let known = |model: &str| {
        let found = request.newest.iter().find(|(m, _)| m == model);
        found.map_or(0, |(_, v)| *v)
    };
    let newer = newest_versions(view).iter().any(|(m, v)| *v > known(m));
    newer || (view.sources_version() > request.config_version && view.sources() != request.sources)
}
