use std::time::Duration;

use dispatch::UpstreamLoad;
use domain::{EngineSpec, Moment, Pace};

use crate::{FirstCome, FleetSize, ProductionPolicy, RefuseFull, Request, RoundRobin};

/// Decision of a policy about a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Decision {
    /// It goes to the engine of this index, whose load includes it already.
    Assigned(usize),
    /// It waits at the entry until it is assigned or expires.
    Queued,
    /// It is refused; the caller may retry after this time.
    Refused(Duration),
}

/// State of an engine, as it is reported to an entry.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum EngineState {
    /// It takes requests.
    Open,
    /// It takes no new requests for now.
    Closed,
    /// It takes no new requests from this moment on.
    ClosesAt(Moment),
    /// It was removed.
    Removed,
}

/// Scheduling policy of one entry. The default methods are those of a policy without
/// a queue.
pub trait Policy {
    /// Decides about a new request.
    fn submit(&mut self, now: Moment, request: &Request) -> Decision;
    /// Assigns queued requests to engines with free slots; returns their ids and engines.
    fn assign_queued(&mut self, _now: Moment) -> Vec<(u64, usize)> {
        Vec::new()
    }
    /// Removes queued requests that have waited too long; returns their ids and the
    /// times after which their callers should retry.
    fn expire(&mut self, _now: Moment) -> Vec<(u64, Duration)> {
        Vec::new()
    }
    /// Removes a queued request whose caller has given up.
    fn remove(&mut self, _id: u64) {}
    /// Records that an engine generated the first token of a request.
    fn record_first_token(&mut self, _now: Moment, _engine: usize, _request: &Request) {}
    /// Records the end of a request; `started` is whether its first token was generated.
    fn record_end(&mut self, engine: usize, request: &Request, started: bool);
    /// Records that an engine refused a request.
    fn record_full(&mut self, now: Moment, engine: usize, request: &Request);
    /// Load of each engine from this entry, to be sent to the other entries.
    fn loads(&self) -> Vec<(usize, UpstreamLoad)>;
    /// Records the loads of the entry `from`.
    fn record_peer_loads(&mut self, from: usize, loads: &[(usize, UpstreamLoad)]);
    /// Records the new state of an engine.
    fn update_engine(&mut self, now: Moment, engine: usize, state: EngineState);
    /// Records the pace that an engine stated.
    fn record_pace(&mut self, _now: Moment, _engine: usize, _pace: Pace) {}
}

/// A policy that can be emulated.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PolicyName {
    /// The scheduler that runs in production.
    Production,
    /// The same with a target latency as long as callers wait, so that every request
    /// counts as on time.
    NoObjectives,
    /// The scheduler that runs in production, without the pace that engines state.
    IgnorePace,
    /// The scheduler that runs in production, without regard to retained prompts.
    NoPrefixes,
    /// An unlimited queue; the least loaded engine with a free slot.
    FirstCome,
    /// Each engine in turn, regardless of its load.
    RoundRobin,
    /// The least loaded engine; refuses a request when no slot is free.
    RefuseFull,
}

impl PolicyName {
    /// All policies, in the order of reports.
    pub const ALL: [PolicyName; 7] = [
        PolicyName::Production,
        PolicyName::NoObjectives,
        PolicyName::IgnorePace,
        PolicyName::NoPrefixes,
        PolicyName::FirstCome,
        PolicyName::RoundRobin,
        PolicyName::RefuseFull,
    ];

    /// Name on the command line and in reports.
    pub fn name(self) -> &'static str {
        match self {
            PolicyName::Production => "ours",
            PolicyName::NoObjectives => "no-objectives",
            PolicyName::IgnorePace => "ignore-pace",
            PolicyName::NoPrefixes => "no-prefixes",
            PolicyName::FirstCome => "first-come",
            PolicyName::RoundRobin => "round-robin",
            PolicyName::RefuseFull => "refuse-full",
        }
    }
}

/// Creates the policy of one entry of a fleet.
pub(crate) fn create_policy(
    policy: PolicyName,
    entry: usize,
    size: FleetSize,
    spec: &EngineSpec,
) -> Box<dyn Policy> {
    let production = |use_targets, use_pace, spec: &EngineSpec| {
        let entries = u32::try_from(size.entries).unwrap_or(u32::MAX);
        let domain = entry % size.domains;
        let mut policy = ProductionPolicy::new(domain, entries, spec, use_targets);
        policy.use_pace = use_pace;
        for engine in 0..size.engines + size.engines / 2 {
            let now = Duration::from_secs(1000);
            policy.add_engine(now, engine, engine % size.domains, spec.slots);
            // Engines that join later are closed until they have loaded the weights.
            if engine >= size.engines {
                policy.update_engine(now, engine, EngineState::Closed);
            }
        }
        policy.set_owners(entry, size.entries, size.domains);
        Box::new(policy)
    };
    match policy {
        PolicyName::Production => production(true, true, spec),
        PolicyName::NoObjectives => production(false, true, spec),
        PolicyName::IgnorePace => production(true, false, spec),
        PolicyName::NoPrefixes => {
            let spec = EngineSpec {
                prompt_cache: 0,
                ..spec.clone()
            };
            production(true, true, &spec)
        }
        PolicyName::FirstCome => Box::new(FirstCome::new(spec.slots)),
        PolicyName::RoundRobin => Box::new(RoundRobin::new(spec.slots, entry * 3)),
        PolicyName::RefuseFull => Box::new(RefuseFull::new(spec.slots)),
    }
}
