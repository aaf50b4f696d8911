mod connections;
mod crashes;
mod gates;
mod limits;
mod notices;
mod prompts;
mod report;
mod state;
mod stopping;

use std::collections::{HashMap, HashSet};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use async_channel::{Receiver, bounded};
use dispatch::{
    Assignment, CrashWatch, Demand, FirstAttemptEstimator, FleetView, IncomingRequest,
    LatencyModel, NO_MATCH_RETRY, NoticeRounds, PeerLoads, Placement, PromptPrefix, Requirements,
    SendGates, UpstreamPool, ViewChange, WindowBudget, upstream_start, upstream_tag,
};
use domain::{
    HeldModel, Moment, NodeSettings, Platform, SendGate, ServiceId, Target, UpstreamId,
    WeightVersion, now,
};
use feed::{Feed, Member};
use transport::SendTicket;

use crate::caller_request::CallerRequest;
use crate::lease::Lease;
use crate::shortage::Shortage;
pub use crashes::start_id;
use state::{SchedulerState, ServiceState};
pub use stopping::StopOrder;

/// Time before the deadline of a new weight version from which upstreams with
/// older weights get no requests: an engine may queue a request before it begins.
const WEIGHTS_MARGIN: Duration = Duration::from_millis(600);
/// Time before the same deadline at which a request that has not begun is
/// cancelled.
const BEGIN_MARGIN: Duration = Duration::from_millis(150);
/// Added to both for upstreams of other regions. While weights are distributed, a request or its
/// cancellation takes up to 0.44 s on a link between regions: engines began requests after the
/// deadline that had been cancelled before it.
const FAR_DELAY: Duration = Duration::from_millis(500);

/// Outcome of [`Scheduler::acquire`].
pub enum AcquireOutcome<P: Platform> {
    /// A slot is reserved.
    Leased(Lease<P>),
    /// No slot becomes free in time, or no upstream may serve the request.
    Refused(Shortage),
}

/// Leases slots of upstreams to requests, which wait in a queue for each service.
pub struct Scheduler<P: Platform> {
    feed: Arc<Feed<P>>,
    node: NodeSettings,
    state: Mutex<SchedulerState<P>>,
}

impl<P: Platform> Scheduler<P> {
    /// A scheduler for the entry on `node`.
    pub fn new(feed: Arc<Feed<P>>, node: NodeSettings) -> Self {
        Scheduler {
            feed,
            node,
            state: Mutex::new(SchedulerState {
                services: HashMap::new(),
                peers: HashMap::new(),
                loads: PeerLoads::default(),
                first_attempts: FirstAttemptEstimator::default(),
                crashes: CrashWatch::default(),
                crashes_changed: Moment::ZERO,
                crashes_reported: Moment::ZERO,
                logged_culprits: HashSet::new(),
                notices_sent: 0,
                notice_rounds: NoticeRounds::default(),
                stopping_since: None,
                demand: Demand::default(),
                owners_demand: 0,
                owners_at: Moment::ZERO,
                owners_stale: true,
                announced: Vec::new(),
                entry_count: None,
                shares_stale: false,
                gates: SendGates::default(),
                leaving_changed: Moment::ZERO,
                leaving_reported: Moment::ZERO,
            }),
        }
    }

    /// Applies a change of the fleet view.
    pub fn apply_change(self: &Arc<Self>, change: &ViewChange) {
        match change {
            ViewChange::Listed(id) => self.list_upstream(id),
            ViewChange::Removed(id) => {
                for s in self.lock().services.values_mut() {
                    s.scheduler.upstreams.remove(id);
                }
            }
            ViewChange::Config(_) => {
                let ids = self.feed.view(|v| {
                    let ids = v.upstreams().map(|u| u.id.clone());
                    ids.collect::<Vec<UpstreamId>>()
                });
                ids.iter().for_each(|id| self.list_upstream(id));
            }
            ViewChange::Domain(..) | ViewChange::Weights(..) | ViewChange::Lapsed(_) => {}
        }
        self.lock().owners_stale = true;
        self.serve_all_queues();
    }

    /// Adds an upstream of the fleet view or updates it.
    fn list_upstream(&self, id: &str) {
        let Some(upstream) = self.feed.view(|v| v.upstream(id).cloned()) else {
            return;
        };
        let cold_budget = self.cold_budget(&upstream.service);
        let engine = self.feed.view(|v| {
            let spec = v.config()?.services.get(&upstream.service)?;
            spec.engine.clone()
        });
        let budget = self.connection_budget(&upstream.service);
        let region = self.node.region_of(&upstream.failure_domain).to_owned();
        let (now, tag) = (now(), upstream_tag(id));
        let mut state = self.lock();
        let gate = state
            .gates
            .gate(now, upstream_start(tag, upstream.started_ms));
        let others = state.loads.sum(tag);
        let service = state.service(&upstream.service, &self.node);
        service.scheduler.upstreams.set_cold_budget(cold_budget);
        service.scheduler.upstreams.set_connection_budget(budget);
        service
            .scheduler
            .upstreams
            .set_latency_model(LatencyModel::new(engine));
        let known = service.scheduler.upstreams.get_mut(id);
        let pause = known.and_then(|u| u.pause_of_start(now, upstream.started_ms));
        if let Some(until) = pause {
            gate.close_until(until);
        }
        service
            .scheduler
            .upstreams
            .upsert(now, &upstream, &region, tag);
        if let Some(pooled) = service.scheduler.upstreams.get_mut(id) {
            pooled.gate = gate;
            pooled.others = others;
        }
    }

    /// Budget for the requests of a second to a cold upstream, for all announced entries,
    /// running or not.
    fn cold_budget(&self, service: &str) -> Option<WindowBudget> {
        let rate = self.feed.view(|v| {
            let config = v.config()?;
            config.services.get(service).map(|s| s.cold_rate)
        })?;
        let bounds = &self.node.bounds;
        let all = rate * bounds.cold_factor + bounds.cold_slack;
        let own = fleet::id_hash(&self.node.vm);
        let (mut known, count) = {
            let state = self.lock();
            (state.announced.clone(), state.entry_count)
        };
        known.push(own);
        (rate > 0.0).then(|| WindowBudget::new(all, own, known, count))
    }

    /// Updates what depends on the other entries that have announced themselves.
    pub fn update_announced(&self, members: &[Member]) {
        let mut announced: Vec<u64> = members.iter().map(|m| fleet::id_hash(&m.vm)).collect();
        announced.sort_unstable();
        let count = self.feed.entry_count();
        let names: Vec<ServiceId> = {
            let mut state = self.lock();
            if state.announced == announced && state.entry_count == count {
                return;
            }
            state.announced = announced;
            state.entry_count = count;
            state.services.keys().cloned().collect()
        };
        for name in names {
            let budget = self.cold_budget(&name);
            if let Some(service) = self.lock().services.get_mut(&name) {
                service.scheduler.upstreams.set_cold_budget(budget);
            }
        }
    }

    /// Estimates when the caller sent the first attempt of a request: a retry
    /// states a shorter timeout than the first attempt did.
    pub fn first_attempt(&self, route: &str, arrived: Moment, timeout: Duration) -> Moment {
        self.lock().first_attempts.estimate(route, arrived, timeout)
    }

    /// Reserves a slot at an upstream that is not in `tried`; waits in the queue
    /// when a slot is expected to become free in time. A response that has begun goes on by
    /// `resume_by`.
    pub async fn acquire(
        self: &Arc<Self>,
        request: &CallerRequest,
        tried: &[UpstreamId],
        resume_by: Option<Moment>,
    ) -> AcquireOutcome<P> {
        let Some(needs) = self.requirements(request, tried) else {
            return AcquireOutcome::Refused(self.shortage(request, None, NO_MATCH_RETRY));
        };
        let min_weight_version = needs.min_weight_version;
        let receiver = match self.try_acquire(request, needs, resume_by) {
            QueueOutcome::Leased(lease) => return AcquireOutcome::Leased(*lease),
            QueueOutcome::Refused(wait) => {
                return AcquireOutcome::Refused(self.shortage(request, min_weight_version, wait));
            }
            QueueOutcome::Queued(receiver) => receiver,
        };
        // Removes the request from the queue also when this future is dropped.
        let _guard = QueueGuard {
            scheduler: self.clone(),
            service: request.service.clone(),
            id: request.id,
        };
        match receiver.recv().await {
            Ok(lease) => AcquireOutcome::Leased(lease),
            Err(_) => {
                let wait = self.retry_after(request, tried);
                AcquireOutcome::Refused(self.shortage(request, min_weight_version, wait))
            }
        }
    }

    /// Reserves a slot at once, or adds the request to the queue.
    fn try_acquire(
        self: &Arc<Self>,
        request: &CallerRequest,
        needs: Requirements,
        resume_by: Option<Moment>,
    ) -> QueueOutcome<P> {
        let now = now();
        let (since, target_latency) = match resume_by {
            Some(by) => (now, by.saturating_sub(now)),
            None => (request.first_attempt, request.route.target_latency),
        };
        let mut state = self.lock();
        let service = state.service(&request.service, &self.node);
        let incoming = IncomingRequest {
            id: request.id,
            priority: request.priority(),
            account: request.account.as_ref().map(|a| a.name.clone()),
            first_attempt: since,
            target_latency,
            deadline: request.end_by(),
            begun: resume_by.is_some(),
            needs,
        };
        let scheduler = &mut service.scheduler;
        let placement = self
            .feed
            .view(|v| scheduler.submit(now, incoming, |d| v.is_evacuated(d)));
        match placement {
            Placement::Assigned(assignment) => {
                QueueOutcome::Leased(Box::new(self.lease(service, now, &assignment)))
            }
            Placement::Refused(wait) => QueueOutcome::Refused(wait),
            Placement::Queued => {
                let (sender, receiver) = bounded(1);
                service.waiters.insert(request.id, sender);
                QueueOutcome::Queued(receiver)
            }
        }
    }

    fn requirements(&self, request: &CallerRequest, tried: &[UpstreamId]) -> Option<Requirements> {
        let model = request.head.model.as_deref();
        let required = |m| self.feed.view(|v| self.required_version(v, now(), m));
        let weight_version = model.and_then(required);
        Some(Requirements {
            home_regions: request.home_regions()?,
            tried: tried.to_vec(),
            model: request.head.model.clone(),
            min_weight_version: weight_version,
            prompt_tokens: request.head.tokens.map_or(0, |t| t.prompt),
            prefix: PromptPrefix::new(model, &request.head.prompt_parts),
            output_tokens: request.head.expected_tokens,
            ..Requirements::default()
        })
    }

    /// Oldest version that may be sent a request now.
    fn required_version(
        &self,
        view: &FleetView,
        now: Moment,
        model: &str,
    ) -> Option<WeightVersion> {
        let bound = self.node.bounds.weight_rollout;
        view.in_force(now, model, bound.saturating_sub(WEIGHTS_MARGIN))
    }

    /// Sets the oldest versions that upstreams of other regions may be sent requests for.
    fn update_far_versions(&self, view: &FleetView, now: Moment, pool: &mut UpstreamPool) {
        let margin = WEIGHTS_MARGIN + FAR_DELAY;
        let bound = self.node.bounds.weight_rollout.saturating_sub(margin);
        for (model, _) in view.all_declared() {
            pool.set_far_version(model, view.in_force(now, model, bound));
        }
    }

    /// The lease for the slot that `assignment` has reserved.
    fn lease(
        self: &Arc<Self>,
        service: &mut ServiceState<P>,
        now: Moment,
        assignment: &Assignment,
    ) -> Lease<P> {
        let needs = &assignment.needs;
        let guess = assignment.guess.clone();
        let prefill_tokens = guess.as_ref().map(|g| g.prefill_tokens());
        if let Some(guess) = &guess {
            prompts::count_saved(guess);
        }
        let pool = &mut service.scheduler.upstreams;
        let mut lease = Lease {
            scheduler: self.clone(),
            service: pool.service().clone(),
            target: Target {
                id: assignment.upstream.clone(),
                addr: std::net::SocketAddr::from(([0, 0, 0, 0], 0)),
            },
            tag: 0,
            started_ms: 0,
            gate: SendGate::default(),
            ticket: SendTicket::default(),
            weight_version: None,
            held: None,
            begin_by: None,
            begin_margin: BEGIN_MARGIN,
            prefill_tokens: prefill_tokens.unwrap_or(needs.prompt_tokens),
            guess,
            leased_at: now,
            first_event: None,
        };
        if let Some(upstream) = pool.get_mut(&assignment.upstream) {
            lease.target.addr = upstream.upstream.addr;
            lease.tag = upstream.tag;
            lease.started_ms = upstream.upstream.started_ms;
            lease.gate = upstream.gate.clone();
            let mut models = upstream.upstream.models.iter();
            let held = models.find(|h| Some(&h.model) == needs.model.as_ref());
            if upstream.region != self.node.region {
                lease.begin_margin += FAR_DELAY;
            }
            if let Some(held) = held {
                lease.weight_version = needs.min_weight_version.map(|_| held.version);
                lease.begin_by = self.begin_by(held, lease.begin_margin);
                lease.held = Some(held.clone());
            }
        }
        lease
    }

    /// Latest moment to begin a request on weights, `margin` before the deadline of newer ones,
    /// as far as they are declared.
    pub fn begin_by(&self, held: &HeldModel, margin: Duration) -> Option<Moment> {
        let bound = self.node.bounds.weight_rollout.saturating_sub(margin);
        self.feed
            .view(|v| v.expires_at(&held.model, held.version, bound))
    }

    /// Assigns free slots to the queued requests of a service.
    pub(crate) fn serve_queue(self: &Arc<Self>, name: &ServiceId) {
        // Dropping a lease takes the lock, so unclaimed ones outlive the guard.
        let mut unclaimed = Vec::new();
        {
            let mut state = self.lock();
            let Some(service) = state.services.get_mut(name) else {
                return;
            };
            let now = now();
            let scheduler = &mut service.scheduler;
            let assignments = self.feed.view(|v| {
                let in_force = |model: &str| self.required_version(v, now, model);
                scheduler.assign_queued(now, in_force, |d| v.is_evacuated(d))
            });
            for assignment in assignments {
                let lease = self.lease(service, now, &assignment);
                let unsent = match service.waiters.remove(&assignment.id) {
                    Some(sender) => sender.try_send(lease).err().map(|e| e.into_inner()),
                    None => Some(lease),
                };
                unclaimed.extend(unsent);
            }
        }
        drop(unclaimed);
    }

    fn serve_all_queues(self: &Arc<Self>) {
        let names: Vec<ServiceId> = self.lock().services.keys().cloned().collect();
        names.iter().for_each(|n| self.serve_queue(n));
    }

    /// Drops silent peers, reassigns upstreams, refuses requests that have waited
    /// too long and assigns free slots.
    pub fn tick(self: &Arc<Self>) {
        let now = now();
        {
            let mut state = self.lock();
            state.log_culprits();
            self.share_limits(&mut state, now);
            state.expire_peers(now);
            self.feed
                .view(|v| state.update_owners(now, &self.node, |d| v.is_evacuated(d)));
            for service in state.services.values_mut() {
                self.feed
                    .view(|v| self.update_far_versions(v, now, &mut service.scheduler.upstreams));
                let unmatched = self.feed.view(|v| {
                    let in_force = |model: &str| self.required_version(v, now, model);
                    let evacuated = |d: &str| v.is_evacuated(d);
                    service.scheduler.remove_unmatched(now, in_force, evacuated)
                });
                for id in unmatched.into_iter().chain(service.scheduler.expire(now)) {
                    // Dropping the sender refuses the request.
                    service.waiters.remove(&id);
                }
                service.log_reserve(now);
            }
        }
        self.serve_queues();
    }

    /// Removes a request from the queue of its service.
    fn cancel_wait(&self, service: &ServiceId, id: u64) {
        if let Some(s) = self.lock().services.get_mut(service) {
            s.scheduler.queue.remove(id);
            s.waiters.remove(&id);
        }
    }

    /// Advised wait before a refused request is sent again.
    fn retry_after(&self, request: &CallerRequest, tried: &[UpstreamId]) -> Duration {
        let needs = self.requirements(request, tried);
        let state = self.lock();
        let service = state.services.get(&request.service);
        let Some((service, needs)) = service.zip(needs) else {
            return NO_MATCH_RETRY;
        };
        self.feed.view(|v| {
            let evacuated = |d: &str| v.is_evacuated(d);
            service.scheduler.retry_after(now(), &needs, evacuated)
        })
    }

    /// Counts a caller's request towards the demand of this entry and the retry
    /// budget of the service.
    pub fn count_request(&self, service: &ServiceId) {
        let mut state = self.lock();
        state.demand.record_request(now());
        state
            .service(service, &self.node)
            .budget
            .record_request(now());
    }

    /// Takes one retry from the budget of a service; false when it is used up.
    pub fn take_retry(&self, service: &ServiceId) -> bool {
        // While the others are not known, this entry has no share in the slack.
        let entries = self.feed.entry_count().unwrap_or(usize::MAX);
        let mut state = self.lock();
        let budget = &mut state.service(service, &self.node).budget;
        let allowed = budget.try_withdraw(now(), entries);
        let outcome = if allowed { "sent" } else { "denied" };
        metrics::counter!("turmerichold_repeats_total", "outcome" => outcome).increment(1);
        allowed
    }

    pub(super) fn lock(&self) -> MutexGuard<'_, SchedulerState<P>> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Outcome of [`Scheduler::try_acquire`].
enum QueueOutcome<P: Platform> {
    Leased(Box<Lease<P>>),
    /// Refused with an advised wait.
    Refused(Duration),
    /// Queued; the channel closes without a lease when the request is refused.
    Queued(Receiver<Lease<P>>),
}

/// Removes a request from the queue when dropped.
struct QueueGuard<P: Platform> {
    scheduler: Arc<Scheduler<P>>,
    service: ServiceId,
    id: u64,
}

impl<P: Platform> Drop for QueueGuard<P> {
    fn drop(&mut self) {
        self.scheduler.cancel_wait(&self.service, self.id);
    }
}
