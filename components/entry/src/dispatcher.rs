use std::pin::pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use compact_str::CompactString;
use config::VmId;
use futures_lite::FutureExt;
use http_types::Response;
use kernel::Clock;
use platform::LogClient;
use protocol::{Load, Refusal, RunId};
use requests::{Arrival, Claim, ClaimStep, Suspicion};
use wire::{CallResponse, Client, Outcome, Problem};

use crate::answer_log::AnswerLog;
use crate::caller_request::CallerRequest;
use crate::claims::Claims;
use crate::crash_tracker::CrashTracker;
use crate::exchange::{ExchangeResult, RunRefusal, RunSignals, RunTimes, exchange};
use crate::failures::Failures;
use crate::interrupt::{Interrupt, Interruption};
use crate::job::{Attempt, Job, answer_by};
use crate::lease::Lease;
use crate::open_answers::OpenAnswers;
use crate::pending_placement::PendingPlacement;
use crate::placement::{Placement, Target};
use crate::responses::{
    FAILED_RETRY, claim_problem, finish, not_run, quarantined, relay, service_removed,
    silent_agent, stored_response,
};
use crate::schedulers::{SharedScheduler, lock};
use crate::sent_run::SentRun;

/// Submits requests to the scheduler of their service, sends them to the assigned
/// upstreams and retries them.
pub struct Dispatcher {
    client: Client,
    claims: Claims,
    crashes: Arc<CrashTracker>,
    clock: Clock,
    vm: VmId,
    incarnation: u64,
    next_id: AtomicU64,
    open: OpenAnswers,
}

/// What follows an attempt.
enum NextStep {
    /// Submit the request again.
    Requeue,
    /// Pass on the response of an upstream.
    Relay(Box<CallResponse>, Lease, RunId),
    /// Return this response to the caller.
    Respond(Box<Response>),
    /// Retry, or report this problem if no retry is left.
    Retry(Problem),
    /// Retry, and keep the run, whose agent is silent: it may still end first.
    Keep(Box<SentRun>),
    /// End the request, or wait for the runs that were kept.
    Refuse(Problem),
}

/// Parts of a dispatcher.
pub struct DispatcherParts {
    /// VM of the entry.
    pub vm: VmId,
    /// Client of the platform's log.
    pub log: LogClient,
    /// Crashes known to the entry.
    pub crashes: Arc<CrashTracker>,
    /// Client of the agents.
    pub client: Client,
    /// Clock of the process.
    pub clock: Clock,
    /// Requests whose answers have not ended.
    pub open: OpenAnswers,
}

impl Dispatcher {
    /// A dispatcher with these parts.
    pub fn new(parts: DispatcherParts) -> Self {
        Dispatcher {
            claims: Claims::new(parts.log, parts.client.clone(), parts.clock),
            crashes: parts.crashes,
            client: parts.client,
            clock: parts.clock,
            vm: parts.vm,
            incarnation: fastrand::u64(..),
            next_id: AtomicU64::new(1),
            open: parts.open,
        }
    }

    /// Returns the response to one request, unless `interrupt` is raised before.
    pub async fn dispatch(
        &self,
        scheduler: &SharedScheduler,
        request: &CallerRequest,
        interrupt: &Interrupt,
    ) -> Response {
        let id = self.next_id.fetch_add(1, Ordering::Relaxed);
        // The incarnation distinguishes it from those of an earlier process on the VM.
        let name = CompactString::from(format!("{}-{:x}-{id}", self.vm, self.incarnation));
        let mut log = AnswerLog::new(name.clone(), self.open.clone());
        let arrived = self.clock.now();
        let job = Job {
            scheduler,
            request,
            interrupt,
            id,
            name,
            fingerprint: request.fingerprint(),
            deadline: arrived + request.timeout,
            answer_by: answer_by(arrived, request.timeout),
        };
        lock(scheduler).deposit_retry();
        match self.run_to_end(&job).await {
            Answer::Relay(response, lease, run) => relay(*response, log.start(lease), &run),
            Answer::Respond(response) => {
                log.complete();
                *response
            }
        }
    }

    /// Sends a request to one upstream after the other until one has answered.
    async fn run_to_end(&self, job: &Job<'_>) -> Answer {
        let mut failures = Failures::default();
        let mut kept: Vec<SentRun> = Vec::new();
        let mut charged_retries = 0;
        // A run that a full upstream refused counts neither as an attempt nor as a retry;
        // only the deadline bounds the number of such runs. `sent` counts all runs.
        for sent in 0.. {
            let suspect = match self.crashes.check(job.fingerprint) {
                Suspicion::Quarantined { remaining: wait } => {
                    failures.problem.get_or_insert_with(|| quarantined(wait));
                    break;
                }
                suspicion => suspicion == Suspicion::Suspect,
            };
            if failures.attempts > charged_retries {
                if !lock(job.scheduler).try_withdraw_retry() {
                    break;
                }
                charged_retries = failures.attempts;
            }
            let attempt = Attempt {
                sent,
                suspect,
                tried: &failures.tried.clone(),
            };
            let step = self.attempt_beside(job, attempt, &mut kept, &mut failures);
            let (key, step) = step.await;
            match step {
                NextStep::Relay(response, lease, run) => {
                    return Answer::Relay(response, lease, run);
                }
                NextStep::Respond(response) => return Answer::Respond(response),
                NextStep::Requeue => continue,
                NextStep::Retry(problem) => failures.record(key, problem),
                NextStep::Keep(run) => {
                    failures.record(key, silent_agent(&run.target.vm));
                    kept.push(*run);
                }
                NextStep::Refuse(problem) => {
                    failures.problem.get_or_insert(problem);
                    break;
                }
            }
            if failures.are_final() {
                break;
            }
        }
        self.await_kept(job, kept, failures).await
    }

    /// Makes an attempt, and ends it if a run that was kept answers first. Returns the key
    /// of its upstream, if one was assigned.
    async fn attempt_beside(
        &self,
        job: &Job<'_>,
        attempt: Attempt<'_>,
        kept: &mut Vec<SentRun>,
        failures: &mut Failures,
    ) -> (Option<u64>, NextStep) {
        let mut next = pin!(self.attempt(job, attempt));
        loop {
            let ended = async { Err(SentRun::first_end(kept).await) };
            match ended.or(async { Ok((&mut next).await) }).await {
                Ok(end) => return end,
                Err((run, result)) => match self.conclude(job, run, result) {
                    NextStep::Retry(problem) => failures.record(None, problem),
                    NextStep::Requeue | NextStep::Keep(_) | NextStep::Refuse(_) => {}
                    answer => return (None, answer),
                },
            }
        }
    }

    /// Waits for the runs that were kept, after the last attempt has failed.
    async fn await_kept(
        &self,
        job: &Job<'_>,
        mut kept: Vec<SentRun>,
        mut failures: Failures,
    ) -> Answer {
        while !kept.is_empty() {
            let interrupted = async { Err(job.interrupt.raised().await) };
            let ended = async { Ok(SentRun::first_end(&mut kept).await) };
            match interrupted.or(ended).await {
                Err(interruption) => {
                    failures.record(None, interruption.unknown(&job.name));
                    break;
                }
                Ok((run, result)) => match self.conclude(job, run, result) {
                    NextStep::Relay(response, lease, run) => {
                        return Answer::Relay(response, lease, run);
                    }
                    NextStep::Respond(response) => return Answer::Respond(response),
                    NextStep::Retry(problem) => failures.record(None, problem),
                    NextStep::Requeue | NextStep::Keep(_) | NextStep::Refuse(_) => {}
                },
            }
        }
        let fallback = || Problem::not_run(503, "overloaded", "retries are used up");
        let problem = failures.problem.unwrap_or_else(fallback);
        Answer::Respond(Box::new(finish(problem, job.request)))
    }

    /// Waits for an upstream and sends the request to it; returns the key of the upstream too.
    async fn attempt(&self, job: &Job<'_>, attempt: Attempt<'_>) -> (Option<u64>, NextStep) {
        match self.wait_for_placement(job, attempt.tried).await {
            Placement::Assigned(target) => {
                let key = target.key;
                (Some(key), self.run_attempt(job, target, attempt).await)
            }
            Placement::Refused(problem) => (None, NextStep::Refuse(problem)),
        }
    }

    /// Submits a request and waits for its placement.
    async fn wait_for_placement(&self, job: &Job<'_>, tried: &[u64]) -> Placement {
        let request = job.request;
        let arrival = Arrival {
            id: job.id,
            account: request.account.clone(),
            share: request.share,
            priority: request.priority,
            deadline: job.answer_by,
        };
        let now = self.clock.now();
        let submitted = lock(job.scheduler).submit(now, arrival, request.prefix(), tried.to_vec());
        let pending = PendingPlacement {
            scheduler: job.scheduler,
            request,
            id: job.id,
            receiver: submitted,
        };
        let placed = async {
            let placement = pending.receiver.recv().await;
            placement.unwrap_or_else(|_| Placement::Refused(service_removed()))
        };
        // The interrupt goes first: after it, no upstream gets the request.
        let interrupted =
            async { Placement::Refused(job.interrupt.raised().await.not_run(&job.name)) };
        interrupted.or(placed).await
    }

    /// Sends a run to the assigned upstream.
    async fn run_attempt(&self, job: &Job<'_>, target: Target, attempt: Attempt<'_>) -> NextStep {
        let mut lease = Lease::new(job.scheduler.clone(), self.clock, target.key);
        if attempt.suspect {
            lease.forget_on_completion(self.crashes.clone(), job.fingerprint);
        }
        let remaining = job.deadline.saturating_sub(self.clock.now());
        let mut run = job.new_run(&target, attempt, remaining);
        let claim = self.claims.claim_for(job.request, &target, &run);
        if let Some(claim) = &claim {
            // Boxed: it would enlarge the state of every request.
            let check = Box::pin(self.check_claim(job, claim, &mut lease));
            if let Some(next) = check.await {
                return next;
            }
        }
        // The check of the claim has taken time.
        let now = self.clock.now();
        run.remaining = job.deadline.saturating_sub(now);
        let times = RunTimes {
            timeout: run.remaining,
            answer_within: job.answer_by.saturating_sub(now),
            expiry: target.expiry(job.deadline),
        };
        let (silence, silent) = async_channel::bounded(1);
        let (withdraw, withdrawal) = async_channel::bounded(1);
        let signals = RunSignals {
            silence,
            withdrawal,
        };
        let mut sent = SentRun {
            id: run.id.clone(),
            target: target.clone(),
            lease,
            claim,
            task: smol::spawn(exchange(self.client.clone(), target, run, times, signals)),
        };
        let idempotent = job.request.idempotent;
        let interrupted = async {
            RunEvent::Interrupted(match idempotent {
                true => job.interrupt.raised().await,
                false => job.interrupt.stopping_beside(&withdraw).await,
            })
        };
        let agent_silent = async {
            // The sender is dropped when the exchange ends, which is an event of its own.
            if !idempotent || silent.recv().await.is_err() {
                std::future::pending::<()>().await;
            }
            RunEvent::Silent
        };
        let ended = async { RunEvent::Ended((&mut sent.task).await) };
        match ended.or(interrupted).or(agent_silent).await {
            RunEvent::Ended(result) => self.conclude(job, sent, result),
            RunEvent::Interrupted(interruption) => NextStep::Respond(Box::new(finish(
                interruption.unknown(&job.name),
                job.request,
            ))),
            RunEvent::Silent => {
                lock(job.scheduler).record_failure(self.clock.now(), sent.target.key);
                NextStep::Keep(Box::new(sent))
            }
        }
    }

    /// Decides what follows the end of a run.
    fn conclude(&self, job: &Job<'_>, run: SentRun, result: ExchangeResult) -> NextStep {
        let SentRun {
            id,
            target,
            mut lease,
            claim,
            ..
        } = run;
        let now = self.clock.now();
        match result {
            ExchangeResult::Response(response, load) => {
                self.record_load(job.scheduler, &target, load);
                NextStep::Relay(response, lease, id)
            }
            ExchangeResult::Stored(response) => {
                lease.complete();
                NextStep::Respond(Box::new(stored_response(response, &id)))
            }
            ExchangeResult::NotReceived => {
                lock(job.scheduler).record_failure(now, target.key);
                self.void(claim);
                NextStep::Retry(not_run(&target.vm, "its agent did not receive it", None))
            }
            ExchangeResult::Withdrawn => {
                self.void(claim);
                NextStep::Retry(not_run(&target.vm, "its caller has left", None))
            }
            ExchangeResult::Refused(refusal) => {
                self.record_load(job.scheduler, &target, refusal.load);
                self.record_refusal(job.scheduler, &target, &refusal);
                self.void(claim);
                match refusal.why {
                    Refusal::Full => NextStep::Requeue,
                    why => {
                        NextStep::Retry(not_run(&target.vm, &why.to_string(), refusal.retry_after))
                    }
                }
            }
            ExchangeResult::Crashed(crash) => {
                self.crashes.record_crash(&crash.id, &crash.fingerprints);
                lock(job.scheduler).record_failure(now, target.key);
                let detail = format!(
                    "the upstream of {} crashed while it ran the request",
                    target.vm
                );
                let problem = Problem::failed(502, "upstream crashed", detail);
                match job.request.idempotent {
                    true => NextStep::Retry(problem),
                    false => NextStep::Respond(Box::new(finish(
                        Problem {
                            outcome: Outcome::Unknown,
                            ..problem
                        },
                        job.request,
                    ))),
                }
            }
            ExchangeResult::TimedOut => {
                let detail = "the upstream did not respond before the deadline";
                let problem = Problem::unknown(504, "deadline passed", detail);
                let problem = problem.retry_after(FAILED_RETRY);
                NextStep::Respond(Box::new(finish(problem, job.request)))
            }
            ExchangeResult::Unknown(cause) => {
                lock(job.scheduler).record_failure(now, target.key);
                let detail = format!("{} did not respond: {cause}", target.vm);
                let problem = Problem::unknown(502, "upstream broke", detail);
                match job.request.idempotent {
                    true => NextStep::Retry(problem.retry_after(FAILED_RETRY)),
                    false => NextStep::Respond(Box::new(finish(problem, job.request))),
                }
            }
        }
    }

    /// Checks the claim of a run. `None` if the run may start.
    async fn check_claim(
        &self,
        job: &Job<'_>,
        claim: &Claim,
        lease: &mut Lease,
    ) -> Option<NextStep> {
        let timeout = job.answer_by.saturating_sub(self.clock.now());
        let interrupted = async { Err(job.interrupt.raised().await) };
        let checked = async { Ok(self.claims.check(claim, timeout).await) };
        let problem = match interrupted.or(checked).await {
            Ok(ClaimStep::Run) => return None,
            Ok(ClaimStep::Replay(response)) => {
                lease.complete();
                return Some(NextStep::Respond(Box::new(stored_response(
                    response, &claim.run,
                ))));
            }
            Ok(step) => claim_problem(&step),
            Err(interruption) => interruption.not_run(&job.name),
        };
        self.claims.void(claim.clone());
        Some(NextStep::Respond(Box::new(problem.into())))
    }

    fn record_load(&self, scheduler: &SharedScheduler, target: &Target, load: Option<Load>) {
        if let Some(load) = load {
            lock(scheduler).record_load(self.clock.now(), target.key, load);
        }
    }

    fn record_refusal(&self, scheduler: &SharedScheduler, target: &Target, refusal: &RunRefusal) {
        let now = self.clock.now();
        let mut scheduler = lock(scheduler);
        match refusal.why {
            Refusal::Full => scheduler.record_full(now, target.key),
            Refusal::Voided | Refusal::Suspect | Refusal::Late => {}
            Refusal::Closed | Refusal::Restarted | Refusal::Expired => {
                scheduler.record_closed(now, target.key, refusal.retry_after)
            }
            Refusal::Unreachable => scheduler.record_failure(now, target.key),
        }
    }

    fn void(&self, claim: Option<Claim>) {
        if let Some(claim) = claim {
            self.claims.void(claim);
        }
    }
}

/// What happens first to a run that was sent.
enum RunEvent {
    Ended(ExchangeResult),
    Interrupted(Interruption),
    /// Its agent does not reply.
    Silent,
}

/// The end of a request.
enum Answer {
    /// The response of an upstream is passed on.
    Relay(Box<CallResponse>, Lease, RunId),
    /// This response is sent.
    Respond(Box<Response>),
}
