use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use compact_str::format_compact;
use dispatch::{
    EntryDemand, FirstAttemptEstimator, IncomingRequest, LatencyModel, Placement, PooledUpstream,
    QueueLimits, RequestQueue, Requirements, ServiceScheduler, UpstreamLoad, UpstreamOwners,
    UpstreamPool,
};
use domain::{EngineSpec, Moment, Upstream, UpstreamId, UpstreamState};

use crate::{Decision, EngineState, Policy, Request, kinds};

/// Most requests that wait at one entry, as in production.
const ROOM_PLACES: usize = 256;
/// Objective of a policy that knows none.
const NO_OBJECTIVE: Duration = Duration::from_secs(6);

/// The production decisions of one entry.
pub struct ProductionPolicy {
    intake: ServiceScheduler,
    returners: FirstAttemptEstimator,
    heard: HashMap<usize, Vec<(usize, UpstreamLoad)>>,
    objectives: bool,
}

impl ProductionPolicy {
    /// An entry in `domain` among `entries`; `objectives` tells whether it knows
    /// when an answer is on time.
    pub fn new(domain: usize, entries: u32, spec: &EngineSpec, objectives: bool) -> Self {
        let name = domain_name(domain);
        let mut seats = UpstreamPool::new("llm".into(), name.clone(), name);
        seats.set_latency_model(LatencyModel::new(Some(spec.clone())));
        seats.set_entries(entries);
        let rules = QueueLimits {
            capacity: ROOM_PLACES,
        };
        ProductionPolicy {
            intake: ServiceScheduler::new(seats, RequestQueue::new(rules)),
            returners: FirstAttemptEstimator::default(),
            heard: HashMap::new(),
            objectives,
        }
    }

    /// Lists an engine of a failure domain.
    pub fn add_engine(&mut self, now: Moment, engine: usize, domain: usize, slots: u32) {
        let domain = domain_name(domain);
        let upstream = Upstream {
            id: id(engine),
            service: "llm".into(),
            addr: SocketAddr::from(([127, 0, 0, 1], 1)),
            failure_domain: domain.clone(),
            slots,
            state: UpstreamState::Ready,
            cold_remaining: Duration::ZERO,
            started_ms: 1,
            models: Vec::new(),
        };
        let tag = u32::try_from(engine).unwrap_or(u32::MAX);
        self.intake.upstreams.upsert(now, &upstream, &domain, tag);
    }

    /// Tells the entry which engines it fills.
    pub fn set_owners(&mut self, entry: usize, entries: usize, domains: usize) {
        let party = |e| EntryDemand {
            vm: vm(e),
            region: domain_name(e % domains),
            demand: 1,
        };
        let entries: Vec<EntryDemand> = (0..entries).map(party).collect();
        let seats = self.intake.upstreams.iter();
        let upstreams: Vec<_> = seats.map(|s| (s.tag, s.region.clone())).collect();
        let shares = UpstreamOwners::new(&entries, &upstreams);
        self.intake.upstreams.set_owners(&shares, &vm(entry));
    }

    fn seat(&mut self, engine: usize) -> Option<&mut PooledUpstream> {
        self.intake.upstreams.get_mut(&id(engine))
    }
}

fn id(engine: usize) -> UpstreamId {
    format_compact!("{engine}")
}

fn vm(entry: usize) -> domain::VmId {
    format_compact!("entry-{entry:03}")
}

fn domain_name(domain: usize) -> domain::FailureDomainId {
    format_compact!("d{domain}")
}

fn number(id: &str) -> usize {
    // Ids come from `id` above.
    id.parse().unwrap_or(0)
}

impl Policy for ProductionPolicy {
    fn submit(&mut self, now: Moment, request: &Request) -> Decision {
        let kind = kinds()[request.kind];
        let patience = request.deadline.saturating_sub(now);
        let (first, objective) = match self.objectives {
            true => (
                self.returners.estimate(kind.name, now, patience),
                kind.target_latency,
            ),
            false => (now, NO_OBJECTIVE),
        };
        let applicant = IncomingRequest {
            id: request.id,
            priority: 1,
            first_attempt: first,
            target_latency: objective,
            deadline: request.deadline,
            needs: Requirements {
                prompt_tokens: request.prompt,
                output_tokens: Some(request.expected_tokens),
                ..Requirements::default()
            },
        };
        match self.intake.submit(now, applicant, |_| false) {
            Placement::Assigned(seating) => Decision::Assigned(number(&seating.upstream)),
            Placement::Queued => Decision::Queued,
            Placement::Refused(wait) => Decision::Refused(wait),
        }
    }

    fn assign_queued(&mut self, now: Moment) -> Vec<(u64, usize)> {
        let seated = self.intake.assign_queued(now, |_| false);
        seated.iter().map(|s| (s.id, number(&s.upstream))).collect()
    }

    fn expire(&mut self, now: Moment) -> Vec<(u64, Duration)> {
        let gone = self.intake.expire(now);
        let room = &self.intake.queue;
        gone.iter().map(|id| (*id, room.retry_after(now))).collect()
    }

    fn remove(&mut self, id: u64) {
        self.intake.queue.remove(id);
    }

    fn record_first_token(&mut self, engine: usize, request: &Request) {
        if let Some(seat) = self.seat(engine) {
            seat.record_prefill(request.prompt);
        }
    }

    fn record_end(&mut self, engine: usize, request: &Request, read: bool) {
        if let Some(seat) = self.seat(engine) {
            if read {
                seat.record_success();
            } else {
                seat.record_prefill(request.prompt);
            }
            seat.record_end();
        }
    }

    fn record_full(&mut self, now: Moment, engine: usize, request: &Request) {
        if let Some(seat) = self.seat(engine) {
            seat.record_full(now);
        }
        self.record_end(engine, request, false);
    }

    fn loads(&self) -> Vec<(usize, UpstreamLoad)> {
        let busy = self.intake.upstreams.iter().filter(|s| s.own.requests > 0);
        busy.map(|s| (number(&s.upstream.id), s.own)).collect()
    }

    fn record_peer_loads(&mut self, from: usize, loads: &[(usize, UpstreamLoad)]) {
        self.heard.insert(from, loads.to_vec());
        for seat in self.intake.upstreams.iter_mut() {
            let engine = number(&seat.upstream.id);
            let told = self.heard.values().flatten().filter(|(e, _)| *e == engine);
            seat.others = told.fold(UpstreamLoad::default(), |a, (_, b)| UpstreamLoad {
                requests: a.requests + b.requests,
                prefill_tokens: a.prefill_tokens + b.prefill_tokens,
            });
        }
    }

    fn update_engine(&mut self, _now: Moment, engine: usize, word: EngineState) {
        if let EngineState::Removed = word {
            self.intake.upstreams.remove(&id(engine));
            return;
        }
        if let Some(seat) = self.seat(engine) {
            seat.switching = word == EngineState::Closed;
            seat.closes_at = match word {
                EngineState::ClosesAt(at) => Some(at),
                EngineState::Open | EngineState::Closed | EngineState::Removed => None,
            };
        }
    }
}
