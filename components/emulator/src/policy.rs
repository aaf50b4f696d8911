use std::time::Duration;

use dispatch::UpstreamLoad;
use domain::{EngineSpec, Moment};

use crate::{FirstCome, FleetSize, ProductionPolicy, RefuseFull, Request, RoundRobin};

/// What an entry does with a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Decision {
    /// It goes to this engine.
    Assigned(usize),
    /// It waits at the entry.
    Queued,
    /// It is refused and may come back after this time.
    Refused(Duration),
}

/// What an entry hears of an engine.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum EngineState {
    /// It serves.
    Open,
    /// It takes nothing new for now.
    Closed,
    /// It takes nothing new from this moment on.
    ClosesAt(Moment),
    /// It is gone.
    Removed,
}

/// The decisions of one entry, as the emulator drives them. What has a body here
/// is that of a policy without a queue.
pub trait Policy {
    /// A request arrives.
    fn submit(&mut self, now: Moment, request: &Request) -> Decision;
    /// Waiting requests that have a place now, with their engines.
    fn assign_queued(&mut self, _now: Moment) -> Vec<(u64, usize)> {
        Vec::new()
    }
    /// Waiting requests that are given up now, each with its advice.
    fn expire(&mut self, _now: Moment) -> Vec<(u64, Duration)> {
        Vec::new()
    }
    /// A waiting request's caller has left.
    fn remove(&mut self, _id: u64) {}
    /// An engine has written the first token of a request.
    fn record_first_token(&mut self, _engine: usize, _request: &Request) {}
    /// A request has ended; `read` tells whether it had begun.
    fn record_end(&mut self, engine: usize, request: &Request, read: bool);
    /// An engine has refused a request.
    fn record_full(&mut self, now: Moment, engine: usize, request: &Request);
    /// What this entry has in flight, for the others.
    fn loads(&self) -> Vec<(usize, UpstreamLoad)>;
    /// What another entry has in flight.
    fn record_peer_loads(&mut self, from: usize, loads: &[(usize, UpstreamLoad)]);
    /// News of an engine.
    fn update_engine(&mut self, now: Moment, engine: usize, word: EngineState);
}

/// A policy that can be tried.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PolicyName {
    /// What runs in production.
    Production,
    /// The same with an order that knows nothing of objectives: everybody counts
    /// as being on time.
    NoObjectives,
    /// One queue without end, least loaded engine with a free slot.
    FirstCome,
    /// Engines in turn, whatever their load.
    RoundRobin,
    /// Least loaded engine; refused when no slot is free.
    RefuseFull,
}

impl PolicyName {
    /// All policies.
    pub const ALL: [PolicyName; 5] = [
        PolicyName::Production,
        PolicyName::NoObjectives,
        PolicyName::FirstCome,
        PolicyName::RoundRobin,
        PolicyName::RefuseFull,
    ];

    /// Name on the command line and in reports.
    pub fn name(self) -> &'static str {
        match self {
            PolicyName::Production => "ours",
            PolicyName::NoObjectives => "no-objectives",
            PolicyName::FirstCome => "first-come",
            PolicyName::RoundRobin => "round-robin",
            PolicyName::RefuseFull => "refuse-full",
        }
    }
}

/// The decisions of one entry of a fleet.
pub(crate) fn policy_of(
    policy: PolicyName,
    entry: usize,
    scale: FleetSize,
    spec: &EngineSpec,
) -> Box<dyn Policy> {
    let ours = |objectives| {
        let entries = u32::try_from(scale.entries).unwrap_or(u32::MAX);
        let domain = entry % scale.domains;
        let mut ours = ProductionPolicy::new(domain, entries, spec, objectives);
        for engine in 0..scale.engines + scale.engines / 2 {
            let now = Duration::from_secs(1000);
            ours.add_engine(now, engine, engine % scale.domains, spec.slots);
            // Those that join later are closed until they hold the weights.
            if engine >= scale.engines {
                ours.update_engine(now, engine, EngineState::Closed);
            }
        }
        ours.set_owners(entry, scale.entries, scale.domains);
        Box::new(ours)
    };
    match policy {
        PolicyName::Production => ours(true),
        PolicyName::NoObjectives => ours(false),
        PolicyName::FirstCome => Box::new(FirstCome::new(spec.slots)),
        PolicyName::RoundRobin => Box::new(RoundRobin::new(spec.slots, entry * 3)),
        PolicyName::RefuseFull => Box::new(RefuseFull::new(spec.slots)),
    }
}
