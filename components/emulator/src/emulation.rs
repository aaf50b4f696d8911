use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};
use std::time::Duration;

use dispatch::UpstreamLoad;
use domain::{EngineSpec, Moment, Pace};
use fastrand::Rng;

use crate::kind::{random_request, share_prompt};
use crate::pattern::{EVENT_END, EVENT_START, LOAD_DURATION};
use crate::policy::create_policy;
use crate::report::FinishedCall;
use crate::{
    CallOutcome, Decision, Engine, EngineEvent, EngineState, Pattern, Policy, PolicyName, Report,
    Request, engine_spec, kinds,
};

/// Network delay in one direction between any two processes.
const NETWORK_DELAY: Duration = Duration::from_millis(2);
/// Interval between two notices of an entry's loads, as in production.
const NOTICE_INTERVAL: Duration = Duration::from_millis(60);
/// Interval between two checks of an entry's queue, as in production.
const QUEUE_INTERVAL: Duration = Duration::from_millis(15);
/// Most requests in the queue of an engine, beyond its batch.
const QUEUE_LIMIT: usize = 24;
/// Base load as a share of the engines' capacity, as on calm days at the users' sites.
const BASE_LOAD: f64 = 0.72;
/// Capacity of an engine in requests per second; `tests/engine.rs` checks its range.
pub(crate) const ENGINE_CAPACITY: f64 = 9.5;
/// Time after which an impatient caller retries.
const IMPATIENT_RETRY: Duration = Duration::from_millis(30);
/// Most retries of an impatient caller; other callers retry once.
const IMPATIENT_RETRIES: u32 = 4;
/// Time after which callers that cancel early do so.
const CANCEL_AFTER: Duration = Duration::from_millis(250);
/// Time until an added engine has its weights.
const JOIN_TIME: Duration = Duration::from_millis(3200);
/// Time in which an engine loads a new weight version.
const LOAD_TIME: Duration = Duration::from_millis(300);
/// Time from the announcement of a switch until the engine is closed, as in production.
const SWITCH_NOTICE: Duration = Duration::from_millis(900);
/// Length of a slow stretch of an engine.
const SLOW_TIME: Duration = Duration::from_millis(600);
/// Pace during a slow stretch, in percent of the usual time.
const SLOW_PERCENT: u16 = 250;
/// Interval between two reads of an engine's pace, as in production.
const PACE_INTERVAL: Duration = Duration::from_millis(150);
/// Number of parts that prompts share.
const SHARED_PARTS: u32 = 20;
/// Prompt tokens that an engine retains when prompts share parts: fewer than all parts of
/// 4,000 tokens have.
const PROMPT_CACHE: u32 = 60_000;
/// Number of accounts; account 0 sends the most requests, the last one the fewest.
const ACCOUNTS: usize = 10;

/// Size of an emulated fleet.
#[derive(Debug, Clone, Copy)]
pub struct FleetSize {
    /// Number of entries.
    pub entries: usize,
    /// Number of engines.
    pub engines: usize,
    /// Number of failure domains, over which both are spread.
    pub domains: usize,
}

#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    /// A new request arrives.
    Arrive,
    /// A caller retries a refused request.
    Retry(u64),
    /// A request from an entry reaches an engine.
    Deliver(u64, usize, usize),
    /// A pass of this engine and incarnation ends.
    PassEnd(usize, u64),
    /// An entry checks its queue.
    CheckQueue(usize),
    /// An entry sends its loads to the others.
    Notice(usize),
    /// A caller's timeout ends, or it cancels its request.
    GiveUp(u64),
    /// The slow stretch of an engine ends, and that of another one begins.
    SlowNext(Option<usize>),
    /// The entries learn of the pace of an engine if it has changed since they last did.
    ReadPace(usize, Pace),
    /// The state of an engine changes.
    Change(usize, EngineChange),
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum EngineChange {
    Crash,
    Open,
    /// It announces when it closes for a switch.
    AnnounceSwitch,
    Close,
}

/// An attempt that is queued at an entry or under way at an engine.
struct Attempt {
    request: Request,
    entry: usize,
    engine: Option<usize>,
    /// Time from the first attempt to the first token.
    first_token: Option<Duration>,
}

/// A fleet under a load pattern.
pub struct Emulation {
    pattern: Pattern,
    size: FleetSize,
    spec: EngineSpec,
    rng: Rng,
    now: Moment,
    start: Moment,
    events: BinaryHeap<Reverse<(Moment, u64, Event)>>,
    /// Last number given to an event or a request.
    last_number: u64,
    engines: Vec<Engine>,
    /// Incarnation of each engine: the end of a pass from before a crash is ignored.
    incarnations: Vec<u64>,
    /// Whether each engine is to load weights once it is idle.
    load_pending: Vec<bool>,
    entries: Vec<Box<dyn Policy>>,
    attempts: HashMap<u64, Attempt>,
    /// Refused requests whose callers are about to retry.
    retrying: HashMap<u64, Request>,
    finished: Vec<FinishedCall>,
}

impl Emulation {
    /// A fleet of this size whose entries use `policy`, under `pattern`.
    pub fn new(size: FleetSize, pattern: Pattern, policy: PolicyName, seed: u64) -> Self {
        // The production scheduler uses the random generator of the thread.
        fastrand::seed(seed);
        let prompt_cache = match pattern.shared_tokens() {
            Some(_) => PROMPT_CACHE,
            None => 0,
        };
        let spec = EngineSpec {
            prompt_cache,
            ..engine_spec()
        };
        let entry = |e| create_policy(policy, e, size, &spec);
        let mut emulation = Emulation {
            pattern,
            size,
            rng: Rng::with_seed(seed),
            now: Duration::from_secs(1000),
            start: Duration::from_secs(1000),
            events: BinaryHeap::new(),
            last_number: 0,
            engines: Vec::new(),
            incarnations: Vec::new(),
            load_pending: Vec::new(),
            entries: (0..size.entries).map(entry).collect(),
            attempts: HashMap::new(),
            retrying: HashMap::new(),
            finished: Vec::new(),
            spec,
        };
        emulation.schedule_start();
        emulation
    }

    fn schedule_start(&mut self) {
        for engine in 0..self.size.engines {
            self.add_engine(engine);
            self.notify_entries(engine, EngineState::Open);
        }
        for entry in 0..self.size.entries {
            let offset = Duration::from_millis(self.rng.u64(0..60));
            self.schedule(offset, Event::Notice(entry));
            self.schedule(offset / 4, Event::CheckQueue(entry));
        }
        self.schedule(Duration::ZERO, Event::Arrive);
        self.schedule_pattern();
    }

    fn schedule_pattern(&mut self) {
        let engines = self.size.engines;
        let slow = (engines as f64 * self.pattern.slow_share()).round() as usize;
        for _ in 0..slow {
            let offset = self.random_time(SLOW_TIME);
            self.schedule(offset, Event::SlowNext(None));
        }
        for engine in 0..if slow > 0 { engines } else { 0 } {
            let offset = self.random_time(PACE_INTERVAL);
            self.schedule(offset, Event::ReadPace(engine, Pace::USUAL));
        }
        match self.pattern {
            Pattern::Lost => {
                for engine in (0..engines).step_by(3) {
                    self.schedule(EVENT_START, Event::Change(engine, EngineChange::Crash));
                    self.schedule(EVENT_END, Event::Change(engine, EngineChange::Open));
                }
            }
            Pattern::DomainOut => {
                for engine in (0..engines).step_by(self.size.domains) {
                    self.schedule(EVENT_START, Event::Change(engine, EngineChange::Close));
                    self.schedule(EVENT_END, Event::Change(engine, EngineChange::Open));
                }
            }
            Pattern::Joining => {
                for engine in engines..engines + engines / 2 {
                    self.add_engine(engine);
                    let stagger = Duration::from_millis(self.rng.u64(0..800));
                    let at = EVENT_START + JOIN_TIME + stagger;
                    self.schedule(at, Event::Change(engine, EngineChange::Open));
                }
            }
            Pattern::Switch => {
                let window = Duration::from_millis(3800);
                for engine in 0..engines {
                    let fraction = (engine as f64 * 0.618).fract();
                    let at = EVENT_START + Duration::from_secs(3) + window.mul_f64(fraction);
                    self.schedule(
                        at - SWITCH_NOTICE,
                        Event::Change(engine, EngineChange::AnnounceSwitch),
                    );
                    self.schedule(at, Event::Change(engine, EngineChange::Close));
                    self.load_pending[engine] = true;
                }
            }
            _ => {}
        }
    }

    fn random_time(&mut self, limit: Duration) -> Duration {
        limit.mul_f64(self.rng.f64())
    }

    fn slow_next(&mut self, previous: Option<usize>) {
        let Ok(slow) = Pace::try_from(SLOW_PERCENT) else {
            return;
        };
        let usual = (0..self.size.engines).filter(|e| self.engines[*e].pace == Pace::USUAL);
        let usual: Vec<usize> = usual.collect();
        if let Some(previous) = previous {
            self.engines[previous].pace = Pace::USUAL;
        }
        let next = usual.get(self.rng.usize(0..usual.len().max(1))).copied();
        if let Some(next) = next {
            self.engines[next].pace = slow;
        }
        self.schedule(SLOW_TIME, Event::SlowNext(next));
    }

    fn read_pace(&mut self, engine: usize, known: Pace) {
        let pace = self.engines[engine].pace;
        if pace != known {
            for entry in &mut self.entries {
                entry.record_pace(self.now, engine, pace);
            }
        }
        self.schedule(PACE_INTERVAL, Event::ReadPace(engine, pace));
    }

    fn add_engine(&mut self, engine: usize) {
        self.engines
            .push(Engine::new(self.spec.clone(), QUEUE_LIMIT));
        self.incarnations.push(0);
        self.load_pending.push(false);
        debug_assert_eq!(self.engines.len(), engine + 1);
    }

    fn notify_entries(&mut self, engine: usize, state: EngineState) {
        for entry in &mut self.entries {
            entry.update_engine(self.now, engine, state);
        }
    }

    fn schedule(&mut self, delay: Duration, event: Event) {
        self.last_number += 1;
        let at = self.now + delay;
        self.events.push(Reverse((at, self.last_number, event)));
    }

    /// Runs until all requests have ended; calls `progress` with the fraction done, from
    /// 0 to 1.
    pub fn run(mut self, mut progress: impl FnMut(f64)) -> Report {
        let end = self.start + LOAD_DURATION + Duration::from_secs(8);
        let mut reported = 0.0;
        while let Some(Reverse((at, _, event))) = self.events.pop() {
            if at > end {
                break;
            }
            self.now = at;
            self.handle(event);
            let fraction = (at - self.start).as_secs_f64() / (end - self.start).as_secs_f64();
            if fraction > reported + 0.05 {
                reported = fraction;
                progress(fraction);
            }
        }
        let mut report = Report::new(&self.finished, LOAD_DURATION, self.pattern.kinds());
        report.preempted = self.engines.iter().map(|e| e.preempted).sum();
        let tokens = self.engines.iter().map(|e| e.prompt_tokens);
        let (all, held) = tokens.fold((0, 0), |sum, t| (sum.0 + t.0, sum.1 + t.1));
        report.held = held as f64 / all.max(1) as f64;
        report.pattern = self.pattern.name();
        report
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive => self.arrive(),
            Event::Retry(id) => {
                if let Some(request) = self.retrying.remove(&id) {
                    self.submit(request);
                }
            }
            Event::Deliver(id, entry, engine) => self.deliver(id, entry, engine),
            Event::PassEnd(engine, incarnation) => self.finish_pass(engine, incarnation),
            Event::CheckQueue(entry) => self.check_queue(entry),
            Event::Notice(entry) => self.send_notice(entry),
            Event::GiveUp(id) => self.give_up(id),
            Event::SlowNext(previous) => self.slow_next(previous),
            Event::ReadPace(engine, known) => self.read_pace(engine, known),
            Event::Change(engine, change) => self.change_engine(engine, change),
        }
    }

    fn arrive(&mut self) {
        let at = self.now - self.start;
        if at >= LOAD_DURATION {
            return;
        }
        let base = match self.pattern.scales_capacity() {
            true => 1.0,
            false => BASE_LOAD,
        };
        let rate = base * ENGINE_CAPACITY * self.size.engines as f64 * self.pattern.load_factor(at);
        let gap = -self.rng.f64().max(1e-12).ln() / rate;
        self.schedule(Duration::from_secs_f64(gap), Event::Arrive);
        let hot = at >= EVENT_START && at < EVENT_END && self.rng.f64() < self.pattern.hot_share();
        let account = match hot {
            true => 0,
            // Squaring makes a few accounts large.
            false => (self.rng.f64().powi(2) * ACCOUNTS as f64) as usize,
        };
        self.last_number += 1;
        let mut request = random_request(
            &mut self.rng,
            self.last_number,
            self.now,
            account,
            (self.pattern.kinds().start, self.pattern.rates(at)),
        );
        if let Some(tokens) = self.pattern.shared_tokens() {
            share_prompt(&mut self.rng, &mut request, SHARED_PARTS, tokens);
        }
        request.impatient = self.rng.f64() < self.pattern.impatient_share();
        let cancels = self.rng.f64() < self.pattern.cancelling_share();
        request.cancel_after = cancels.then_some(CANCEL_AFTER);
        self.submit(request);
    }

    fn submit(&mut self, request: Request) {
        let entry = self.rng.usize(0..self.entries.len());
        let id = request.id;
        let cancel_at = request.cancel_after.map(|c| request.first_attempt + c);
        let time_left = cancel_at
            .unwrap_or(request.deadline)
            .saturating_sub(self.now);
        self.schedule(time_left, Event::GiveUp(id));
        let decision = self.entries[entry].submit(self.now, &request);
        let attempt = Attempt {
            request,
            entry,
            engine: None,
            first_token: None,
        };
        self.attempts.insert(id, attempt);
        match decision {
            Decision::Assigned(engine) => {
                self.schedule(NETWORK_DELAY, Event::Deliver(id, entry, engine))
            }
            Decision::Queued => {}
            Decision::Refused(wait) => self.refuse(id, wait),
        }
    }

    fn refuse(&mut self, id: u64, wait: Duration) {
        let Some(attempt) = self.attempts.remove(&id) else {
            return;
        };
        let request = attempt.request;
        let max_retries = if request.impatient {
            IMPATIENT_RETRIES
        } else {
            1
        };
        let time_left = request.deadline.saturating_sub(self.now);
        if request.retries >= max_retries || time_left.is_zero() {
            return self.record_outcome(request, CallOutcome::Refused, None);
        }
        let delay = match request.impatient {
            true => IMPATIENT_RETRY,
            false => wait.min(time_left / 3),
        };
        self.last_number += 1;
        let retry = Request {
            id: self.last_number,
            retries: request.retries + 1,
            ..request
        };
        let id = retry.id;
        self.retrying.insert(id, retry);
        self.schedule(delay + NETWORK_DELAY * 2, Event::Retry(id));
    }

    fn deliver(&mut self, id: u64, entry: usize, engine: usize) {
        let Some(attempt) = self.attempts.get_mut(&id) else {
            return;
        };
        let (prompt, output) = (attempt.request.prompt, attempt.request.output);
        let prefix = attempt.request.prefix.clone();
        if self.engines[engine].enqueue_prompt(id, prompt, output, prefix) {
            attempt.engine = Some(engine);
            return self.start_pass(engine);
        }
        let request = attempt.request.clone();
        self.entries[entry].record_full(self.now, engine, &request);
        // The entry assigns the request to another engine, queues it or refuses it.
        match self.entries[entry].submit(self.now, &request) {
            Decision::Assigned(other) if other != engine => {
                self.schedule(NETWORK_DELAY * 2, Event::Deliver(id, entry, other));
            }
            Decision::Assigned(same) => {
                self.entries[entry].record_end(same, &request, false);
                self.refuse(id, Duration::from_secs(1));
            }
            Decision::Queued => {}
            Decision::Refused(wait) => self.refuse(id, wait),
        }
    }

    fn start_pass(&mut self, engine: usize) {
        if !self.engines[engine].is_pass_running()
            && let Some(end) = self.engines[engine].start_pass(self.now)
        {
            let incarnation = self.incarnations[engine];
            self.schedule(end - self.now, Event::PassEnd(engine, incarnation));
        }
    }

    fn finish_pass(&mut self, engine: usize, incarnation: u64) {
        if incarnation != self.incarnations[engine] {
            return;
        }
        for event in self.engines[engine].finish_pass() {
            match event {
                EngineEvent::FirstToken(id) => self.record_first_token(id, engine),
                EngineEvent::Completed(id) => self.complete(id, engine),
            }
        }
        self.start_pass(engine);
        if self.load_pending[engine]
            && self.engines[engine].closed
            && self.engines[engine].is_idle()
        {
            self.load_pending[engine] = false;
            self.schedule(LOAD_TIME, Event::Change(engine, EngineChange::Open));
        }
    }

    fn record_first_token(&mut self, id: u64, engine: usize) {
        let Some(attempt) = self.attempts.get_mut(&id) else {
            return;
        };
        let first_token = self.now + NETWORK_DELAY * 2 - attempt.request.first_attempt;
        attempt.first_token = Some(first_token);
        let (entry, request) = (attempt.entry, attempt.request.clone());
        self.entries[entry].record_first_token(self.now, engine, &request);
        self.assign_queued(entry);
    }

    fn complete(&mut self, id: u64, engine: usize) {
        let Some(attempt) = self.attempts.remove(&id) else {
            return;
        };
        self.entries[attempt.entry].record_end(engine, &attempt.request, true);
        self.assign_queued(attempt.entry);
        let target_latency = kinds()[attempt.request.kind].target_latency;
        let on_time = attempt.first_token.is_some_and(|t| t <= target_latency);
        let outcome = if on_time {
            CallOutcome::OnTime
        } else {
            CallOutcome::Late
        };
        self.record_outcome(attempt.request, outcome, attempt.first_token);
    }

    fn record_outcome(
        &mut self,
        request: Request,
        outcome: CallOutcome,
        first_token: Option<Duration>,
    ) {
        self.finished.push(FinishedCall {
            request,
            outcome,
            first_token,
        });
    }

    fn give_up(&mut self, id: u64) {
        let Some(attempt) = self.attempts.remove(&id) else {
            return;
        };
        match attempt.engine {
            Some(engine) => {
                self.engines[engine].cancel(id);
                let started = attempt.first_token.is_some();
                self.entries[attempt.entry].record_end(engine, &attempt.request, started);
                self.assign_queued(attempt.entry);
            }
            None => self.entries[attempt.entry].remove(id),
        }
        let outcome = match attempt.request.cancel_after {
            Some(_) => CallOutcome::Cancelled,
            None => CallOutcome::Failed,
        };
        self.record_outcome(attempt.request, outcome, attempt.first_token);
    }

    fn assign_queued(&mut self, entry: usize) {
        for (id, engine) in self.entries[entry].assign_queued(self.now) {
            match self.attempts.contains_key(&id) {
                true => self.schedule(NETWORK_DELAY, Event::Deliver(id, entry, engine)),
                false => debug_assert!(false, "a request whose attempt has ended was still queued"),
            }
        }
    }

    fn check_queue(&mut self, entry: usize) {
        self.schedule(QUEUE_INTERVAL, Event::CheckQueue(entry));
        for (id, wait) in self.entries[entry].expire(self.now) {
            self.refuse(id, wait);
        }
        self.assign_queued(entry);
    }

    fn send_notice(&mut self, entry: usize) {
        self.schedule(NOTICE_INTERVAL, Event::Notice(entry));
        let loads: Vec<(usize, UpstreamLoad)> = self.entries[entry].loads();
        for other in 0..self.entries.len() {
            if other != entry {
                self.entries[other].record_peer_loads(entry, &loads);
                self.assign_queued(other);
            }
        }
    }

    fn change_engine(&mut self, engine: usize, change: EngineChange) {
        match change {
            EngineChange::Crash => {
                self.incarnations[engine] += 1;
                self.engines[engine].closed = true;
                let lost = self.engines[engine].crash();
                self.notify_entries(engine, EngineState::Closed);
                lost.into_iter()
                    .for_each(|id| self.reassign_lost(id, engine));
            }
            EngineChange::Open => {
                self.engines[engine].closed = false;
                self.engines[engine].forget_prompts();
                self.notify_entries(engine, EngineState::Open);
                (0..self.entries.len()).for_each(|e| self.assign_queued(e));
            }
            EngineChange::AnnounceSwitch => {
                let at = self.now + SWITCH_NOTICE;
                self.notify_entries(engine, EngineState::ClosesAt(at));
            }
            EngineChange::Close => {
                self.engines[engine].closed = true;
                self.notify_entries(engine, EngineState::Closed);
                if self.load_pending[engine] && self.engines[engine].is_idle() {
                    self.load_pending[engine] = false;
                    self.schedule(LOAD_TIME, Event::Change(engine, EngineChange::Open));
                }
            }
        }
    }

    /// Submits a request again that was lost with its engine; it fails if it is refused.
    fn reassign_lost(&mut self, id: u64, engine: usize) {
        let Some(attempt) = self.attempts.get_mut(&id) else {
            return;
        };
        let (entry, request) = (attempt.entry, attempt.request.clone());
        attempt.engine = None;
        let started = attempt.first_token.is_some();
        self.entries[entry].record_end(engine, &request, started);
        match self.entries[entry].submit(self.now, &request) {
            Decision::Assigned(other) => {
                self.schedule(NETWORK_DELAY, Event::Deliver(id, entry, other))
            }
            Decision::Queued => {}
            Decision::Refused(_) => {
                self.attempts.remove(&id);
                self.record_outcome(request, CallOutcome::Failed, None);
            }
        }
    }
}
