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

use crate::grant::{Grant, Target};

/// How long an upstream is avoided after a failed exchange.
const AVOID: Duration = Duration::from_millis(500);
/// How long an upstream is avoided after it was found at its limit.
const FULL_PAUSE: Duration = Duration::from_millis(25);
/// Advised wait when no upstream is open.
const CLOSED_RETRY: Duration = Duration::from_secs(2);

/// What the scheduler knows about one upstream beside its candidate.
#[derive(Debug, Clone)]
struct Upstream {
    member: Member,
    ticket: Option<Ticket>,
    heard: Duration,
    door: Availability,
    failures: u32,
    progress: Option<protocol::Progress>,
    revision: u64,
}

struct Waiter {
    grant: Sender<Grant>,
    prefix: Option<u64>,
    tried: Vec<u64>,
}

/// A line of the status page.
#[derive(Debug, Clone, serde::Serialize)]
pub struct UpstreamStatus {
    /// VM.
    pub vm: VmId,
    /// Failure domain.
    pub failure_domain: config::FailureDomainId,
    /// Whether new work may be sent there.
    pub open: bool,
    /// Availability as last reported.
    pub door: Availability,
    /// Most requests in flight.
    pub limit: u32,
    /// Requests in flight, those of other entries included.
    pub in_flight: u32,
    /// Configuration revision in force there.
    pub revision: u64,
    /// Progress of its model.
    pub progress: Option<protocol::Progress>,
}

/// The upstreams of one service and the requests that wait for them.
pub struct ServiceScheduler {
    service: ServiceId,
    failure_domain: config::FailureDomainId,
    region: config::RegionId,
    upstreams: Vec<Upstream>,
    candidates: Vec<Candidate>,
    homes: AffinityTable,
    admission: AdmissionQueue,
    waiters: HashMap<u64, Waiter>,
    retries: RetryBudget,
    rng: fastrand::Rng,
    in_service: Vec<config::FailureDomainId>,
    silence: Duration,
}

impl ServiceScheduler {
    /// An empty scheduler as seen from an entry in `failure_domain` and `region`.
    pub fn new(service: ServiceId, failure_domain: &str, region: &str) -> Self {
        ServiceScheduler {
            service,
            failure_domain: failure_domain.into(),
            region: region.into(),
            upstreams: Vec::new(),
            candidates: Vec::new(),
            homes: AffinityTable::default(),
            admission: AdmissionQueue::new(QueueLimits { capacity: 0 }),
            waiters: HashMap::new(),
            retries: RetryBudget::default(),
            rng: fastrand::Rng::new(),
            in_service: Vec::new(),
            silence: Duration::ZERO,
        }
    }

    /// Takes over the configuration in force.
    pub fn configure(&mut self, declaration: &Declaration) {
        if let Some(service) = declaration.services.get(&self.service) {
            let queue = service.queue;
            self.admission.set_limits(QueueLimits { capacity: queue });
        }
        self.in_service = declaration
            .failure_domains
            .iter()
            .filter(|(_, d)| d.in_service)
            .map(|(id, _)| id.clone())
            .collect();
    }

    /// Takes over the upstreams to be known, keeping what is known of them.
    pub fn set_members(&mut self, members: &[&Member]) {
        let mut old: HashMap<VmId, (Upstream, Candidate)> = self
            .upstreams
            .drain(..)
            .zip(self.candidates.drain(..))
            .map(|(u, c)| (u.member.vm.clone(), (u, c)))
            .collect();
        for m in members {
            let (mut upstream, candidate) = match old.remove(&m.vm) {
                Some(known) => known,
                None => (unknown(m), self.candidate(m)),
            };
            upstream.member = (*m).clone();
            self.upstreams.push(upstream);
            self.candidates.push(candidate);
        }
        let keys: Vec<u64> = self.candidates.iter().map(|c| c.key).collect();
        self.homes = AffinityTable::new(&keys);
    }

    /// Sets the silence after which an upstream receives no new work.
    pub fn set_silence(&mut self, silence: Duration) {
        self.silence = silence;
    }

    /// Members that heartbeats go to.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.upstreams.iter().map(|u| &u.member)
    }

    /// Records an agent's answer to a heartbeat.
    pub fn heard(&mut self, now: Duration, reply: HeartbeatReply) {
        let Some(i) = self.upstreams.iter().position(|u| u.member.vm == reply.vm) else {
            return;
        };
        let u = &mut self.upstreams[i];
        u.ticket = Some(reply.ticket);
        u.heard = now;
        u.door = reply.availability;
        u.revision = reply.revision;
        u.progress = reply.progress;
        self.note_load(i, reply.load);
        self.refresh(now);
    }

    /// Offers a request to the queue; the grant arrives on the channel.
    pub fn offer(
        &mut self,
        now: Duration,
        arrival: Arrival,
        prefix: Option<u64>,
        tried: Vec<u64>,
    ) -> Receiver<Grant> {
        let (grant, granted) = async_channel::bounded(1);
        let id = arrival.id;
        match self.admission.enqueue(now, arrival) {
            EnqueueResult::Refused { retry_after } => {
                let _ = grant.try_send(Grant::Refuse(overloaded(retry_after)));
            }
            EnqueueResult::Queued { displaced } => {
                let waiter = Waiter {
                    grant,
                    prefix,
                    tried,
                };
                self.waiters.insert(id, waiter);
                if let Some(id) = displaced {
                    self.refuse(id, overloaded(self.admission.retry_after()));
                }
            }
        }
        self.pump(now);
        granted
    }

    /// Removes a request that waits no longer, and takes back a place that was
    /// granted to it in the meantime.
    pub fn cancel(
        &mut self,
        account: &config::ClientAccountId,
        id: u64,
        granted: &Receiver<Grant>,
    ) {
        self.admission.remove(account, id);
        self.waiters.remove(&id);
        if let Ok(Grant::Send(target)) = granted.try_recv()
            && let Some(i) = self.position(target.key)
        {
            let c = &mut self.candidates[i];
            c.outstanding = c.outstanding.saturating_sub(1);
        }
    }

    /// Earns retries for a first attempt.
    pub fn earn_retry(&mut self) {
        self.retries.deposit();
    }

    /// Takes a retry from the budget.
    pub fn spend_retry(&mut self) -> bool {
        self.retries.try_withdraw()
    }

    /// Records the load that came with a reply whose exchange has not ended yet.
    pub fn replied(&mut self, now: Duration, key: u64, load: Load) {
        if let Some(i) = self.position(key) {
            // The report leaves this exchange out, `outstanding` does not.
            let in_flight = load.in_flight.saturating_add(1);
            self.note_load(i, Load { in_flight, ..load });
        }
        self.pump(now);
    }

    /// Records the end of an exchange; `took` is its time if it was answered.
    pub fn finish(&mut self, now: Duration, key: u64, took: Option<Duration>) {
        if let Some(i) = self.position(key) {
            let c = &mut self.candidates[i];
            c.outstanding = c.outstanding.saturating_sub(1);
            if took.is_some() {
                self.upstreams[i].failures = 0;
            }
        }
        if let Some(took) = took {
            self.admission.record_completion(now, took);
        }
        self.pump(now);
    }

    /// Avoids an upstream at its limit for a moment.
    pub fn full(&mut self, now: Duration, key: u64) {
        if let Some(i) = self.position(key) {
            self.candidates[i].avoid_until = now + FULL_PAUSE;
        }
    }

    /// Avoids an upstream for a while, longer with each failure in a row.
    ///
    /// When half of the open upstreams are avoided already the cause is hardly
    /// theirs, and no more are.
    pub fn failed(&mut self, now: Duration, key: u64) {
        let open = self.candidates.iter().filter(|c| c.open);
        let avoided = open.clone().filter(|c| c.avoid_until > now).count();
        if avoided * 2 >= open.count().max(2) {
            return;
        }
        if let Some(i) = self.position(key) {
            let failures = &mut self.upstreams[i].failures;
            *failures = (*failures + 1).min(6);
            self.candidates[i].avoid_until = now + AVOID * (1 << (*failures - 1));
        }
    }

    /// Sends no more work to an upstream until it is heard of again.
    pub fn closed(&mut self, key: u64) {
        if let Some(i) = self.position(key) {
            self.candidates[i].open = false;
            self.upstreams[i].ticket = None;
        }
    }

    /// Refuses what can no longer be answered in time and grants what can be sent.
    pub fn tick(&mut self, now: Duration) {
        self.refresh(now);
        let retry_after = self.admission.retry_after();
        for w in self.admission.expire(now) {
            self.refuse(w.arrival.id, overloaded(retry_after));
        }
        self.pump(now);
    }

    /// Requests waiting.
    pub fn waiting(&self) -> usize {
        self.admission.len()
    }

    /// What is known of each upstream.
    pub fn status(&self) -> Vec<UpstreamStatus> {
        self.upstreams
            .iter()
            .zip(&self.candidates)
            .map(|(u, c)| UpstreamStatus {
                vm: u.member.vm.clone(),
                failure_domain: u.member.failure_domain.clone(),
                open: c.open,
                door: u.door,
                limit: c.limit,
                in_flight: c.others_outstanding + c.outstanding,
                revision: u.revision,
                progress: u.progress.clone(),
            })
            .collect()
    }

    /// Derives which upstreams may receive new work.
    fn refresh(&mut self, now: Duration) {
        for (u, c) in self.upstreams.iter().zip(&mut self.candidates) {
            c.open = u.door == Availability::Open
                && u.ticket.is_some()
                && u.heard + self.silence > now
                && u.member.state == VmState::Live
                && self.in_service.contains(&u.member.failure_domain);
        }
    }

    /// Grants upstreams to waiting requests while there is room.
    fn pump(&mut self, now: Duration) {
        while !self.admission.is_empty() {
            let any = choose(now, &self.candidates, Criteria::default(), &mut self.rng);
            match any {
                Choice::Full => return,
                Choice::Closed => return self.refuse_all(now),
                Choice::Upstream(_) => {}
            }
            match self.admission.dequeue(now) {
                None => return,
                Some(Dequeued::Start(w)) => self.grant(now, w),
                Some(Dequeued::Late(w)) => {
                    let retry_after = self.admission.retry_after();
                    self.refuse(w.arrival.id, overloaded(retry_after));
                }
            }
        }
    }

    fn grant(&mut self, now: Duration, w: QueuedRequest) {
        let Some(waiter) = self.waiters.remove(&w.arrival.id) else {
            return;
        };
        let query = Criteria {
            prefix: waiter.prefix.map(|hash| Prefix {
                hash,
                affinity: &self.homes,
            }),
            tried: &waiter.tried,
        };
        let Choice::Upstream(i) = choose(now, &self.candidates, query, &mut self.rng) else {
            let _ = waiter
                .grant
                .try_send(Grant::Refuse(overloaded(CLOSED_RETRY)));
            return;
        };
        let Some(target) = self.target(i) else {
            return;
        };
        if waiter.grant.try_send(Grant::Send(target)).is_ok() {
            self.candidates[i].outstanding += 1;
        }
    }

    fn target(&self, i: usize) -> Option<Target> {
        let u = &self.upstreams[i];
        Some(Target {
            vm: u.member.vm.clone(),
            addr: u.member.addr,
            ticket: u.ticket?,
            key: self.candidates[i].key,
        })
    }

    fn refuse_all(&mut self, now: Duration) {
        while let Some(Dequeued::Start(w) | Dequeued::Late(w)) = self.admission.dequeue(now) {
            self.refuse(w.arrival.id, closed(&self.service));
        }
    }

    fn refuse(&mut self, id: u64, problem: Problem) {
        if let Some(waiter) = self.waiters.remove(&id) {
            let _ = waiter.grant.try_send(Grant::Refuse(problem));
        }
    }

    fn note_load(&mut self, i: usize, load: Load) {
        let c = &mut self.candidates[i];
        c.limit = load.limit;
        c.others_outstanding = load.in_flight.saturating_sub(c.outstanding);
        c.service_time = Duration::from_micros(u64::from(load.service_us));
    }

    fn position(&self, key: u64) -> Option<usize> {
        self.candidates.iter().position(|c| c.key == key)
    }

    fn candidate(&self, m: &Member) -> Candidate {
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

fn unknown(m: &Member) -> Upstream {
    Upstream {
        member: m.clone(),
        ticket: None,
        heard: Duration::ZERO,
        door: Availability::Starting,
        failures: 0,
        progress: None,
        revision: 0,
    }
}

fn overloaded(retry_after: Duration) -> Problem {
    let detail = "the request cannot be answered before its deadline; send it again later";
    Problem::not_run(503, "overloaded", detail).retry_after(retry_after)
}

fn closed(service: &str) -> Problem {
    let detail = format!("no upstream of {service} accepts work; send the request again later");
    Problem::not_run(503, "no upstream", detail).retry_after(CLOSED_RETRY)
}

#[cfg(test)]
#[path = "service_scheduler_tests.rs"]
mod tests;
