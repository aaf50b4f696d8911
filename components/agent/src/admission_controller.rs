use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use compact_str::CompactString;
use config::{AgentSettings, ConfigCell, CrashReport, Digest, Record};
use event_listener::Event;
use futures_lite::FutureExt;
use kernel::{BoxFuture, Clock, Drain, Registry, Service};
use platform::{LogClient, streams};
use protocol::{Availability, Crash, Load, Progress, Refusal, RunId, RunRequest, Ticket};
use requests::{Admit, Begin, Hold, LimitRange, Probe, RunEnd, RunTable, Settled};
use serde_json::json;
use smol::Timer;
use telemetry::{Outcome, decision};
use wire::{Client, WireError};

use crate::admission_state::{InFlight, State};
use crate::config_follower::ConfigFollower;
use crate::engine::{Engine, LoadReport};

/// Longest wait of a run for a slot at the upstream.
const SLOT_TIMEOUT: Duration = Duration::from_millis(250);
/// Most crashes in the reply to a heartbeat; the oldest are dropped first.
const MAX_CRASHES: usize = 4;

/// A run in the queue; leaves it when dropped.
struct QueuedRun<'a> {
    admission: &'a AdmissionController,
    is_first: bool,
}

impl Drop for QueuedRun<'_> {
    fn drop(&mut self) {
        self.admission.state().queued -= 1;
    }
}

/// Decides which runs may start at the upstream, and observes its health.
pub struct AdmissionController {
    state: Mutex<State>,
    cell: Arc<ConfigCell>,
    clock: Clock,
    engine: Engine,
    log: LogClient,
    settings: AgentSettings,
    leaving: AtomicBool,
    idle: Event,
    slot_freed: Event,
    stopping: Event,
}

impl AdmissionController {
    /// Name in the registry.
    pub const NAME: &'static str = "door";

    /// Controls admission to the upstream in `settings`.
    pub fn new(
        settings: &AgentSettings,
        config: &ConfigFollower,
        client: Client,
        clock: Clock,
    ) -> Self {
        AdmissionController {
            state: Mutex::default(),
            cell: config.cell().clone(),
            clock,
            log: LogClient::new(settings.node.platform.log, client.clone()),
            engine: Engine::new(settings.upstream, client, clock),
            settings: settings.clone(),
            leaving: AtomicBool::new(false),
            idle: Event::new(),
            slot_freed: Event::new(),
            stopping: Event::new(),
        }
    }

    /// Whether runs are accepted now.
    pub fn availability(&self) -> Availability {
        if self.leaving.load(Ordering::Relaxed) {
            return Availability::Leaving;
        }
        let held = self.engine.held();
        if held == Some(Hold::Leaving) {
            return Availability::Leaving;
        }
        let Some(active) = self.cell.get() else {
            return Availability::Starting;
        };
        if !active
            .declaration
            .in_service(&self.settings.node.failure_domain)
        {
            return Availability::OutOfService;
        }
        if held.is_some() {
            return Availability::Paused;
        }
        let state = self.state();
        let serves = match active.declaration.model_of(&self.settings.service) {
            Some(_) => state.target.is_some() && state.serving == state.target,
            None => active
                .declaration
                .services
                .contains_key(&self.settings.service),
        };
        if state.reachable && serves && !state.switching {
            Availability::Open
        } else {
            Availability::Starting
        }
    }

    /// Client of the upstream.
    pub fn engine(&self) -> &Engine {
        &self.engine
    }

    /// Issues a ticket.
    pub fn issue_ticket(&self) -> Ticket {
        self.state().runs.issue_ticket(self.clock.now())
    }

    /// Load of the upstream, including queued runs.
    pub fn load(&self) -> Load {
        self.state().load(0)
    }

    /// Load of the upstream without the run `id`.
    pub fn load_without(&self, id: &RunId) -> Load {
        let state = self.state();
        state.load(usize::from(state.in_flight.contains_key(id)))
    }

    /// The upstream's latest crashes.
    pub fn crashes(&self) -> Vec<Crash> {
        self.state().crashes.iter().cloned().collect()
    }

    /// Progress of the model, if the service has one.
    pub fn progress(&self) -> Option<Progress> {
        let state = self.state();
        state.progress.clone().map(|p| Progress {
            serving: state.serving,
            ..p
        })
    }

    /// The deadline of a run that has just arrived: `remaining` from now, or earlier if it has
    /// been on its way for some time and `expiry` is its deadline on the clock of the process.
    pub fn deadline(&self, remaining: Duration, expiry: Option<Duration>) -> Instant {
        let left = expiry.map_or(remaining, |at| at.saturating_sub(self.clock.now()));
        Instant::now() + remaining.min(left)
    }

    /// Starts a run, or refuses it if no slot becomes free within [`SLOT_TIMEOUT`] or
    /// its deadline. Runs wait in the order of their arrival.
    pub async fn admit(&self, run: &RunRequest, deadline: Instant) -> Begin {
        let arrived_at = Instant::now();
        let timeout = deadline
            .saturating_duration_since(arrived_at)
            .min(SLOT_TIMEOUT);
        let Some(queued) = self.join_queue() else {
            return Begin::Refuse(Refusal::Full);
        };
        let mut may_begin = queued.is_first;
        loop {
            let slot_freed = self.slot_freed.listen();
            if may_begin {
                let begin = self.try_begin(run, deadline);
                match begin {
                    Begin::Run => return begin,
                    Begin::Refuse(Refusal::Full) => {}
                    Begin::Refuse(_) | Begin::Duplicate => {
                        // The free slot goes to the next run in the queue.
                        self.slot_freed.notify_additional(1);
                        return begin;
                    }
                }
            }
            let remaining = timeout.saturating_sub(arrived_at.elapsed());
            if wire::with_timeout(remaining, slot_freed).await.is_none() {
                return self.try_begin(run, deadline);
            }
            may_begin = true;
        }
    }

    /// Adds a run to the queue. `None` when as many runs are queued as may be in flight
    /// at the upstream.
    fn join_queue(&self) -> Option<QueuedRun<'_>> {
        let mut state = self.state();
        if state.queued >= state.concurrency_limit.current() {
            return None;
        }
        state.queued += 1;
        Some(QueuedRun {
            admission: self,
            is_first: state.queued == 1,
        })
    }

    /// Starts a run if a slot is free.
    fn try_begin(&self, run: &RunRequest, deadline: Instant) -> Begin {
        if Instant::now() >= deadline {
            return Begin::Refuse(Refusal::Late);
        }
        if self.availability() != Availability::Open {
            return Begin::Refuse(Refusal::Closed);
        }
        let now = self.clock.now();
        let mut state = self.state();
        // Checked again under the lock: a switch may have begun since.
        if state.switching {
            return Begin::Refuse(Refusal::Closed);
        }
        if run.suspect && state.suspects > 0 {
            return Begin::Refuse(Refusal::Suspect);
        }
        if state.concurrency_limit.begin() == Admit::Full {
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
            Begin::Refuse(_) | Begin::Duplicate => state.concurrency_limit.end(RunEnd::Cancelled),
        }
        begin
    }

    /// Records the end of a run.
    pub fn record_end(&self, id: &RunId, run_end: RunEnd) {
        let mut guard = self.state();
        let state = &mut *guard;
        // A run without a response may have met a crash of which nothing else tells; the next
        // probe does.
        if !matches!(run_end, RunEnd::Completed(_)) {
            let in_flight = state.in_flight.values().map(|r| r.fingerprint);
            state.detector.record_failure(state.incarnation, in_flight);
        }
        if let Some(run) = state.in_flight.remove(id) {
            state.suspects -= usize::from(run.suspect);
            let before = state.concurrency_limit.current();
            state.concurrency_limit.end(run_end);
            // One slot for the run that ended, and one for each step of the limit.
            let added = state.concurrency_limit.current().saturating_sub(before);
            self.slot_freed.notify_additional(1 + added);
        }
        if state.in_flight.is_empty() {
            self.idle.notify(usize::MAX);
        }
    }

    /// Probes the upstream after a failed exchange. Returns the crash during which the
    /// request with this fingerprint was in flight, if there was one.
    pub async fn detect_crash(&self, fingerprint: u64) -> Option<Crash> {
        self.probe().await;
        let state = self.state();
        let involved = |c: &&Crash| c.fingerprints.contains(&fingerprint);
        state.crashes.iter().rev().find(involved).cloned()
    }

    fn record_crash(&self, state: &mut State, fingerprints: Vec<u64>) {
        log::warn!(
            "admission: upstream crashed with {} requests in flight",
            fingerprints.len()
        );
        let crash = Crash {
            id: format!("{}-{:x}", self.settings.node.vm, fastrand::u64(..)).into(),
            fingerprints,
        };
        self.publish_crash(crash.clone());
        if state.crashes.len() == MAX_CRASHES {
            state.crashes.pop_front();
        }
        state.crashes.push_back(crash);
    }

    /// Appends a crash to the log, from which every entry reads it.
    fn publish_crash(&self, crash: Crash) {
        let log = self.log.clone();
        let record = Record::Crash(CrashReport {
            vm: self.settings.node.vm.clone(),
            id: crash.id,
            fingerprints: crash.fingerprints,
        });
        smol::spawn(async move {
            if let Err(e) = log.append(streams::CONFIG, &record).await {
                log::warn!("admission: crash not appended to the log: {e}");
            }
        })
        .detach();
    }

    /// Calls `change` with the table of runs.
    pub fn with_runs<T>(&self, change: impl FnOnce(&mut RunTable) -> T) -> T {
        change(&mut self.state().runs)
    }

    /// Returns the outcome of a run; voids the run if it has not started.
    pub fn settle(&self, id: &RunId, ticket: Ticket) -> Settled {
        let now = self.clock.now();
        self.state().runs.settle(now, id, ticket)
    }

    /// Records that the upstream cannot be reached, until a probe succeeds.
    pub fn record_unreachable(&self) {
        let mut state = self.state();
        state.reachable = false;
        state.serving = None;
        state.concurrency_limit.reset();
    }

    /// Accepts no more runs and waits until none is in flight, before the engine is
    /// ordered to load another version.
    pub async fn drain_for_switch(&self) {
        self.state().switching = true;
        self.wait_idle().await;
    }

    /// Ends a switch; runs are accepted once the engine reports the digest `target`.
    pub fn resume(&self, target: Digest) {
        let mut state = self.state();
        state.target = Some(target);
        state.switching = false;
    }

    /// Digest of the weights that the engine reported last.
    pub fn serving(&self) -> Option<Digest> {
        self.state().serving
    }

    /// Sets the progress of the model that is sent to entries.
    pub fn set_progress(&self, progress: Progress) {
        self.state().progress = Some(progress);
    }

    /// Probes the upstream: reads its load report and updates the state.
    pub async fn probe(&self) {
        let last = self.state().incarnation;
        let report = self.engine.load(last).await;
        // An upstream without a report in time may stand still; the next probe tells.
        let is_silent = matches!(&report, Err(e) if e.is_silence());
        let range = self.range();
        let mut guard = self.state();
        let state = &mut *guard;
        if let Some(range) = range {
            state.concurrency_limit.set_range(range);
        }
        if is_later_start(last, &report) {
            // These runs are of the start before, which is not there to answer them.
            let in_flight = state.in_flight.values().map(|r| r.fingerprint);
            state.detector.record_failure(last, in_flight);
        }
        match report {
            Ok(Some(report)) => state.record_report(report),
            Ok(None) => state.reachable = true,
            Err(e) => {
                if state.reachable {
                    log::warn!("admission: upstream does not respond: {e}");
                }
                // The next process at the address is a new start.
                if e.is_refused() {
                    self.engine.record_restart();
                }
                state.reachable = false;
                state.serving = None;
                state.concurrency_limit.reset();
            }
        }
        if is_silent {
            return;
        }
        let probe = Probe {
            reachable: state.reachable,
            incarnation: state.incarnation,
        };
        if let Some(fingerprints) = state.detector.record_probe(probe) {
            self.record_crash(state, fingerprints);
        }
    }

    fn range(&self) -> Option<LimitRange> {
        let active = self.cell.get()?;
        let service = active.declaration.services.get(&self.settings.service)?;
        Some(LimitRange {
            cold: service.cold_limit,
            warm: service.limit,
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

    /// Logs the runs that the end of the process cuts.
    fn log_cut_runs(&self) {
        for run in self.state().in_flight.keys() {
            let fields = json!({ "run": run, "by": "stop" });
            decision("admission", "run cut", Outcome::Failure, fields);
        }
    }

    async fn probe_periodically(self: Arc<Self>) {
        loop {
            self.probe().await;
            Timer::after(self.engine.probe_interval()).await;
        }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Whether a report is of a later start of the upstream than `last`.
fn is_later_start(last: Option<u64>, report: &Result<Option<LoadReport>, WireError>) -> bool {
    match (last, report) {
        (Some(last), Ok(Some(report))) => report.incarnation != last,
        _ => false,
    }
}

/// Name of this agent in audit records.
pub(crate) fn actor(settings: &AgentSettings) -> CompactString {
    CompactString::from(format!("agent on {}", settings.node.vm))
}

impl Service for AdmissionController {
    fn name(&self) -> &'static str {
        Self::NAME
    }

    fn start(&self, registry: &Registry) -> anyhow::Result<()> {
        let this: Arc<AdmissionController> = registry.find(Self::NAME)?;
        smol::spawn(this.probe_periodically().or(self.stopping.listen())).detach();
        Ok(())
    }

    /// Accepts no more runs and waits for those in flight.
    fn stop(&self, timeout: Duration) -> BoxFuture<'_, Drain> {
        self.leaving.store(true, Ordering::Relaxed);
        Box::pin(async move {
            let idle = wire::with_timeout(timeout, self.wait_idle()).await;
            if idle.is_none() {
                self.log_cut_runs();
            }
            self.stopping.notify(usize::MAX);
            Drain::from_complete(idle.is_some())
        })
    }
}
