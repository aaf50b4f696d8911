use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};
use std::time::Duration;

use dispatch::UpstreamLoad;
use domain::{EngineSpec, Moment};
use fastrand::Rng;

use crate::kind::random_request;
use crate::pattern::{EVENT_END, EVENT_START, LOAD_DURATION};
use crate::policy::create_policy;
use crate::report::Ended;
use crate::{
    CallOutcome, Decision, Engine, EngineEvent, EngineState, Pattern, Policy, PolicyName, Report,
    Request, engine_spec, kinds,
};

/// One way between any two processes.
const WAY: Duration = Duration::from_millis(2);
/// Pause between two notices of an entry, as in production.
const NOTICE_PAUSE: Duration = Duration::from_millis(60);
/// Pause between two looks at a queue, as in production.
const TICK: Duration = Duration::from_millis(15);
/// Requests that an engine queues beyond its batch.
const QUEUE_LIMIT: usize = 24;
/// Usual load as a share of what the engines bear, as on the sites' calm days.
const USUAL: f64 = 0.72;
/// Requests a second that one engine bears; measured by `tests/engine.rs`.
pub(crate) const CAPACITY: f64 = 9.5;
/// Pause of a caller that comes back at once.
const AT_ONCE: Duration = Duration::from_millis(30);
/// Times that such a caller comes back; others do once.
const OFTEN: u32 = 4;
/// How soon early leavers leave.
const LEAVE_AFTER: Duration = Duration::from_millis(250);
/// Time until an added engine holds the weights.
const BRINGING: Duration = Duration::from_millis(3200);
/// Time of an engine for loading weights.
const LOADING: Duration = Duration::from_millis(300);
/// Notice before an engine is closed for a switch, as in production.
const NOTICE_TIME: Duration = Duration::from_millis(900);
/// Accounts, from the largest to the smallest.
const ACCOUNTS: usize = 10;

/// Size of an emulated fleet.
#[derive(Debug, Clone, Copy)]
pub struct FleetSize {
    /// Entries.
    pub entries: usize,
    /// Engines.
    pub engines: usize,
    /// Failure domains over which both are spread.
    pub domains: usize,
}

#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrive,
    Return(u64),
    Send(u64, usize, usize),
    Pass(usize, u64),
    Tick(usize),
    Notice(usize),
    GiveUp(u64),
    Word(usize, Step),
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Step {
    Crash,
    Open,
    Announce,
    Close,
}

/// An attempt under way.
struct Flight {
    request: Request,
    entry: usize,
    engine: Option<usize>,
    start: Option<Duration>,
}

/// A fleet under a load.
pub struct Emulation {
    pattern: Pattern,
    scale: FleetSize,
    spec: EngineSpec,
    rng: Rng,
    now: Moment,
    begin: Moment,
    events: BinaryHeap<Reverse<(Moment, u64, Event)>>,
    number: u64,
    engines: Vec<Engine>,
    /// Counts the lives of an engine, so that passes of a former one end nothing.
    lives: Vec<u64>,
    /// Engines that load weights once they are empty.
    loading: Vec<bool>,
    entries: Vec<Box<dyn Policy>>,
    flights: HashMap<u64, Flight>,
    returning: HashMap<u64, Request>,
    ended: Vec<Ended>,
}

impl Emulation {
    /// A fleet of this scale under a pattern, run by a policy.
    pub fn new(scale: FleetSize, pattern: Pattern, policy: PolicyName, seed: u64) -> Self {
        // Production decisions draw from the thread's generator.
        fastrand::seed(seed);
        let spec = engine_spec();
        let entry = |e| create_policy(policy, e, scale, &spec);
        let mut world = Emulation {
            pattern,
            scale,
            rng: Rng::with_seed(seed),
            now: Duration::from_secs(1000),
            begin: Duration::from_secs(1000),
            events: BinaryHeap::new(),
            number: 0,
            engines: Vec::new(),
            lives: Vec::new(),
            loading: Vec::new(),
            entries: (0..scale.entries).map(entry).collect(),
            flights: HashMap::new(),
            returning: HashMap::new(),
            ended: Vec::new(),
            spec,
        };
        world.prepare();
        world
    }

    fn prepare(&mut self) {
        for engine in 0..self.scale.engines {
            self.add_engine(engine);
            self.tell(engine, EngineState::Open);
        }
        for entry in 0..self.scale.entries {
            let offset = Duration::from_millis(self.rng.u64(0..60));
            self.after(offset, Event::Notice(entry));
            self.after(offset / 4, Event::Tick(entry));
        }
        self.after(Duration::ZERO, Event::Arrive);
        self.script();
    }

    fn script(&mut self) {
        let engines = self.scale.engines;
        match self.pattern {
            Pattern::Lost => {
                for engine in (0..engines).step_by(3) {
                    self.after(EVENT_START, Event::Word(engine, Step::Crash));
                    self.after(EVENT_END, Event::Word(engine, Step::Open));
                }
            }
            Pattern::DomainOut => {
                for engine in (0..engines).step_by(self.scale.domains) {
                    self.after(EVENT_START, Event::Word(engine, Step::Close));
                    self.after(EVENT_END, Event::Word(engine, Step::Open));
                }
            }
            Pattern::Joining => {
                for engine in engines..engines + engines / 2 {
                    self.add_engine(engine);
                    let stagger = Duration::from_millis(self.rng.u64(0..800));
                    let at = EVENT_START + BRINGING + stagger;
                    self.after(at, Event::Word(engine, Step::Open));
                }
            }
            Pattern::Switch => {
                let window = Duration::from_millis(3800);
                for engine in 0..engines {
                    let turn = (engine as f64 * 0.618).fract();
                    let at = EVENT_START + Duration::from_secs(3) + window.mul_f64(turn);
                    self.after(at - NOTICE_TIME, Event::Word(engine, Step::Announce));
                    self.after(at, Event::Word(engine, Step::Close));
                    self.loading[engine] = true;
                }
            }
            _ => {}
        }
    }

    fn add_engine(&mut self, engine: usize) {
        self.engines
            .push(Engine::new(self.spec.clone(), QUEUE_LIMIT));
        self.lives.push(0);
        self.loading.push(false);
        debug_assert_eq!(self.engines.len(), engine + 1);
    }

    fn tell(&mut self, engine: usize, word: EngineState) {
        for entry in &mut self.entries {
            entry.update_engine(self.now, engine, word);
        }
    }

    fn after(&mut self, delay: Duration, event: Event) {
        self.number += 1;
        let at = self.now + delay;
        self.events.push(Reverse((at, self.number, event)));
    }

    /// Runs until every request has ended; `progress` hears the share that is done.
    pub fn run(mut self, mut progress: impl FnMut(f64)) -> Report {
        let end = self.begin + LOAD_DURATION + Duration::from_secs(8);
        let mut told = 0.0;
        while let Some(Reverse((at, _, event))) = self.events.pop() {
            if at > end {
                break;
            }
            self.now = at;
            self.handle(event);
            let done = (at - self.begin).as_secs_f64() / (end - self.begin).as_secs_f64();
            if done > told + 0.05 {
                told = done;
                progress(done);
            }
        }
        let mut report = Report::of(&self.ended, LOAD_DURATION);
        report.preempted = self.engines.iter().map(|e| e.preempted).sum();
        report.pattern = self.pattern.name();
        report
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive => self.arrive(),
            Event::Return(id) => {
                if let Some(request) = self.returning.remove(&id) {
                    self.ask(request);
                }
            }
            Event::Send(id, entry, engine) => self.reach(id, entry, engine),
            Event::Pass(engine, life) => self.pass(engine, life),
            Event::Tick(entry) => self.tick(entry),
            Event::Notice(entry) => self.notice(entry),
            Event::GiveUp(id) => self.give_up(id),
            Event::Word(engine, step) => self.step(engine, step),
        }
    }

    fn arrive(&mut self) {
        let at = self.now - self.begin;
        if at >= LOAD_DURATION {
            return;
        }
        let usual = match self.pattern.scales_capacity() {
            true => 1.0,
            false => USUAL,
        };
        let rate = usual * CAPACITY * self.scale.engines as f64 * self.pattern.load_factor(at);
        let gap = -self.rng.f64().max(1e-12).ln() / rate;
        self.after(Duration::from_secs_f64(gap), Event::Arrive);
        let hot = at >= EVENT_START && at < EVENT_END && self.rng.f64() < self.pattern.hot_share();
        let account = match hot {
            true => 0,
            // A few accounts are large.
            false => (self.rng.f64().powi(2) * ACCOUNTS as f64) as usize,
        };
        self.number += 1;
        let mut new = random_request(&mut self.rng, self.number, self.now, account);
        new.impatient = self.rng.f64() < self.pattern.impatient_share();
        let leaves = self.rng.f64() < self.pattern.cancelling_share();
        new.cancel_after = leaves.then_some(LEAVE_AFTER);
        self.ask(new);
    }

    fn ask(&mut self, request: Request) {
        let entry = self.rng.usize(0..self.entries.len());
        let id = request.id;
        let leaves = request.cancel_after.map(|l| request.first_attempt + l);
        let until = leaves.unwrap_or(request.deadline).saturating_sub(self.now);
        self.after(until, Event::GiveUp(id));
        let given = self.entries[entry].submit(self.now, &request);
        let flight = Flight {
            request,
            entry,
            engine: None,
            start: None,
        };
        self.flights.insert(id, flight);
        match given {
            Decision::Assigned(engine) => self.after(WAY, Event::Send(id, entry, engine)),
            Decision::Queued => {}
            Decision::Refused(wait) => self.refuse(id, wait),
        }
    }

    fn refuse(&mut self, id: u64, wait: Duration) {
        let Some(flight) = self.flights.remove(&id) else {
            return;
        };
        let request = flight.request;
        let most = if request.impatient { OFTEN } else { 1 };
        let left = request.deadline.saturating_sub(self.now);
        if request.retries >= most || left.is_zero() {
            return self.end(request, CallOutcome::Refused, None);
        }
        let pause = match request.impatient {
            true => AT_ONCE,
            false => wait.min(left / 3),
        };
        self.number += 1;
        let again = Request {
            id: self.number,
            retries: request.retries + 1,
            ..request
        };
        let id = again.id;
        self.returning.insert(id, again);
        self.after(pause + WAY * 2, Event::Return(id));
    }

    fn reach(&mut self, id: u64, entry: usize, engine: usize) {
        let Some(flight) = self.flights.get_mut(&id) else {
            return;
        };
        let (prompt, output) = (flight.request.prompt, flight.request.output);
        if self.engines[engine].enqueue(id, prompt, output) {
            flight.engine = Some(engine);
            return self.wake(engine);
        }
        let request = flight.request.clone();
        self.entries[entry].record_full(self.now, engine, &request);
        // The entry looks for another place, once.
        match self.entries[entry].submit(self.now, &request) {
            Decision::Assigned(other) if other != engine => {
                self.after(WAY * 2, Event::Send(id, entry, other));
            }
            Decision::Assigned(same) => {
                self.entries[entry].record_end(same, &request, false);
                self.refuse(id, Duration::from_secs(1));
            }
            Decision::Queued => {}
            Decision::Refused(wait) => self.refuse(id, wait),
        }
    }

    fn wake(&mut self, engine: usize) {
        if !self.engines[engine].is_pass_running()
            && let Some(end) = self.engines[engine].start_pass(self.now)
        {
            let life = self.lives[engine];
            self.after(end - self.now, Event::Pass(engine, life));
        }
    }

    fn pass(&mut self, engine: usize, life: u64) {
        if life != self.lives[engine] {
            return;
        }
        for event in self.engines[engine].finish_pass() {
            match event {
                EngineEvent::FirstToken(id) => self.began(id, engine),
                EngineEvent::Completed(id) => self.done(id, engine),
            }
        }
        self.wake(engine);
        if self.loading[engine] && self.engines[engine].closed && self.engines[engine].is_idle() {
            self.loading[engine] = false;
            self.after(LOADING, Event::Word(engine, Step::Open));
        }
    }

    fn began(&mut self, id: u64, engine: usize) {
        let Some(flight) = self.flights.get_mut(&id) else {
            return;
        };
        let start = self.now + WAY * 2 - flight.request.first_attempt;
        flight.start = Some(start);
        let (entry, request) = (flight.entry, flight.request.clone());
        self.entries[entry].record_first_token(engine, &request);
        self.pump(entry);
    }

    fn done(&mut self, id: u64, engine: usize) {
        let Some(flight) = self.flights.remove(&id) else {
            return;
        };
        self.entries[flight.entry].record_end(engine, &flight.request, true);
        self.pump(flight.entry);
        let target_latency = kinds()[flight.request.kind].target_latency;
        let on_time = flight.start.is_some_and(|s| s <= target_latency);
        let ending = if on_time {
            CallOutcome::OnTime
        } else {
            CallOutcome::Late
        };
        self.end(flight.request, ending, flight.start);
    }

    fn end(&mut self, request: Request, ending: CallOutcome, start: Option<Duration>) {
        self.ended.push(Ended {
            request,
            ending,
            start,
        });
    }

    fn give_up(&mut self, id: u64) {
        let Some(flight) = self.flights.remove(&id) else {
            return;
        };
        match flight.engine {
            Some(engine) => {
                self.engines[engine].cancel(id);
                let begun = flight.start.is_some();
                self.entries[flight.entry].record_end(engine, &flight.request, begun);
                self.pump(flight.entry);
            }
            None => self.entries[flight.entry].remove(id),
        }
        let ending = match flight.request.cancel_after {
            Some(_) => CallOutcome::Cancelled,
            None => CallOutcome::Failed,
        };
        self.end(flight.request, ending, flight.start);
    }

    fn pump(&mut self, entry: usize) {
        for (id, engine) in self.entries[entry].assign_queued(self.now) {
            match self.flights.contains_key(&id) {
                true => self.after(WAY, Event::Send(id, entry, engine)),
                false => debug_assert!(false, "a request that has left was waiting"),
            }
        }
    }

    fn tick(&mut self, entry: usize) {
        self.after(TICK, Event::Tick(entry));
        for (id, wait) in self.entries[entry].expire(self.now) {
            self.refuse(id, wait);
        }
        self.pump(entry);
    }

    fn notice(&mut self, entry: usize) {
        self.after(NOTICE_PAUSE, Event::Notice(entry));
        let loads: Vec<(usize, UpstreamLoad)> = self.entries[entry].loads();
        for other in 0..self.entries.len() {
            if other != entry {
                self.entries[other].record_peer_loads(entry, &loads);
                self.pump(other);
            }
        }
    }

    fn step(&mut self, engine: usize, step: Step) {
        match step {
            Step::Crash => {
                self.lives[engine] += 1;
                self.engines[engine].closed = true;
                let lost = self.engines[engine].crash();
                self.tell(engine, EngineState::Closed);
                lost.into_iter().for_each(|id| self.lose(id, engine));
            }
            Step::Open => {
                self.engines[engine].closed = false;
                self.tell(engine, EngineState::Open);
                (0..self.entries.len()).for_each(|e| self.pump(e));
            }
            Step::Announce => {
                let at = self.now + NOTICE_TIME;
                self.tell(engine, EngineState::ClosesAt(at));
            }
            Step::Close => {
                self.engines[engine].closed = true;
                self.tell(engine, EngineState::Closed);
                if self.loading[engine] && self.engines[engine].is_idle() {
                    self.loading[engine] = false;
                    self.after(LOADING, Event::Word(engine, Step::Open));
                }
            }
        }
    }

    /// A request was lost with its engine; its stream goes on at another one if
    /// there is a place.
    fn lose(&mut self, id: u64, engine: usize) {
        let Some(flight) = self.flights.get_mut(&id) else {
            return;
        };
        let (entry, request) = (flight.entry, flight.request.clone());
        flight.engine = None;
        let begun = flight.start.is_some();
        self.entries[entry].record_end(engine, &request, begun);
        match self.entries[entry].submit(self.now, &request) {
            Decision::Assigned(other) => self.after(WAY, Event::Send(id, entry, other)),
            Decision::Queued => {}
            Decision::Refused(_) => {
                self.flights.remove(&id);
                self.end(request, CallOutcome::Failed, None);
            }
        }
    }
}
