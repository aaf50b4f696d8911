use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use async_channel::Receiver;
use config::VmId;
use futures_lite::io::BufReader;
use http_types::{Body, Response, StatusCode};
use kernel::Clock;
use platform::LogClient;
use protocol::{Load, Refusal, RunId, RunRequest, UpstreamResponse, headers};
use requests::{Arrival, Claim, ClaimStep, Suspicion};
use wire::{CallResponse, Client, ObservedBody, Outcome, Problem};

use crate::caller_request::CallerRequest;
use crate::claims::Claims;
use crate::crash_tracker::CrashTracker;
use crate::exchange::{ExchangeResult, exchange};
use crate::lease::Lease;
use crate::placement::{Placement, Target};
use crate::schedulers::{SharedScheduler, lock};

/// Most attempts at one request.
const MAX_ATTEMPTS: usize = 4;
/// Most attempts at one request that may have run.
const MAX_MAY_HAVE_RUN: usize = 2;
/// Wait advised before a retry of a failed request.
const FAILED_RETRY: Duration = Duration::from_secs(1);

/// Wait advised before a retry while the platform's log does not respond.
const LOG_RETRY: Duration = Duration::from_secs(5);

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
}

/// What follows an attempt.
enum NextStep {
    /// Submit the request again; the attempt does not count.
    Requeue,
    /// Return this response to the caller.
    Respond(Box<Response>),
    /// Retry, or report this problem if no retry is left.
    Retry(Problem),
}

/// One attempt at a request.
#[derive(Debug, Clone, Copy)]
struct Attempt {
    /// Id of the request.
    id: u64,
    /// Number of earlier runs sent for the request.
    sent: usize,
    /// Whether the request was in flight when an upstream crashed.
    suspect: bool,
    /// Hash of the request's content.
    fingerprint: u64,
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
}

/// A submitted request that waits for its placement. Dropping it, as when the caller
/// disconnects, removes the request from the queue and releases an upstream that was
/// assigned but not used.
struct PendingPlacement<'a> {
    scheduler: &'a SharedScheduler,
    request: &'a CallerRequest,
    id: u64,
    receiver: Receiver<Placement>,
}

impl Drop for PendingPlacement<'_> {
    fn drop(&mut self) {
        lock(self.scheduler).remove(&self.request.account, self.id, &self.receiver);
    }
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
            // Distinguishes the run ids of this process from those of an earlier one on
            // the VM.
            incarnation: fastrand::u64(..),
            next_id: AtomicU64::new(1),
        }
    }

    /// Returns the response to one request.
    pub async fn dispatch(&self, scheduler: &SharedScheduler, request: &CallerRequest) -> Response {
        let id = self.next_id.fetch_add(1, Ordering::Relaxed);
        let deadline = self.clock.now() + request.timeout;
        let fingerprint = request.fingerprint();
        let mut tried: Vec<u64> = Vec::new();
        let mut problem: Option<Problem> = None;
        let mut may_have_run = 0;
        lock(scheduler).deposit_retry();
        let (mut failed_attempts, mut charged_retries) = (0, 0);
        // A run that a full upstream refused counts neither as an attempt nor as a
        // retry; only the deadline bounds the number of such runs. `sent` counts all
        // runs.
        for sent in 0.. {
            let suspect = match self.crashes.check(fingerprint) {
                Suspicion::Quarantined { remaining: wait } => {
                    return finish(problem.unwrap_or_else(|| quarantined(wait)), request);
                }
                suspicion => suspicion == Suspicion::Suspect,
            };
            if failed_attempts > charged_retries {
                if !lock(scheduler).try_withdraw_retry() {
                    break;
                }
                charged_retries = failed_attempts;
            }
            let target = match self
                .wait_for_placement(scheduler, request, id, deadline, &tried)
                .await
            {
                Placement::Assigned(target) => target,
                Placement::Refused(p) => return finish(problem.unwrap_or(p), request),
            };
            let key = target.key;
            let attempt = Attempt {
                id,
                sent,
                suspect,
                fingerprint,
            };
            match self
                .run_attempt(scheduler, request, &target, attempt, deadline)
                .await
            {
                NextStep::Respond(response) => return *response,
                NextStep::Requeue => continue,
                NextStep::Retry(p) => {
                    failed_attempts += 1;
                    tried.push(key);
                    may_have_run += usize::from(p.outcome != Outcome::NotRun);
                    problem = Some(match problem {
                        None => p,
                        Some(earlier) => earlier.followed_by(p),
                    });
                }
            }
            if may_have_run >= MAX_MAY_HAVE_RUN || failed_attempts >= MAX_ATTEMPTS {
                break;
            }
        }
        let fallback = || Problem::not_run(503, "overloaded", "retries are used up");
        finish(problem.unwrap_or_else(fallback), request)
    }

    /// Submits a request and waits for its placement.
    async fn wait_for_placement(
        &self,
        scheduler: &SharedScheduler,
        request: &CallerRequest,
        id: u64,
        deadline: Duration,
        tried: &[u64],
    ) -> Placement {
        let arrival = Arrival {
            id,
            account: request.account.clone(),
            share: request.share,
            priority: request.priority,
            deadline,
        };
        let now = self.clock.now();
        let receiver = lock(scheduler).submit(now, arrival, request.prefix(), tried.to_vec());
        let pending = PendingPlacement {
            scheduler,
            request,
            id,
            receiver,
        };
        let placement = pending.receiver.recv().await;
        placement.unwrap_or_else(|_| {
            Placement::Refused(Problem::not_run(
                503,
                "no upstream",
                "the service was removed",
            ))
        })
    }

    /// Sends a run to the assigned upstream.
    async fn run_attempt(
        &self,
        scheduler: &SharedScheduler,
        request: &CallerRequest,
        target: &Target,
        attempt: Attempt,
        deadline: Duration,
    ) -> NextStep {
        let mut lease = Lease::new(scheduler.clone(), self.clock, target.key);
        if attempt.suspect {
            lease.forget_on_completion(self.crashes.clone(), attempt.fingerprint);
        }
        let timeout = deadline.saturating_sub(self.clock.now());
        let run = self.new_run(request, target, attempt, timeout);
        let claim = self.claims.claim_for(request, target, &run);
        if let Some(claim) = &claim
            && let Some(next) = self.check_claim(claim, timeout, &mut lease).await
        {
            return next;
        }
        match exchange(&self.client, target, &run, timeout).await {
            ExchangeResult::Response(response, load) => {
                self.record_load(scheduler, target, load);
                NextStep::Respond(Box::new(relay(*response, lease, &run.id)))
            }
            ExchangeResult::Stored(response) => {
                lease.complete();
                NextStep::Respond(Box::new(stored_response(response, &run.id)))
            }
            ExchangeResult::NotRun(refusal, load) => {
                self.record_load(scheduler, target, load);
                self.record_refusal(scheduler, target, refusal);
                if let Some(claim) = claim {
                    self.claims.void(claim);
                }
                if refusal == Some(Refusal::Full) {
                    return NextStep::Requeue;
                }
                let why =
                    refusal.map_or("its agent did not receive it".to_owned(), |r| r.to_string());
                let detail = format!("{} did not run the request: {why}", target.vm);
                NextStep::Retry(Problem::not_run(503, "not run", detail).retry_after(FAILED_RETRY))
            }
            ExchangeResult::Crashed(crash) => {
                self.crashes.record_crash(&crash.id, &crash.fingerprints);
                lock(scheduler).record_failure(self.clock.now(), target.key);
                let detail = format!(
                    "the upstream of {} crashed while it ran the request",
                    target.vm
                );
                let problem = Problem::failed(502, "upstream crashed", detail);
                match request.idempotent {
                    true => NextStep::Retry(problem),
                    false => NextStep::Respond(Box::new(finish(
                        Problem {
                            outcome: Outcome::Unknown,
                            ..problem
                        },
                        request,
                    ))),
                }
            }
            ExchangeResult::TimedOut => {
                let detail = "the upstream did not respond before the deadline";
                let problem = Problem::unknown(504, "deadline passed", detail);
                NextStep::Respond(Box::new(finish(problem.retry_after(FAILED_RETRY), request)))
            }
            ExchangeResult::Unknown(cause) => {
                lock(scheduler).record_failure(self.clock.now(), target.key);
                let detail = format!("{} did not respond: {cause}", target.vm);
                let problem = Problem::unknown(502, "upstream broke", detail);
                match request.idempotent {
                    true => NextStep::Retry(problem.retry_after(FAILED_RETRY)),
                    false => NextStep::Respond(Box::new(finish(problem, request))),
                }
            }
        }
    }

    /// Checks the claim of a run. `None` if the run may start.
    async fn check_claim(
        &self,
        claim: &Claim,
        timeout: Duration,
        lease: &mut Lease,
    ) -> Option<NextStep> {
        let problem = match self.claims.check(claim, timeout).await {
            ClaimStep::Run => return None,
            ClaimStep::Replay(response) => {
                lease.complete();
                return Some(NextStep::Respond(Box::new(stored_response(
                    response, &claim.run,
                ))));
            }
            step => claim_problem(&step),
        };
        self.claims.void(claim.clone());
        Some(NextStep::Respond(Box::new(problem.into())))
    }

    fn record_load(&self, scheduler: &SharedScheduler, target: &Target, load: Option<Load>) {
        if let Some(load) = load {
            lock(scheduler).record_load(self.clock.now(), target.key, load);
        }
    }

    fn record_refusal(
        &self,
        scheduler: &SharedScheduler,
        target: &Target,
        refusal: Option<Refusal>,
    ) {
        let mut scheduler = lock(scheduler);
        match refusal {
            Some(Refusal::Full) => scheduler.record_full(self.clock.now(), target.key),
            Some(Refusal::Voided | Refusal::Suspect) => {}
            Some(Refusal::Closed | Refusal::Restarted | Refusal::Expired) => {
                scheduler.record_closed(target.key)
            }
            Some(Refusal::Unreachable) | None => {
                scheduler.record_failure(self.clock.now(), target.key)
            }
        }
    }

    fn new_run(
        &self,
        request: &CallerRequest,
        target: &Target,
        attempt: Attempt,
        timeout: Duration,
    ) -> RunRequest {
        let Attempt { id, sent, .. } = attempt;
        RunRequest {
            id: RunId::from(format!("{}-{:x}-{id}-{sent}", self.vm, self.incarnation)),
            ticket: target.ticket,
            method: request.method.clone(),
            path: request.path.clone(),
            media_type: request.media_type.clone(),
            account: request.account.clone(),
            idempotent: request.idempotent,
            priority: request.priority,
            remaining: timeout,
            fingerprint: attempt.fingerprint,
            suspect: attempt.suspect,
            body: request.body.clone(),
        }
    }
}

fn quarantined(wait: Duration) -> Problem {
    let detail = "upstreams crashed while they ran this request; change it before sending it again";
    Problem::not_run(422, "quarantined", detail).retry_after(wait)
}

fn claim_problem(step: &ClaimStep) -> Problem {
    match step {
        ClaimStep::InProgress => {
            let detail = "the same request is running; send it again later for its response";
            Problem::unknown(409, "in progress", detail).retry_after(FAILED_RETRY)
        }
        ClaimStep::Mismatch => {
            let detail = "the idempotency key belongs to another request; use a new key";
            Problem::not_run(422, "key in use", detail)
        }
        ClaimStep::Unknown => {
            let detail =
                "an earlier attempt with this key may have run; check before you send a new one";
            Problem::unknown(502, "earlier attempt", detail)
        }
        _ => {
            let detail = "the platform's log does not respond; send the request again later";
            Problem::not_run(503, "log not available", detail).retry_after(LOG_RETRY)
        }
    }
}

/// Logs the outcome of a request that ends without a response of an upstream, and
/// returns the problem as its response. The caller may send an idempotent request again
/// even if it may have run.
fn finish(problem: Problem, request: &CallerRequest) -> Response {
    log::debug!(
        "dispatch: {} request ended as {}",
        request.service,
        problem.outcome
    );
    problem.into()
}

/// Forwards the response of an upstream; `lease` is released at its end.
fn relay(response: CallResponse, lease: Lease, id: &RunId) -> Response {
    let status = response
        .header(headers::UPSTREAM_STATUS)
        .and_then(|s| s.parse::<u16>().ok())
        .and_then(|s| StatusCode::try_from(s).ok())
        .unwrap_or(StatusCode::BadGateway);
    let mut res = Response::new(status);
    let media_type = response
        .header("content-type")
        .unwrap_or("application/octet-stream");
    let media_type = media_type.to_owned();
    if let Some(version) = response.header(headers::MODEL_VERSION) {
        res.insert_header(headers::MODEL_VERSION, version);
    }
    let body = response.into_body();
    let len = body
        .remaining_length()
        .and_then(|l| usize::try_from(l).ok());
    res.set_body(Body::from_reader(
        BufReader::new(ObservedBody::new(body, lease)),
        len,
    ));
    res.insert_header("content-type", media_type);
    res.insert_header("request-id", id.as_str());
    res
}

/// A complete response that the agent stored.
fn stored_response(response: UpstreamResponse, id: &RunId) -> Response {
    let status = StatusCode::try_from(response.status).unwrap_or(StatusCode::BadGateway);
    let mut res = Response::new(status);
    res.set_body(response.body);
    res.insert_header("content-type", response.media_type.as_str());
    res.insert_header("request-id", id.as_str());
    res
}
