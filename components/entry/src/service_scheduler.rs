use std::collections::HashMap;
use std::time::Duration;

use async_channel::{Receiver, Sender};
use config::{Declaration, ServiceId, VmId};
use fleet::{Member, VmState};
use protocol::{Availability, HeartbeatReply, Load, Ticket};
use requests::{
    AdmissionQueue, Arrival, Dequeued, EnqueueResult, QueueLimits, QueuedRequest, RetryBudget,
};
use routing::{AffinityTable, Candidate, Choice, Criteria, Distance, Prefix, choose};
use wire::Problem;

use crate::placement::{Placement, Target};
use crate::responses::service_removed;

/// Time for which an upstream is avoided after one failed exchange.
const FAILURE_BACKOFF: Duration = Duration::from_millis(500);
/// Time for which an upstream is avoided after it refused a run at its limit.
const FULL_BACKOFF: Duration = Duration::from_millis(25);
/// Wait advised before a retry when no upstream is open.
const CLOSED_RETRY: Duration = Duration::from_secs(2);

/// State of one upstream in addition to its [`Candidate`].
#[derive(Debug, Clone)]
struct Upstream {
    member: Member,
    ticket: Option<Ticket>,
    /// When the heartbeat was sent that the ticket replies to.
    ticket_at: Duration,
    last_heartbeat: Duration,
    availability: Availability,
    /// When a paused upstream wants requests again.
    paused_until: Option<Duration>,
    failures: u32,
    progress: Option<protocol::Progress>,
    revision: u64,
}

/// A queued request whose caller waits for the placement.
struct PendingRequest {
    sender: Sender<Placement>,
    prefix: Option<u64>,
    tried: Vec<u64>,
}

/// Status of one upstream, as `/status` shows it.
#[derive(Debug, Clone, serde::Serialize)]
pub struct UpstreamStatus {
    /// VM.
    pub vm: VmId,
    /// Failure domain.
    pub failure_domain: config::FailureDomainId,
    /// Whether it may receive new runs.
    pub open: bool,
    /// Whether its agent accepts runs, as last reported.
    #[serde(rename = "door")]
    pub availability: Availability,
    /// Concurrency limit, as last reported.
    pub limit: u32,
    /// Requests in flight, those of other entries included.
    pub in_flight: u32,
    /// Revision of the configuration in force at the agent.
    pub revision: u64,
    /// Progress of the service's model, if it has one.
    pub progress: Option<protocol::Progress>,
}

/// Queues the requests of one service and assigns them to upstreams.
pub struct ServiceScheduler {
    service: ServiceId,
    failure_domain: config::FailureDomainId,
    region: config::RegionId,
    upstreams: Vec<Upstream>,
    candidates: Vec<Candidate>,
    affinity: AffinityTable,
    queue: AdmissionQueue,
    pending: HashMap<u64, PendingRequest>,
    retries: RetryBudget,
    rng: fastrand::Rng,
    in_service: Vec<config::FailureDomainId>,
    heartbeat_timeout: Duration,
    removed: bool,
}

impl ServiceScheduler {
    /// A scheduler without upstreams for an entry in `failure_domain` and `region`.
    pub fn new(service: ServiceId, failure_domain: &str, region: &str) -> Self {
        ServiceScheduler {
            service,
            failure_domain: failure_domain.into(),
            region: region.into(),
            upstreams: Vec::new(),
            candidates: Vec::new(),
            affinity: AffinityTable::default(),
            queue: AdmissionQueue::new(QueueLimits { capacity: 0 }),
            pending: HashMap::new(),
            retries: RetryBudget::default(),
            rng: fastrand::Rng::new(),
            in_service: Vec::new(),
            heartbeat_timeout: Duration::ZERO,
            removed: false,
        }
    }

    /// Applies the configuration in force.
    pub fn configure(&mut self, declaration: &Declaration) {
        if let Some(service) = declaration.services.get(&self.service) {
            let queue = service.queue;
            self.queue.set_limits(QueueLimits { capacity: queue });
        }
        self.in_service = declaration
            .failure_domains
            .iter()
            .filter(|(_, d)| d.in_service)
            .map(|(id, _)| id.clone())
            .collect();
    }

    /// Refuses all requests from now on, because the service was removed.
    pub fn remove_service(&mut self) {
        self.removed = true;
        let waiting: Vec<u64> = self.pending.keys().copied().collect();
        for id in waiting {
            self.refuse(id, service_removed());
        }
    }

    /// Sets the upstreams to use; keeps the state of those it has already.
    pub fn set_members(&mut self, members: &[&Member]) {
        let mut previous: HashMap<VmId, (Upstream, Candidate)> = self
            .upstreams
            .drain(..)
            .zip(self.candidates.drain(..))
            .map(|(u, c)| (u.member.vm.clone(), (u, c)))
            .collect();
        for m in members {
            let (mut upstream, candidate) = match previous.remove(&m.vm) {
                Some(state) => state,
                None => (new_upstream(m), self.new_candidate(m)),
            };
            upstream.member = (*m).clone();
            self.upstreams.push(upstream);
            self.candidates.push(candidate);
        }
        let keys: Vec<u64> = self.candidates.iter().map(|c| c.key).collect();
        self.affinity = AffinityTable::new(&keys);
    }

    /// Sets the time without a heartbeat reply after which an upstream receives no
    /// new runs.
    pub fn set_heartbeat_timeout(&mut self, timeout: Duration) {
        self.heartbeat_timeout = timeout;
    }

    /// The upstreams, to whose agents heartbeats are sent.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.upstreams.iter().map(|u| &u.member)
    }

    /// Records an agent's reply to a heartbeat that was sent at `sent_at`, unless that to a
    /// later one has arrived.
    pub fn record_heartbeat(&mut self, now: Duration, sent_at: Duration, reply: HeartbeatReply) {
        let Some(i) = self.upstreams.iter().position(|u| u.member.vm == reply.vm) else {
            return;
        };
        let u = &mut self.upstreams[i];
        if sent_at < u.ticket_at {
            return;
        }
        u.ticket = Some(reply.ticket);
        u.ticket_at = sent_at;
        u.last_heartbeat = now;
        u.availability = reply.availability;
        u.paused_until = reply.retry_after.map(|wait| now + wait);
        u.revision = reply.revision;
        u.progress = reply.progress;
        self.update_load(i, reply.load);
        self.refresh(now);
    }

    /// Queues or refuses a request; its placement is sent to the returned channel.
    /// `tried` are the keys of upstreams to exclude.
    pub fn submit(
        &mut self,
        now: Duration,
        arrival: Arrival,
        prefix: Option<u64>,
        tried: Vec<u64>,
    ) -> Receiver<Placement> {
        let (sender, receiver) = async_channel::bounded(1);
        if self.removed {
            let _ = sender.try_send(Placement::Refused(service_removed()));
            return receiver;
        }
        let id = arrival.id;
        match self.queue.enqueue(now, arrival) {
            EnqueueResult::Refused { retry_after } => {
                let _ = sender.try_send(Placement::Refused(overloaded(retry_after)));
            }
            EnqueueResult::Queued { displaced } => {
                let request = PendingRequest {
                    sender,
                    prefix,
                    tried,
                };
                self.pending.insert(id, request);
                if let Some(id) = displaced {
                    self.refuse(id, overloaded(self.queue.retry_after()));
                }
            }
        }
        self.assign_queued(now);
        receiver
    }

    /// Removes a request whose caller no longer waits, and releases an upstream that
    /// was assigned to it in the meantime.
    pub fn remove(
        &mut self,
        account: &config::ClientAccountId,
        id: u64,
        placement: &Receiver<Placement>,
    ) {
        self.queue.remove(account, id);
        self.pending.remove(&id);
        if let Ok(Placement::Assigned(target)) = placement.try_recv()
            && let Some(i) = self.position(target.key)
        {
            let c = &mut self.candidates[i];
            c.outstanding = c.outstanding.saturating_sub(1);
        }
    }

    /// Adds the share of a first attempt to the retry budget.
    pub fn deposit_retry(&mut self) {
        self.retries.deposit();
    }

    /// Takes one retry from the budget; returns false if less than one is left.
    pub fn try_withdraw_retry(&mut self) -> bool {
        self.retries.try_withdraw()
    }

    /// Records the load that came with the response to a run which is still in flight.
    pub fn record_load(&mut self, now: Duration, key: u64, load: Load) {
        if let Some(i) = self.position(key) {
            // `outstanding` counts the run that the reported load leaves out.
            let in_flight = load.in_flight.saturating_add(1);
            self.update_load(i, Load { in_flight, ..load });
        }
        self.assign_queued(now);
    }

    /// Records the end of an exchange; `took` is its duration if the response was
    /// complete.
    pub fn record_end(&mut self, now: Duration, key: u64, took: Option<Duration>) {
        if let Some(i) = self.position(key) {
            let c = &mut self.candidates[i];
            c.outstanding = c.outstanding.saturating_sub(1);
            if took.is_some() {
                self.upstreams[i].failures = 0;
            }
        }
        if let Some(took) = took {
            self.queue.record_completion(now, took);
        }
        self.assign_queued(now);
    }

    /// Avoids an upstream that is at its limit for a short time.
    pub fn record_full(&mut self, now: Duration, key: u64) {
        if let Some(i) = self.position(key) {
            self.candidates[i].avoid_until = now + FULL_BACKOFF;
        }
    }

    /// Avoids an upstream after a failure, for a time that doubles with each
    /// consecutive one.
    ///
    /// Has no effect while half of the open upstreams are avoided: the cause of so
    /// many failures is probably not the upstreams.
    pub fn record_failure(&mut self, now: Duration, key: u64) {
        let open = self.candidates.iter().filter(|c| c.open);
        let avoided = open.clone().filter(|c| c.avoid_until > now).count();
        if avoided * 2 >= open.count().max(2) {
            return;
        }
        if let Some(i) = self.position(key) {
            let failures = &mut self.upstreams[i].failures;
            *failures = (*failures + 1).min(6);
            self.candidates[i].avoid_until = now + FAILURE_BACKOFF * (1 << (*failures - 1));
        }
    }

    /// Sends no more runs to an upstream until its next heartbeat reply, or until a paused one
    /// wants requests again, `retry_after` from now.
    pub fn record_closed(&mut self, now: Duration, key: u64, retry_after: Option<Duration>) {
        if let Some(i) = self.position(key) {
            self.candidates[i].open = false;
            let u = &mut self.upstreams[i];
            match retry_after {
                Some(wait) => {
                    u.availability = Availability::Paused;
                    u.paused_until = Some(now + wait);
                }
                None => u.ticket = None,
            }
        }
    }

    /// Updates which upstreams are open, refuses requests that can no longer be
    /// completed in time and assigns others.
    pub fn tick(&mut self, now: Duration) {
        self.refresh(now);
        let retry_after = self.queue.retry_after();
        for w in self.queue.expire(now) {
            self.refuse(w.arrival.id, overloaded(retry_after));
        }
        self.assign_queued(now);
    }

    /// Number of requests waiting.
    pub fn waiting(&self) -> usize {
        self.queue.len()
    }

    /// Status of each upstream.
    pub fn status(&self) -> Vec<UpstreamStatus> {
        self.upstreams
            .iter()
            .zip(&self.candidates)
            .map(|(u, c)| UpstreamStatus {
                vm: u.member.vm.clone(),
                failure_domain: u.member.failure_domain.clone(),
                open: c.open,
                availability: u.availability,
                limit: c.limit,
                in_flight: c.others_outstanding + c.outstanding,
                revision: u.revision,
                progress: u.progress.clone(),
            })
            .collect()
    }

    /// Updates which upstreams are open.
    fn refresh(&mut self, now: Duration) {
        for (u, c) in self.upstreams.iter().zip(&mut self.candidates) {
            let accepts = match u.availability {
                // The end of the pause comes before the next heartbeat.
                Availability::Paused => u.paused_until.is_some_and(|end| end <= now),
                other => other == Availability::Open,
            };
            c.open = accepts
                && u.ticket.is_some()
                && u.last_heartbeat + self.heartbeat_timeout > now
                && u.member.state == VmState::Live
                && self.in_service.contains(&u.member.failure_domain);
        }
    }

    /// Assigns queued requests to upstreams while one has capacity.
    fn assign_queued(&mut self, now: Duration) {
        while !self.queue.is_empty() {
            let choice = choose(now, &self.candidates, Criteria::default(), &mut self.rng);
            match choice {
                Choice::Full => return,
                Choice::Closed => return self.refuse_all(now),
                Choice::Upstream(_) => {}
            }
            match self.queue.dequeue(now) {
                None => return,
                Some(Dequeued::Start(w)) => self.assign(now, w),
                Some(Dequeued::Late(w)) => {
                    let retry_after = self.queue.retry_after();
                    self.refuse(w.arrival.id, overloaded(retry_after));
                }
            }
        }
    }

    fn assign(&mut self, now: Duration, queued: QueuedRequest) {
        let Some(request) = self.pending.remove(&queued.arrival.id) else {
            return;
        };
        let criteria = Criteria {
            prefix: request.prefix.map(|hash| Prefix {
                hash,
                affinity: &self.affinity,
            }),
            tried: &request.tried,
        };
        let Choice::Upstream(i) = choose(now, &self.candidates, criteria, &mut self.rng) else {
            let _ = request
                .sender
                .try_send(Placement::Refused(overloaded(self.closed_retry(now))));
            return;
        };
        let Some(target) = self.target(i) else {
            return;
        };
        if request.sender.try_send(Placement::Assigned(target)).is_ok() {
            self.candidates[i].outstanding += 1;
        }
    }

    fn target(&self, i: usize) -> Option<Target> {
        let u = &self.upstreams[i];
        Some(Target {
            vm: u.member.vm.clone(),
            addr: u.member.addr,
            ticket: u.ticket?,
            ticket_at: u.ticket_at,
            key: self.candidates[i].key,
        })
    }

    fn refuse_all(&mut self, now: Duration) {
        while let Some(Dequeued::Start(w) | Dequeued::Late(w)) = self.queue.dequeue(now) {
            let wait = self.closed_retry(now);
            self.refuse(w.arrival.id, no_upstream(&self.service, wait));
        }
    }

    /// Wait advised while no upstream is open: until the first that is paused wants requests
    /// again, unless another may open before.
    fn closed_retry(&self, now: Duration) -> Duration {
        let mut first: Option<Duration> = None;
        for u in &self.upstreams {
            match (u.availability, u.paused_until) {
                (Availability::Paused, Some(end)) => {
                    let wait = end.saturating_sub(now);
                    first = Some(first.map_or(wait, |f| f.min(wait)));
                }
                (Availability::Leaving, _) => {}
                _ => return CLOSED_RETRY,
            }
        }
        first.unwrap_or(CLOSED_RETRY)
    }

    fn refuse(&mut self, id: u64, problem: Problem) {
        if let Some(request) = self.pending.remove(&id) {
            let _ = request.sender.try_send(Placement::Refused(problem));
        }
    }

    fn update_load(&mut self, i: usize, load: Load) {
        let c = &mut self.candidates[i];
        c.limit = load.limit;
        c.others_outstanding = load.in_flight.saturating_sub(c.outstanding);
        c.service_time = Duration::from_micros(u64::from(load.service_us));
    }

    fn position(&self, key: u64) -> Option<usize> {
        self.candidates.iter().position(|c| c.key == key)
    }

    fn new_candidate(&self, m: &Member) -> Candidate {
        let distance = if m.failure_domain == self.failure_domain {
            Distance::SameDomain
        } else if m.region == self.region {
            Distance::SameRegion
        } else {
            Distance::OtherRegion
        };
        Candidate {
            key: fleet::pair_hash("candidate", &m.vm),
            distance,
            ..Candidate::default()
        }
    }
}

fn new_upstream(m: &Member) -> Upstream {
    Upstream {
        member: m.clone(),
        ticket: None,
        ticket_at: Duration::ZERO,
        last_heartbeat: Duration::ZERO,
        availability: Availability::Starting,
        paused_until: None,
        failures: 0,
        progress: None,
        revision: 0,
    }
}

fn overloaded(retry_after: Duration) -> Problem {
    let detail = "the request cannot be answered before its deadline; send it again later";
    Problem::not_run(503, "overloaded", detail).retry_after(retry_after)
}

fn no_upstream(service: &str, retry_after: Duration) -> Problem {
    let detail = format!("no upstream of {service} accepts requests; send the request again later");
    Problem::not_run(503, "no upstream", detail).retry_after(retry_after)
}

#[cfg(test)]
#[path = "service_scheduler_tests.rs"]
mod tests;
