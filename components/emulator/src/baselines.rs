use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use dispatch::UpstreamLoad;
use domain::Moment;

use crate::{Decision, EngineState, Policy, Request};

/// Advice of the baselines to callers that are refused: a second, as many
/// servers are set up to tell.
const ADVICE: Duration = Duration::from_secs(1);

/// What the baselines know of the engines.
#[derive(Debug, Default)]
struct Engines {
    slots: u32,
    /// Own and others' requests in flight; closed engines are left out.
    open: BTreeMap<usize, u32>,
    own: BTreeMap<usize, u32>,
    others: BTreeMap<usize, BTreeMap<usize, u32>>,
}

impl Engines {
    fn new(slots: u32) -> Self {
        Engines {
            slots,
            ..Engines::default()
        }
    }

    fn load(&self, engine: usize) -> u32 {
        let own = self.own.get(&engine).copied().unwrap_or(0);
        let others = self.others.values().filter_map(|o| o.get(&engine));
        own + others.sum::<u32>()
    }

    /// The open engine with the fewest requests.
    fn least(&self) -> Option<(usize, u32)> {
        let loads = self.open.keys().map(|e| (*e, self.load(*e)));
        loads.min_by_key(|(_, load)| (*load, fastrand::u32(..)))
    }

    fn begin(&mut self, engine: usize) {
        *self.own.entry(engine).or_default() += 1;
    }

    fn end(&mut self, engine: usize) {
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

    fn word(&mut self, engine: usize, word: EngineState) {
        match word {
            EngineState::Open | EngineState::ClosesAt(_) => {
                self.open.insert(engine, 0);
            }
            EngineState::Closed | EngineState::Removed => {
                self.open.remove(&engine);
            }
        }
    }
}

/// The parts of a policy that are the same for all baselines.
macro_rules! engine_state {
    () => {
        fn record_end(&mut self, engine: usize, _request: &Request, _read: bool) {
            self.engines.end(engine);
        }

        fn record_full(&mut self, _now: Moment, engine: usize, _request: &Request) {
            self.engines.end(engine);
        }

        fn loads(&self) -> Vec<(usize, UpstreamLoad)> {
            self.engines.loads()
        }

        fn record_peer_loads(&mut self, from: usize, loads: &[(usize, UpstreamLoad)]) {
            self.engines.record_peer_loads(from, loads);
        }

        fn update_engine(&mut self, _now: Moment, engine: usize, word: EngineState) {
            self.engines.word(engine, word);
        }
    };
}

/// First come, first served, in a queue without end.
pub struct FirstCome {
    engines: Engines,
    queue: VecDeque<u64>,
}

impl FirstCome {
    /// An entry before engines with so many slots.
    pub fn new(slots: u32) -> Self {
        FirstCome {
            engines: Engines::new(slots),
            queue: VecDeque::new(),
        }
    }

    fn free(&mut self) -> Option<usize> {
        let (engine, load) = self.engines.least()?;
        let free = load < self.engines.slots;
        free.then(|| self.engines.begin(engine)).map(|()| engine)
    }
}

impl Policy for FirstCome {
    fn submit(&mut self, _now: Moment, request: &Request) -> Decision {
        if self.queue.is_empty()
            && let Some(engine) = self.free()
        {
            return Decision::Assigned(engine);
        }
        self.queue.push_back(request.id);
        Decision::Queued
    }

    fn assign_queued(&mut self, _now: Moment) -> Vec<(u64, usize)> {
        let mut placed = Vec::new();
        while !self.queue.is_empty() {
            let Some(engine) = self.free() else { break };
            placed.extend(self.queue.pop_front().map(|id| (id, engine)));
        }
        placed
    }

    fn remove(&mut self, id: u64) {
        self.queue.retain(|q| *q != id);
    }

    engine_state!();
}

/// Engines in turn.
pub struct RoundRobin {
    engines: Engines,
    next: usize,
}

impl RoundRobin {
    /// An entry before engines with so many slots, that begins with engine `next`.
    pub fn new(slots: u32, next: usize) -> Self {
        RoundRobin {
            engines: Engines::new(slots),
            next,
        }
    }
}

impl Policy for RoundRobin {
    fn submit(&mut self, _now: Moment, _request: &Request) -> Decision {
        let open: Vec<usize> = self.engines.open.keys().copied().collect();
        if open.is_empty() {
            return Decision::Refused(ADVICE);
        }
        self.next += 1;
        let engine = open[self.next % open.len()];
        self.engines.begin(engine);
        Decision::Assigned(engine)
    }

    engine_state!();
}

/// Least loaded engine, or a refusal when no slot is free.
pub struct RefuseFull {
    engines: Engines,
}

impl RefuseFull {
    /// An entry before engines with so many slots.
    pub fn new(slots: u32) -> Self {
        RefuseFull {
            engines: Engines::new(slots),
        }
    }
}

impl Policy for RefuseFull {
    fn submit(&mut self, _now: Moment, _request: &Request) -> Decision {
        match self.engines.least() {
            Some((engine, load)) if load < self.engines.slots => {
                self.engines.begin(engine);
                Decision::Assigned(engine)
            }
            _ => Decision::Refused(ADVICE),
        }
    }

    engine_state!();
}
