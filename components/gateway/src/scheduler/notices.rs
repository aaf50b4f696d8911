use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use dispatch::{PooledUpstream, UpstreamLoad};
use domain::{Pace, Platform, RegionId, ServiceId, now};
use feed::{EngineNotice, EntryNotice, Member};
use serde_json::json;
use std::sync::Arc;
use telemetry::{Outcome, decision};

use super::Scheduler;
use super::state::{Peer, ServiceState};
use crate::lease::Lease;

/// Results of exchanges, and notices to and from other entries and agents.
impl<P: Platform> Scheduler<P> {
    /// Updates the leased upstream; `None` if it has been removed or has restarted
    /// since.
    pub fn with_upstream<R>(
        &self,
        lease: &Lease<P>,
        update: impl FnOnce(&mut PooledUpstream) -> R,
    ) -> Option<R> {
        let mut state = self.lock();
        let pool = &mut state.services.get_mut(&lease.service)?.scheduler.upstreams;
        let upstream = pool.get_mut(&lease.target.id)?;
        (upstream.upstream.started_ms == lease.started_ms).then(|| update(upstream))
    }

    /// The entries among `members` that get a notice of the loads in this round.
    pub fn notice_targets(&self, members: &[Member]) -> Vec<SocketAddr> {
        let now = now();
        let mut state = self.lock();
        let state = &mut *state;
        let mut due: HashMap<&RegionId, bool> = HashMap::from([(&self.node.region, true)]);
        for member in members {
            due.entry(&member.region).or_insert_with(|| {
                let loads = region_loads(&state.services, &member.region);
                state.notice_rounds.is_due(now, &member.region, loads)
            });
        }
        let targets = members.iter().filter(|m| due.get(&m.region) == Some(&true));
        targets.map(|m| m.addr).collect()
    }

    /// Next notice to the other entries; `start` is the start time of this entry in
    /// milliseconds.
    pub fn load_notice(&self, start: u64) -> EntryNotice {
        let mut state = self.lock();
        state.notices_sent += 1;
        let demand = state.demand.announced(now());
        let upstreams = state
            .services
            .values()
            .flat_map(|s| s.scheduler.upstreams.iter());
        let loads = upstreams
            .filter(|u| u.own.requests > 0)
            .map(|u| {
                let requests = u16::try_from(u.own.requests).unwrap_or(u16::MAX);
                let prefill_tokens = u32::try_from(u.own.prefill_tokens).unwrap_or(u32::MAX);
                (u.tag, requests, prefill_tokens)
            })
            .collect();
        EntryNotice {
            vm: self.node.vm.clone(),
            region: self.node.region.clone(),
            demand,
            start,
            number: state.notices_sent,
            loads,
        }
    }

    /// Applies a notice of another entry unless a newer one has been applied.
    pub fn apply_entry_notice(self: &Arc<Self>, notice: EntryNotice) {
        if notice.vm == self.node.vm {
            return;
        }
        let mut state = self.lock();
        let now = now();
        let order = (notice.start, notice.number);
        let known = state.peers.get(&notice.vm);
        let is_new = known.is_none();
        if known.is_some_and(|p| (p.start, p.number) >= order) {
            return;
        }
        let same_start = known.filter(|p| p.start == notice.start);
        let stopping = same_start.and_then(|p| p.stopping);
        let demand_changed = known.is_some_and(|p| p.demand != notice.demand);
        state.owners_stale |= demand_changed;
        let load = |(tag, requests, prefill_tokens): (u32, u16, u32)| {
            let (requests, prefill_tokens) = (u32::from(requests), u64::from(prefill_tokens));
            (
                tag,
                UpstreamLoad {
                    requests,
                    prefill_tokens,
                },
            )
        };
        let loads = notice.loads.into_iter().map(load).collect();
        let changed = state.loads.replace(&notice.vm, loads);
        state.set_others(&changed);
        let peer = Peer {
            hash: fleet::id_hash(&notice.vm),
            region: notice.region,
            demand: notice.demand,
            start: notice.start,
            number: notice.number,
            received_at: now,
            stopping,
        };
        if is_new {
            let fields = json!({ "entry": notice.vm });
            decision("desk", "entry heard", Outcome::Change, fields);
        }
        state.peers.insert(notice.vm, peer);
        if is_new {
            state.crashes_changed = now;
            state.update_entries();
        }
        drop(state);
        self.serve_queues();
    }

    /// Assigns free slots in all services with queued requests.
    pub(super) fn serve_queues(self: &Arc<Self>) {
        let names: Vec<ServiceId> = {
            let state = self.lock();
            let queued = state
                .services
                .iter()
                .filter(|(_, s)| !s.scheduler.queue.is_empty());
            queued.map(|(n, _)| n.clone()).collect()
        };
        names.iter().for_each(|n| self.serve_queue(n));
    }

    /// Applies the notice of an agent about its engine.
    pub fn apply_engine_notice(self: &Arc<Self>, notice: EngineNotice) {
        let mut state = self.lock();
        for service in state.services.values_mut() {
            for upstream in service.scheduler.upstreams.iter_mut() {
                if upstream.upstream.addr != notice.engine
                    || upstream.upstream.started_ms != notice.started_ms
                {
                    continue;
                }
                if upstream.set_switching(now(), notice.switching) {
                    let fields = json!({
                        "upstream": upstream.upstream.id, "switching": notice.switching,
                    });
                    decision("desk", "engine", Outcome::Change, fields);
                }
                upstream.record_notice(now());
                if let Some(pace) = notice.pace.and_then(|p| Pace::try_from(p).ok()) {
                    upstream.record_pace(now(), notice.started_ms, pace);
                }
                let closes = notice.switch_in_ms.map(|m| Duration::from_millis(m.into()));
                upstream.closes_at = closes.map(|c| now() + c);
                let held = notice.held.iter().map(|(m, v)| domain::HeldModel {
                    model: m.clone(),
                    version: *v,
                });
                upstream.update_models(held.collect());
            }
        }
        drop(state);
        self.serve_queues();
    }
}

/// Requests in flight from this entry at the upstreams of a region, by their tags.
fn region_loads<P: Platform>(
    services: &HashMap<ServiceId, ServiceState<P>>,
    region: &RegionId,
) -> Vec<(u32, UpstreamLoad)> {
    let upstreams = services.values().flat_map(|s| s.scheduler.upstreams.iter());
    let loaded = upstreams.filter(|u| u.own.requests > 0 && u.region == *region);
    loaded.map(|u| (u.tag, u.own)).collect()
}
