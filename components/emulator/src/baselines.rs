use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use dispatch::UpstreamLoad;
use domain::Moment;

use crate::{Decision, EngineState, Policy, Request};

/// Retry time that the baselines advise when they refuse a request, a common setting
/// of servers.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// States and loads of the engines, as a baseline records them.
#[derive(Debug, Default)]
struct EngineLoads {
    slots: u32,
    /// Open engines; the value is not used.
    open: BTreeMap<usize, u32>,
    /// Requests in flight from this entry, by engine.
    own: BTreeMap<usize, u32>,
    /// Requests in flight from other entries, by entry and engine.
    others: BTreeMap<usize, BTreeMap<usize, u32>>,
}

impl EngineLoads {
    fn new(slots: u32) -> Self {
        EngineLoads {
            slots,
            ..EngineLoads::default()
        }
    }

    fn load(&self, engine: usize) -> u32 {
        let own = self.own.get(&engine).copied().unwrap_or(0);
        let others = self.others.values().filter_map(|o| o.get(&engine));
        own + others.sum::<u32>()
    }

    /// The open engine with the fewest requests in flight, and their number.
    fn least_loaded(&self) -> Option<(usize, u32)> {
        let loads = self.open.keys().map(|e| (*e, self.load(*e)));
        loads.min_by_key(|(_, load)| (*load, fastrand::u32(..)))
    }

    fn record_start(&mut self, engine: usize) {
        *self.own.entry(engine).or_default() += 1;
    }

    fn record_end(&mut self, engine: usize) {
        if let Some(own) = self.own.get_mut(&engine) {
            *own = own.saturating_sub(1);
        }
    }

    fn loads(&self) -> Vec<(usize, UpstreamLoad)> {
        let load = |(e, n): (&usize, &u32)| {
            let load = UpstreamLoad {
                requests: *n,
                prefill_tokens: 0,
            };
            (*e, load)
        };
        self.own.iter().map(load).collect()
    }

    fn record_peer_loads(&mut self, from: usize, loads: &[(usize, UpstreamLoad)]) {
        let loads = loads.iter().map(|(e, l)| (*e, l.requests)).collect();
        self.others.insert(from, loads);
    }

    fn update_engine(&mut self, engine: usize, state: EngineState) {
        match state {
            EngineState::Open | EngineState::ClosesAt(_) => {
                self.open.insert(engine, 0);
            }
            EngineState::Closed | EngineState::Removed => {
                self.open.remove(&engine);
            }
        }
    }
}

/// The methods of `Policy` that are the same for all baselines.
macro_rules! shared_methods {
    () => {
        fn record_end(&mut self, engine: usize, _request: &Request, _started: bool) {
            self.engines.record_end(engine);
        }

        fn record_full(&mut self, _now: Moment, engine: usize, _request: &Request) {
            self.engines.record_end(engine);
        }

        fn loads(&self) -> Vec<(usize, UpstreamLoad)> {
            self.engines.loads()
        }

        fn record_peer_loads(&mut self, from: usize, loads: &[(usize, UpstreamLoad)]) {
            self.engines.record_peer_loads(from, loads);
        }

        fn update_engine(&mut self, _now: Moment, engine: usize, state: EngineState) {
            self.engines.update_engine(engine, state);
        }
    };
}

/// First come, first served, with an unlimited queue.
pub struct FirstCome {
    engines: EngineLoads,
    queue: VecDeque<u64>,
}

impl FirstCome {
    /// An entry whose engines have `slots` slots each.
    pub fn new(slots: u32) -> Self {
        FirstCome {
            engines: EngineLoads::new(slots),
            queue: VecDeque::new(),
        }
    }

    /// Assigns a request to the least loaded engine if it has a free slot.
    fn assign(&mut self) -> Option<usize> {
        let (engine, load) = self.engines.least_loaded()?;
        let free = load < self.engines.slots;
        free.then(|| self.engines.record_start(engine))
            .map(|()| engine)
    }
}

impl Policy for FirstCome {
    fn submit(&mut self, _now: Moment, request: &Request) -> Decision {
        if self.queue.is_empty()
            && let Some(engine) = self.assign()
        {
            return Decision::Assigned(engine);
        }
        self.queue.push_back(request.id);
        Decision::Queued
    }

    fn assign_queued(&mut self, _now: Moment) -> Vec<(u64, usize)> {
        let mut assigned = Vec::new();
        while !self.queue.is_empty() {
            let Some(engine) = self.assign() else { break };
            assigned.extend(self.queue.pop_front().map(|id| (id, engine)));
        }
        assigned
    }

    fn remove(&mut self, id: u64) {
        self.queue.retain(|queued| *queued != id);
    }

    shared_methods!();
}

/// Each engine in turn.
pub struct RoundRobin {
    engines: EngineLoads,
    next: usize,
}

impl RoundRobin {
    /// An entry whose engines have `slots` slots each; `next` determines the engine that
    /// it starts with.
    pub fn new(slots: u32, next: usize) -> Self {
        RoundRobin {
            engines: EngineLoads::new(slots),
            next,
        }
    }
}

impl Policy for RoundRobin {
    fn submit(&mut self, _now: Moment, _request: &Request) -> Decision {
        let open: Vec<usize> = self.engines.open.keys().copied().collect();
        if open.is_empty() {
            return Decision::Refused(RETRY_AFTER);
        }
        self.next += 1;
        let engine = open[self.next % open.len()];
        self.engines.record_start(engine);
        Decision::Assigned(engine)
    }

    shared_methods!();
}

/// The least loaded engine; refuses a request when no slot is free.
pub struct RefuseFull {
    engines: EngineLoads,
}

impl RefuseFull {
    /// An entry whose engines have `slots` slots each.
    pub fn new(slots: u32) -> Self {
        RefuseFull {
            engines: EngineLoads::new(slots),
        }
    }
}

impl Policy for RefuseFull {
    fn submit(&mut self, _now: Moment, _request: &Request) -> Decision {
        match self.engines.least_loaded() {
            Some((engine, load)) if load < self.engines.slots => {
                self.engines.record_start(engine);
                Decision::Assigned(engine)
            }
            _ => Decision::Refused(RETRY_AFTER),
        }
    }

    shared_methods!();
}
