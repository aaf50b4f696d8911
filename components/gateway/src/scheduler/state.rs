use std::collections::{HashMap, HashSet};
use std::time::Duration;

use async_channel::Sender;
use dispatch::{
    ConnectionBudget, CrashWatch, Demand, EntryDemand, Feature, FirstAttemptEstimator,
    NoticeRounds, PeerLoads, QueueLimits, RequestQueue, RetryBudget, SendGates, ServiceScheduler,
    UpstreamLoad, UpstreamOwners, UpstreamPool,
};
use domain::{FailureDomainId, Moment, NodeSettings, Platform, RegionId, ServiceId, VmId};
use serde_json::json;
use telemetry::{Outcome, decision};

use super::stopping::StoppingPeer;
use crate::lease::Lease;

/// Most queued requests of one service.
const QUEUE_LIMIT: usize = 256;
/// Time without notices after which another entry is removed.
const PEER_TIMEOUT: Duration = Duration::from_millis(1500);

/// Shortest interval between two assignments of the upstreams to entries: one of a thousand
/// upstreams takes milliseconds, and in a large fleet some entry's demand changes in each
/// round of notices.
const OWNERS_INTERVAL: Duration = Duration::from_millis(240);

/// Another entry, as of its latest notice.
pub struct Peer {
    /// Hash of its VM.
    pub(super) hash: u64,
    pub(super) region: RegionId,
    pub(super) demand: u16,
    pub(super) start: u64,
    pub(super) number: u64,
    pub(super) received_at: Moment,
    /// Set if it is stopping.
    pub(super) stopping: Option<StoppingPeer>,
}

/// Upstreams, queue and retry budget of one service.
pub struct ServiceState<P: Platform> {
    pub(super) scheduler: ServiceScheduler,
    /// Channels to the queued requests, by the number of the request.
    pub(super) waiters: HashMap<u64, Sender<Lease<P>>>,
    pub(super) budget: RetryBudget,
    /// The highest priority that was losing requests when it was last logged.
    pub(super) losing: Option<u8>,
}

impl<P: Platform> ServiceState<P> {
    /// Logs for which priority the lower ones leave room, when this changes.
    pub(super) fn log_reserve(&mut self, now: Moment) {
        let reserve = self.scheduler.reserve();
        let losing = reserve.losing(now);
        if losing == self.losing {
            return;
        }
        let fields = json!({
            "service": self.scheduler.upstreams.service(),
            "priority": losing,
            "held": reserve.held(),
        });
        decision("desk", "priority reserve", Outcome::Change, fields);
        self.losing = losing;
    }
}

/// State of a scheduler, guarded by its lock.
pub struct SchedulerState<P: Platform> {
    pub(super) services: HashMap<ServiceId, ServiceState<P>>,
    pub(super) peers: HashMap<VmId, Peer>,
    /// Requests that the peers have in flight.
    pub(super) loads: PeerLoads,
    /// Hashes of the other entries that have announced themselves, in order.
    pub(super) announced: Vec<u64>,
    /// Number of entries that may be running; `None` until it is known.
    pub(super) entry_count: Option<usize>,
    pub(super) first_attempts: FirstAttemptEstimator,
    pub(super) crashes: CrashWatch,
    /// When crashes or entries were last added; the others have to learn of them.
    pub(super) crashes_changed: Moment,
    pub(super) crashes_reported: Moment,
    pub(super) logged_culprits: HashSet<Feature>,
    pub(super) notices_sent: u64,
    pub(super) notice_rounds: NoticeRounds,
    /// When this entry was stopped.
    pub(super) stopping_since: Option<Moment>,
    pub(super) demand: Demand,
    /// Demand of this entry when upstreams were last assigned to entries.
    pub(super) owners_demand: u16,
    /// When they were.
    pub(super) owners_at: Moment,
    /// Entries or upstreams have changed since then.
    pub(super) owners_stale: bool,
    /// Entries or limits have changed since limits were last shared out.
    pub(super) shares_stale: bool,
    /// Gates of all starts of upstreams.
    pub(super) gates: SendGates,
    /// When an upstream was last found to be leaving; the others have to learn of it.
    pub(super) leaving_changed: Moment,
    pub(super) leaving_reported: Moment,
}

impl<P: Platform> SchedulerState<P> {
    /// The state of a service, created on first use.
    pub(super) fn service(
        &mut self,
        name: &ServiceId,
        node: &NodeSettings,
    ) -> &mut ServiceState<P> {
        let entries = entry_count(&self.peers);
        self.services.entry(name.clone()).or_insert_with(|| {
            let (domain, region) = (node.failure_domain.clone(), node.region.clone());
            let mut upstreams = UpstreamPool::new(name.clone(), domain, region);
            upstreams.set_entries(entries);
            let queue = RequestQueue::new(QueueLimits {
                capacity: QUEUE_LIMIT,
            });
            ServiceState {
                scheduler: ServiceScheduler::new(upstreams, queue),
                waiters: HashMap::new(),
                budget: RetryBudget::new(&node.bounds),
                losing: None,
            }
        })
    }

    /// Whether this entry hears most of the entries of `budget`. One that does not may
    /// take itself for the owner of upstreams that others own.
    pub(super) fn hears_most(&self, budget: ConnectionBudget) -> bool {
        let heard = self.peers.len() + 1;
        budget.entries().is_some_and(|entries| heard > entries / 2)
    }

    /// Removes the peers that no longer send notices.
    pub(super) fn expire_peers(&mut self, now: Moment) {
        let is_silent = |_: &VmId, p: &mut Peer| now.saturating_sub(p.received_at) > PEER_TIMEOUT;
        let silent: Vec<VmId> = self.peers.extract_if(is_silent).map(|(vm, _)| vm).collect();
        for vm in &silent {
            let fields = json!({ "entry": vm });
            decision("desk", "entry silent", Outcome::Change, fields);
            let changed = self.loads.remove(vm);
            self.set_others(&changed);
        }
        if !silent.is_empty() {
            self.update_entries();
        }
    }

    /// Updates what depends on which other entries are heard.
    pub(super) fn update_entries(&mut self) {
        self.owners_stale = true;
        self.shares_stale = true;
        let entries = entry_count(&self.peers);
        for service in self.services.values_mut() {
            service.scheduler.upstreams.set_entries(entries);
        }
    }

    /// Sets the loads of upstreams from the peers, by their tags.
    pub(super) fn set_others(&mut self, loads: &[(u32, UpstreamLoad)]) {
        for service in self.services.values_mut() {
            for (tag, load) in loads {
                service.scheduler.upstreams.set_others(*tag, *load);
            }
        }
    }

    /// Assigns the upstreams to the entries again if entries, upstreams or demands have
    /// changed.
    pub(super) fn update_owners(
        &mut self,
        now: Moment,
        node: &NodeSettings,
        evacuated: impl Fn(&FailureDomainId) -> bool,
    ) {
        if now < self.owners_at + OWNERS_INTERVAL {
            return;
        }
        let demand = self.demand.announced(now);
        let changed = std::mem::replace(&mut self.owners_demand, demand) != demand;
        if !std::mem::take(&mut self.owners_stale) && !changed {
            return;
        }
        self.owners_at = now;
        let peers = self.peers.iter().map(|(vm, p)| EntryDemand {
            vm: vm.clone(),
            region: p.region.clone(),
            demand: p.demand,
        });
        let own = EntryDemand {
            vm: node.vm.clone(),
            region: node.region.clone(),
            demand,
        };
        let entries: Vec<EntryDemand> = peers.chain([own]).collect();
        for service in self.services.values_mut() {
            let pool = &mut service.scheduler.upstreams;
            let usable = pool
                .iter()
                .filter(|u| !evacuated(&u.upstream.failure_domain) && !u.gate.is_closed());
            let upstreams: Vec<(u32, RegionId)> =
                usable.map(|u| (u.tag, u.region.clone())).collect();
            pool.set_owners(&UpstreamOwners::new(&entries, &upstreams), &node.vm);
        }
    }

    /// Logs which features are now known to crash upstreams, and which no longer are.
    pub(super) fn log_culprits(&mut self) {
        let culprits = self.crashes.culprits();
        if *culprits == self.logged_culprits {
            return;
        }
        let log = |feature: &Feature, what| {
            let (kind, id) = match feature {
                Feature::Request(id) => ("request", id),
                Feature::Part(id) => ("prompt part", id),
            };
            let fields = json!({ "kind": kind, "id": format!("{id:x}") });
            decision("desk", what, Outcome::Change, fields);
        };
        let found = culprits.difference(&self.logged_culprits);
        found.for_each(|f| log(f, "crash cause found"));
        let ended = self.logged_culprits.difference(culprits);
        ended.for_each(|f| log(f, "crash cause dropped"));
        self.logged_culprits = culprits.clone();
    }
}

/// Number of entries that are heard, this one included.
fn entry_count(peers: &HashMap<VmId, Peer>) -> u32 {
    u32::try_from(peers.len() + 1).unwrap_or(u32::MAX)
}
