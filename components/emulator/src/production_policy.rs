use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use compact_str::format_compact;
use dispatch::{
    Assignment, EntryDemand, FirstAttemptEstimator, IncomingRequest, LatencyModel, PeerLoads,
    Placement, PooledUpstream, PrefixGuess, QueueLimits, RequestQueue, Requirements,
    ServiceScheduler, UpstreamLoad, UpstreamOwners, UpstreamPool,
};
use domain::{EngineSpec, Moment, Pace, Upstream, UpstreamId, UpstreamState};

use crate::{Decision, EngineState, Policy, Request, kinds};

/// Most requests that wait at one entry, as in production.
const QUEUE_CAPACITY: usize = 256;
/// Target latency of a policy without target latencies: callers wait no longer.
const NO_TARGET_LATENCY: Duration = Duration::from_secs(6);

/// The production scheduler of one entry, with the loads of other entries.
pub struct ProductionPolicy {
    scheduler: ServiceScheduler,
    first_attempts: FirstAttemptEstimator,
    /// Loads of the other entries.
    peer_loads: PeerLoads,
    use_targets: bool,
    /// Whether it uses the pace that engines state.
    pub use_pace: bool,
    /// What is assumed about the prompts of requests, by their ids, and when they were sent.
    guesses: HashMap<u64, (Moment, PrefixGuess)>,
}

impl ProductionPolicy {
    /// An entry in the failure domain `domain`, one of `entries`; `use_targets` is whether
    /// it uses the target latencies of requests.
    pub fn new(domain: usize, entries: u32, spec: &EngineSpec, use_targets: bool) -> Self {
        let name = domain_name(domain);
        let mut upstreams = UpstreamPool::new("llm".into(), name.clone(), name);
        upstreams.set_latency_model(LatencyModel::new(Some(spec.clone())));
        upstreams.set_entries(entries);
        let limits = QueueLimits {
            capacity: QUEUE_CAPACITY,
        };
        ProductionPolicy {
            scheduler: ServiceScheduler::new(upstreams, RequestQueue::new(limits)),
            first_attempts: FirstAttemptEstimator::default(),
            peer_loads: PeerLoads::default(),
            use_targets,
            use_pace: true,
            guesses: HashMap::new(),
        }
    }

    /// Adds an engine in the failure domain `domain`.
    pub fn add_engine(&mut self, now: Moment, engine: usize, domain: usize, slots: u32) {
        let domain = domain_name(domain);
        let upstream = Upstream {
            id: upstream_id(engine),
            service: "llm".into(),
            addr: SocketAddr::from(([127, 0, 0, 1], 1)),
            failure_domain: domain.clone(),
            slots,
            state: UpstreamState::Ready,
            cold_remaining: Duration::ZERO,
            started_ms: 1,
            sequence: 0,
            models: Vec::new(),
        };
        self.scheduler
            .upstreams
            .upsert(now, &upstream, &domain, upstream_tag(engine));
    }

    /// Assigns the engines to the entries, which receive equal numbers of requests;
    /// `entry` is the index of this one.
    pub fn set_owners(&mut self, entry: usize, entries: usize, domains: usize) {
        let demand = |e| EntryDemand {
            vm: vm_id(e),
            region: domain_name(e % domains),
            demand: 1,
        };
        let entries: Vec<EntryDemand> = (0..entries).map(demand).collect();
        let pooled = self.scheduler.upstreams.iter();
        let upstreams: Vec<_> = pooled.map(|u| (u.tag, u.region.clone())).collect();
        let owners = UpstreamOwners::new(&entries, &upstreams);
        self.scheduler.upstreams.set_owners(&owners, &vm_id(entry));
    }

    /// Keeps what is assumed about the prompt of a request; returns its id and engine.
    fn note_guess(&mut self, now: Moment, assignment: Assignment) -> (u64, usize) {
        if let Some(guess) = assignment.guess {
            self.guesses.insert(assignment.id, (now, *guess));
        }
        (assignment.id, engine_index(&assignment.upstream))
    }

    fn upstream(&mut self, engine: usize) -> Option<&mut PooledUpstream> {
        self.scheduler.upstreams.get_mut(&upstream_id(engine))
    }
}

/// Tokens by which a request has raised the backlog of its engine.
fn prefill_tokens(guess: &Option<(Moment, PrefixGuess)>, request: &Request) -> u32 {
    let guess = guess.as_ref();
    guess.map_or(request.prompt, |(_, g)| g.prefill_tokens())
}

fn upstream_id(engine: usize) -> UpstreamId {
    format_compact!("{engine}")
}

fn upstream_tag(engine: usize) -> u32 {
    u32::try_from(engine).unwrap_or(u32::MAX)
}

fn vm_id(entry: usize) -> domain::VmId {
    format_compact!("entry-{entry:03}")
}

fn domain_name(domain: usize) -> domain::FailureDomainId {
    format_compact!("d{domain}")
}

fn engine_index(id: &str) -> usize {
    // All ids are created by `upstream_id`.
    id.parse().unwrap_or(0)
}

impl Policy for ProductionPolicy {
    fn submit(&mut self, now: Moment, request: &Request) -> Decision {
        let kind = kinds()[request.kind];
        let time_left = request.deadline.saturating_sub(now);
        let (first, target) = match self.use_targets {
            true => (
                self.first_attempts.estimate(kind.name, now, time_left),
                kind.target_latency,
            ),
            false => (now, NO_TARGET_LATENCY),
        };
        let incoming = IncomingRequest {
            id: request.id,
            priority: kind.priority,
            account: Some(format_compact!("account-{}", request.account)),
            first_attempt: first,
            target_latency: target,
            deadline: request.deadline,
            begun: false,
            needs: Requirements {
                prompt_tokens: request.prompt,
                prefix: request.prefix.clone(),
                output_tokens: Some(request.expected_tokens),
                ..Requirements::default()
            },
        };
        match self.scheduler.submit(now, incoming, |_| false) {
            Placement::Assigned(assignment) => {
                Decision::Assigned(self.note_guess(now, *assignment).1)
            }
            Placement::Queued => Decision::Queued,
            Placement::Refused(wait) => Decision::Refused(wait),
        }
    }

    fn assign_queued(&mut self, now: Moment) -> Vec<(u64, usize)> {
        let assigned = self.scheduler.assign_queued(now, |_| None, |_| false);
        let noted = assigned.into_iter().map(|a| self.note_guess(now, a));
        noted.collect()
    }

    fn expire(&mut self, now: Moment) -> Vec<(u64, Duration)> {
        let expired = self.scheduler.expire(now);
        let queue = &self.scheduler.queue;
        expired
            .iter()
            .map(|id| (*id, queue.retry_after(now)))
            .collect()
    }

    fn remove(&mut self, id: u64) {
        self.scheduler.queue.remove(id);
    }

    fn record_first_token(&mut self, now: Moment, engine: usize, request: &Request) {
        let guess = self.guesses.remove(&request.id);
        let prefill = prefill_tokens(&guess, request);
        if let Some(upstream) = self.upstream(engine) {
            upstream.record_prefill(prefill);
        }
        if let Some((sent_at, guess)) = guess {
            let waited = now.saturating_sub(sent_at);
            let pool = &mut self.scheduler.upstreams;
            pool.record_prompt(&upstream_id(engine), &guess, waited);
        }
    }

    fn record_end(&mut self, engine: usize, request: &Request, started: bool) {
        let guess = self.guesses.remove(&request.id);
        let prefill = prefill_tokens(&guess, request);
        if let Some(upstream) = self.upstream(engine) {
            if started {
                upstream.record_success();
            } else {
                upstream.record_prefill(prefill);
            }
            upstream.record_end();
        }
    }

    fn record_full(&mut self, now: Moment, engine: usize, request: &Request) {
        if let Some(upstream) = self.upstream(engine) {
            upstream.record_full(now);
        }
        self.record_end(engine, request, false);
    }

    fn loads(&self) -> Vec<(usize, UpstreamLoad)> {
        let busy = self
            .scheduler
            .upstreams
            .iter()
            .filter(|u| u.own.requests > 0);
        busy.map(|u| (engine_index(&u.upstream.id), u.own))
            .collect()
    }

    fn record_peer_loads(&mut self, from: usize, loads: &[(usize, UpstreamLoad)]) {
        let loads = loads.iter().map(|(e, load)| (upstream_tag(*e), *load));
        for (tag, load) in self.peer_loads.replace(&vm_id(from), loads.collect()) {
            self.scheduler.upstreams.set_others(tag, load);
        }
    }

    fn record_pace(&mut self, now: Moment, engine: usize, pace: Pace) {
        let use_pace = self.use_pace;
        if let Some(upstream) = self.upstream(engine).filter(|_| use_pace) {
            upstream.record_pace(now, upstream.upstream.started_ms, pace);
        }
    }

    fn update_engine(&mut self, now: Moment, engine: usize, state: EngineState) {
        if let EngineState::Removed = state {
            self.scheduler.upstreams.remove(&upstream_id(engine));
            return;
        }
        if let Some(upstream) = self.upstream(engine) {
            upstream.set_switching(now, state == EngineState::Closed);
            upstream.closes_at = match state {
                EngineState::ClosesAt(at) => Some(at),
                EngineState::Open | EngineState::Closed | EngineState::Removed => None,
            };
        }
    }
}
