use std::collections::{HashMap, VecDeque};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use compact_str::CompactString;
use config::{AgentSettings, ConfigCell, CrashReport, Digest, Record};
use event_listener::Event;
use futures_lite::FutureExt;
use kernel::{BoxFuture, Clock, Registry, Service};
use platform::{LogClient, streams};
use protocol::{Availability, Crash, Load, Progress, Refusal, RunId, RunRequest, Ticket};
use requests::{
    Admit, Begin, ConcurrencyLimit, CrashDetector, LimitRange, Probe, RunEnd, RunTable, Settled,
};
use smol::Timer;
use wire::Client;

use crate::config_follower::ConfigFollower;
use crate::engine::{Engine, LoadReport};

/// Time between two looks at the upstream.
const WATCH_EVERY: Duration = Duration::from_millis(250);
/// Longest wait of a run for a place at the upstream.
const PLACE_WAIT: Duration = Duration::from_millis(250);
/// Crashes told to entries.
const CRASHES_TOLD: usize = 4;

/// What the agent knows about its upstream, and who may enter.
struct State {
    limit: ConcurrencyLimit,
    runs: RunTable,
    in_flight: HashMap<RunId, InFlight>,
    suspects: usize,
    waiting: usize,
    detector: CrashDetector,
    crashes: VecDeque<Crash>,
    incarnation: Option<u64>,
    reachable: bool,
    serving: Option<Digest>,
    wanted: Option<Digest>,
    ordering: bool,
    progress: Option<Progress>,
}

/// A run in flight.
struct InFlight {
    fingerprint: u64,
    suspect: bool,
}

/// A run waiting for its turn.
struct Place<'a> {
    admission: &'a AdmissionController,
    is_first: bool,
}

impl Drop for Place<'_> {
    fn drop(&mut self) {
        self.admission.state().waiting -= 1;
    }
}

/// Decides which runs may start at the upstream.
pub struct AdmissionController {
    state: Mutex<State>,
    cell: Arc<ConfigCell>,
    clock: Clock,
    engine: Engine,
    log: LogClient,
    settings: AgentSettings,
    leaving: AtomicBool,
    idle: Event,
    freed: Event,
    stopping: Event,
}

impl AdmissionController {
    /// Name in the registry.
    pub const NAME: &'static str = "door";

    /// The door to the upstream named in `settings`.
    pub fn new(
        settings: &AgentSettings,
        config: &ConfigFollower,
        client: Client,
        clock: Clock,
    ) -> Self {
        let range = LimitRange { cold: 1, warm: 1 };
        AdmissionController {
            state: Mutex::new(State {
                limit: ConcurrencyLimit::new(range),
                runs: RunTable::new(fastrand::u64(1..)),
                in_flight: HashMap::new(),
                suspects: 0,
                waiting: 0,
                detector: CrashDetector::default(),
                crashes: VecDeque::new(),
                incarnation: None,
                reachable: false,
                serving: None,
                wanted: None,
                ordering: false,
                progress: None,
            }),
            cell: config.cell().clone(),
            clock,
            log: LogClient::new(settings.node.platform.log, client.clone()),
            engine: Engine::new(settings.upstream, client),
            settings: settings.clone(),
            leaving: AtomicBool::new(false),
            idle: Event::new(),
            freed: Event::new(),
            stopping: Event::new(),
        }
    }

    /// Whether runs are accepted now.
    pub fn availability(&self) -> Availability {
        if self.leaving.load(Ordering::Relaxed) {
            return Availability::Leaving;
        }
        let Some(c) = self.cell.get() else {
            return Availability::Starting;
        };
        if !c.declaration.in_service(&self.settings.node.failure_domain) {
            return Availability::OutOfService;
        }
        let state = self.state();
        let serves = match c.declaration.model_of(&self.settings.service) {
            Some(_) => state.wanted.is_some() && state.serving == state.wanted,
            None => c.declaration.services.contains_key(&self.settings.service),
        };
        if state.reachable && serves && !state.ordering {
            Availability::Open
        } else {
            Availability::Starting
        }
    }

    /// A ticket issued now.
    pub fn issue_ticket(&self) -> Ticket {
        self.state().runs.issue_ticket(self.clock.now())
    }

    /// Load of the upstream, runs that wait for it included.
    pub fn load(&self) -> Load {
        load_of(&self.state(), 0)
    }

    /// Load of the upstream without the run `id`.
    pub fn load_without(&self, id: &RunId) -> Load {
        let state = self.state();
        load_of(&state, usize::from(state.in_flight.contains_key(id)))
    }

    /// The upstream's latest crashes.
    pub fn crashes(&self) -> Vec<Crash> {
        self.state().crashes.iter().cloned().collect()
    }

    /// Progress of the model.
    pub fn progress(&self) -> Option<Progress> {
        let state = self.state();
        state.progress.clone().map(|p| Progress {
            serving: state.serving,
            ..p
        })
    }

    /// Asks to start a run; waits a moment for a place, in turn with others.
    pub async fn admit(&self, run: &RunRequest) -> Begin {
        let begun = self.clock.now();
        let limit = run.remaining.min(PLACE_WAIT);
        let Some(place) = self.take_place_in_line() else {
            return Begin::Refuse(Refusal::Full);
        };
        let mut is_turn = place.is_first;
        loop {
            let freed = self.freed.listen();
            if is_turn {
                let begin = self.begin(run);
                match begin {
                    Begin::Run => return begin,
                    Begin::Refuse(Refusal::Full) => {}
                    Begin::Refuse(_) | Begin::Duplicate => {
                        // The place that was free is for the next in line.
                        self.freed.notify_additional(1);
                        return begin;
                    }
                }
            }
            let left = limit.saturating_sub(self.clock.now() - begun);
            if wire::with_timeout(left, freed).await.is_none() {
                return self.begin(run);
            }
            is_turn = true;
        }
    }

    /// `None` when as many wait already as the upstream bears at all.
    fn take_place_in_line(&self) -> Option<Place<'_>> {
        let mut state = self.state();
        if state.waiting >= state.limit.current() {
            return None;
        }
        state.waiting += 1;
        Some(Place {
            admission: self,
            is_first: state.waiting == 1,
        })
    }

    /// Asks to start a run now.
    fn begin(&self, run: &RunRequest) -> Begin {
        if self.availability() != Availability::Open {
            return Begin::Refuse(Refusal::Closed);
        }
        let now = self.clock.now();
        let mut state = self.state();
        // Looked at again under the lock: an order may have closed the door since.
        if state.ordering {
            return Begin::Refuse(Refusal::Closed);
        }
        if run.suspect && state.suspects > 0 {
            return Begin::Refuse(Refusal::Suspect);
        }
        if state.limit.begin() == Admit::Full {
            return Begin::Refuse(Refusal::Full);
        }
        let begin = state.runs.begin(now, &run.id, run.ticket);
        match begin {
            Begin::Run => {
                state.suspects += usize::from(run.suspect);
                let in_flight = InFlight {
                    fingerprint: run.fingerprint,
                    suspect: run.suspect,
                };
                state.in_flight.insert(run.id.clone(), in_flight);
            }
            Begin::Refuse(_) | Begin::Duplicate => state.limit.end(RunEnd::Cancelled),
        }
        begin
    }

    /// Records the end of a run.
    pub fn record_end(&self, id: &RunId, how: RunEnd) {
        let mut guard = self.state();
        let state = &mut *guard;
        if how == RunEnd::Failed {
            let in_flight = state.in_flight.values().map(|r| r.fingerprint);
            state.detector.record_failure(state.incarnation, in_flight);
        }
        if let Some(run) = state.in_flight.remove(id) {
            state.suspects -= usize::from(run.suspect);
            let before = state.limit.current();
            state.limit.end(how);
            // A place for the one that ended, and one for each step of growth.
            let grown = state.limit.current().saturating_sub(before);
            self.freed.notify_additional(1 + grown);
        }
        if state.in_flight.is_empty() {
            self.idle.notify(usize::MAX);
        }
    }

    /// After a broken exchange: finds out whether the upstream has crashed.
    /// Returns the crash that the request was in flight at.
    pub async fn detect_crash(&self, fingerprint: u64) -> Option<Crash> {
        self.probe().await;
        let state = self.state();
        let involved = |c: &&Crash| c.fingerprints.contains(&fingerprint);
        state.crashes.iter().rev().find(involved).cloned()
    }

    fn note_crash(&self, state: &mut State, fingerprints: Vec<u64>) {
        log::warn!(
            "door: upstream crashed with {} requests",
            fingerprints.len()
        );
        let crash = Crash {
            id: format!("{}-{:x}", self.settings.node.vm, fastrand::u64(..)).into(),
            fingerprints,
        };
        self.report(crash.clone());
        if state.crashes.len() == CRASHES_TOLD {
            state.crashes.pop_front();
        }
        state.crashes.push_back(crash);
    }

    /// Tells every entry of a crash through the log.
    fn report(&self, crash: Crash) {
        let log = self.log.clone();
        let record = Record::Crash(CrashReport {
            vm: self.settings.node.vm.clone(),
            id: crash.id,
            fingerprints: crash.fingerprints,
        });
        smol::spawn(async move {
            if let Err(e) = log.append(streams::CONFIG, &record).await {
                log::warn!("door: crash not reported to the log: {e}");
            }
        })
        .detach();
    }

    /// Changes the record of runs.
    pub fn with_runs<T>(&self, change: impl FnOnce(&mut RunTable) -> T) -> T {
        change(&mut self.state().runs)
    }

    /// Tells what became of a run; voids it when it has not started.
    pub fn settle(&self, id: &RunId, ticket: Ticket) -> Settled {
        let now = self.clock.now();
        self.state().runs.settle(now, id, ticket)
    }

    /// Notes that the upstream refused a connection or broke one.
    pub fn record_unreachable(&self) {
        let mut state = self.state();
        state.reachable = false;
        state.serving = None;
        state.limit.reset();
    }

    /// Closes the door for an order and waits until no run is in flight.
    pub async fn drain_for_switch(&self) {
        self.state().ordering = true;
        self.wait_idle().await;
    }

    /// Ends the closure; the door opens when the engine reports `wanted`.
    pub fn resume(&self, wanted: Digest) {
        let mut state = self.state();
        state.wanted = Some(wanted);
        state.ordering = false;
    }

    /// Digest that the engine reported last.
    pub fn serving(&self) -> Option<Digest> {
        self.state().serving
    }

    /// Publishes progress of the model.
    pub fn set_progress(&self, progress: Progress) {
        self.state().progress = Some(progress);
    }

    /// Reads the engine's word now.
    pub async fn probe(&self) {
        let report = self.engine.load().await;
        let range = self.range();
        let mut state = self.state();
        if let Some(range) = range {
            state.limit.set_range(range);
        }
        match report {
            Ok(Some(report)) => note_report(&mut state, report),
            Ok(None) => state.reachable = true,
            Err(e) => {
                if state.reachable {
                    log::warn!("door: upstream does not answer: {e}");
                }
                state.reachable = false;
                state.serving = None;
                state.limit.reset();
            }
        }
        let look = Probe {
            reachable: state.reachable,
            incarnation: state.incarnation,
        };
        if let Some(fingerprints) = state.detector.record_probe(look) {
            self.note_crash(&mut state, fingerprints);
        }
    }

    fn range(&self) -> Option<LimitRange> {
        let c = self.cell.get()?;
        let s = c.declaration.services.get(&self.settings.service)?;
        Some(LimitRange {
            cold: s.cold_limit,
            warm: s.limit,
        })
    }

    async fn wait_idle(&self) {
        loop {
            let idle = self.idle.listen();
            if self.state().in_flight.is_empty() {
                return;
            }
            idle.await;
        }
    }

    async fn watch(self: Arc<Self>) {
        loop {
            self.probe().await;
            Timer::after(WATCH_EVERY).await;
        }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn note_report(state: &mut State, report: LoadReport) {
    if state.incarnation != Some(report.incarnation) {
        if state.incarnation.is_some() {
            log::warn!("door: upstream has restarted");
        }
        state.incarnation = Some(report.incarnation);
        state.limit.reset();
    }
    state.reachable = true;
    state.serving = report.serving.map(|s| s.content);
}

fn load_of(state: &State, own: usize) -> Load {
    let small = |n: usize| u32::try_from(n).unwrap_or(u32::MAX);
    Load {
        limit: small(state.limit.current()),
        in_flight: small(state.limit.in_flight() + state.waiting - own),
        service_us: small(
            usize::try_from(state.limit.service_time().as_micros()).unwrap_or(usize::MAX),
        ),
    }
}

/// Label of the running process on the audit trail.
pub(crate) fn actor(settings: &AgentSettings) -> CompactString {
    CompactString::from(format!("agent on {}", settings.node.vm))
}

impl Service for AdmissionController {
    fn name(&self) -> &'static str {
        Self::NAME
    }

    fn start(&self, peers: &Registry) -> anyhow::Result<()> {
        let own: Arc<AdmissionController> = peers.find(Self::NAME)?;
        smol::spawn(own.watch().or(self.stopping.listen())).detach();
        Ok(())
    }

    /// Closes the door and waits for the runs in flight.
    fn stop(&self, limit: Duration) -> BoxFuture<'_, ()> {
        self.leaving.store(true, Ordering::Relaxed);
        Box::pin(async move {
            if wire::with_timeout(limit, self.wait_idle()).await.is_none() {
                log::warn!("door: runs were still in flight at the drain limit");
            }
            self.stopping.notify(usize::MAX);
        })
    }
}
