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
/// Advised wait after a failed request that may be sent again.
const FAILED_RETRY: Duration = Duration::from_secs(1);

/// Advised wait while the platform's log does not answer.
const LOG_RETRY: Duration = Duration::from_secs(5);

/// Carries requests through queue, choice, exchange and retries.
pub struct Dispatcher {
    client: Client,
    claims: Claims,
    crashes: Arc<CrashTracker>,
    clock: Clock,
    vm: VmId,
    process: u64,
    next: AtomicU64,
}

enum Next {
    Requeue,
    Answer(Box<Response>),
    Retry(Problem),
}

/// Number of one attempt.
#[derive(Debug, Clone, Copy)]
struct Number {
    id: u64,
    sent: usize,
    suspect: bool,
    fingerprint: u64,
}

/// What a dispatcher needs.
pub struct DispatcherParts {
    /// VM of the entry.
    pub vm: VmId,
    /// The platform's log.
    pub log: LogClient,
    /// Crashes heard of.
    pub crashes: Arc<CrashTracker>,
    /// Client of the agents.
    pub client: Client,
    /// Clock of the process.
    pub clock: Clock,
}

/// A request's place in its queue. When its caller goes away the place is given
/// up, and with it a grant that has arrived but was not taken yet.
struct Place<'a> {
    scheduler: &'a SharedScheduler,
    request: &'a CallerRequest,
    id: u64,
    granted: Receiver<Placement>,
}

impl Drop for Place<'_> {
    fn drop(&mut self) {
        lock(self.scheduler).remove(&self.request.account, self.id, &self.granted);
    }
}

impl Dispatcher {
    /// A dispatcher made of `parts`.
    pub fn new(parts: DispatcherParts) -> Self {
        Dispatcher {
            claims: Claims::new(parts.log, parts.client.clone()),
            crashes: parts.crashes,
            client: parts.client,
            clock: parts.clock,
            vm: parts.vm,
            // Tells ids of this process from those of an earlier one on the VM.
            process: fastrand::u64(..),
            next: AtomicU64::new(1),
        }
    }

    /// Answers one request.
    pub async fn dispatch(&self, scheduler: &SharedScheduler, request: &CallerRequest) -> Response {
        let id = self.next.fetch_add(1, Ordering::Relaxed);
        let deadline = self.clock.now() + request.timeout;
        let fingerprint = request.fingerprint();
        let mut tried: Vec<u64> = Vec::new();
        let mut problem: Option<Problem> = None;
        let mut may_have_run = 0;
        lock(scheduler).deposit_retry();
        let (mut attempt, mut retries) = (0, 0);
        // Attempts that found the upstream at its limit cost nothing and are
        // bounded by the deadline; `sent` numbers them all.
        for sent in 0.. {
            let suspect = match self.crashes.check(fingerprint) {
                Suspicion::Quarantined { remaining: left } => {
                    return finish(problem.unwrap_or_else(|| quarantined(left)), request);
                }
                suspicion => suspicion == Suspicion::Suspect,
            };
            if attempt > retries {
                if !lock(scheduler).try_withdraw_retry() {
                    break;
                }
                retries = attempt;
            }
            let target = match self.wait(scheduler, request, id, deadline, &tried).await {
                Placement::Assigned(target) => target,
                Placement::Refused(p) => return finish(problem.unwrap_or(p), request),
            };
            let key = target.key;
            let number = Number {
                id,
                sent,
                suspect,
                fingerprint,
            };
            match self
                .run(scheduler, request, &target, number, deadline)
                .await
            {
                Next::Answer(response) => return *response,
                Next::Requeue => continue,
                Next::Retry(p) => {
                    attempt += 1;
                    tried.push(key);
                    may_have_run += usize::from(p.outcome != Outcome::NotRun);
                    problem = Some(match problem {
                        None => p,
                        Some(earlier) => earlier.followed_by(p),
                    });
                }
            }
            if may_have_run >= MAX_MAY_HAVE_RUN || attempt >= MAX_ATTEMPTS {
                break;
            }
        }
        let fallback = || Problem::not_run(503, "overloaded", "retries are used up");
        finish(problem.unwrap_or_else(fallback), request)
    }

    async fn wait(
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
        let granted = lock(scheduler).submit(now, arrival, request.prefix(), tried.to_vec());
        let place = Place {
            scheduler,
            request,
            id,
            granted,
        };
        let grant = place.granted.recv().await;
        grant.unwrap_or_else(|_| {
            Placement::Refused(Problem::not_run(
                503,
                "no upstream",
                "the service was removed",
            ))
        })
    }

    async fn run(
        &self,
        scheduler: &SharedScheduler,
        request: &CallerRequest,
        target: &Target,
        number: Number,
        deadline: Duration,
    ) -> Next {
        let mut lease = Lease::new(scheduler.clone(), self.clock, target.key);
        if number.suspect {
            lease.forget_on_completion(self.crashes.clone(), number.fingerprint);
        }
        let left = deadline.saturating_sub(self.clock.now());
        let run = self.run_request(request, target, number, left);
        let claim = self.claims.claim_for(request, target, &run);
        if let Some(claim) = &claim
            && let Some(next) = self.check_claim(claim, left, &mut lease).await
        {
            return next;
        }
        match exchange(&self.client, target, &run, left).await {
            ExchangeResult::Response(reply, load) => {
                self.note_load(scheduler, target, load);
                Next::Answer(Box::new(relay(*reply, lease, &run.id)))
            }
            ExchangeResult::Stored(answer) => {
                lease.complete();
                Next::Answer(Box::new(kept(answer, &run.id)))
            }
            ExchangeResult::NotRun(refusal, load) => {
                self.note_load(scheduler, target, load);
                self.note_refusal(scheduler, target, refusal);
                if let Some(claim) = claim {
                    self.claims.void(claim);
                }
                if refusal == Some(Refusal::Full) {
                    return Next::Requeue;
                }
                let why = refusal.map_or("it cannot be reached".to_owned(), |r| r.to_string());
                let detail = format!("{} did not run it: {why}", target.vm);
                Next::Retry(Problem::not_run(503, "not run", detail).retry_after(FAILED_RETRY))
            }
            ExchangeResult::Crashed(crash) => {
                self.crashes.record_crash(&crash.id, &crash.fingerprints);
                lock(scheduler).record_failure(self.clock.now(), target.key);
                let detail = format!("the upstream of {} crashed while it ran", target.vm);
                let problem = Problem::failed(502, "upstream crashed", detail);
                match request.idempotent {
                    true => Next::Retry(problem),
                    false => Next::Answer(Box::new(finish(
                        Problem {
                            outcome: Outcome::Unknown,
                            ..problem
                        },
                        request,
                    ))),
                }
            }
            ExchangeResult::TimedOut => {
                let detail = "the upstream gave no answer before the deadline";
                let problem = Problem::unknown(504, "deadline passed", detail);
                Next::Answer(Box::new(finish(problem.retry_after(FAILED_RETRY), request)))
            }
            ExchangeResult::Unknown(cause) => {
                lock(scheduler).record_failure(self.clock.now(), target.key);
                let detail = format!("{} gave no answer: {cause}", target.vm);
                let problem = Problem::unknown(502, "upstream broke", detail);
                match request.idempotent {
                    true => Next::Retry(problem.retry_after(FAILED_RETRY)),
                    false => Next::Answer(Box::new(finish(problem, request))),
                }
            }
        }
    }

    /// `None` when the claimed run may start.
    async fn check_claim(&self, claim: &Claim, left: Duration, lease: &mut Lease) -> Option<Next> {
        let problem = match self.claims.check(claim, left).await {
            ClaimStep::Run => return None,
            ClaimStep::Replay(answer) => {
                lease.complete();
                return Some(Next::Answer(Box::new(kept(answer, &claim.run))));
            }
            step => claim_problem(&step),
        };
        self.claims.void(claim.clone());
        Some(Next::Answer(Box::new(problem.into())))
    }

    fn note_load(&self, scheduler: &SharedScheduler, target: &Target, load: Option<Load>) {
        if let Some(load) = load {
            lock(scheduler).record_load(self.clock.now(), target.key, load);
        }
    }

    fn note_refusal(&self, scheduler: &SharedScheduler, target: &Target, refusal: Option<Refusal>) {
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

    fn run_request(
        &self,
        request: &CallerRequest,
        target: &Target,
        number: Number,
        left: Duration,
    ) -> RunRequest {
        let Number { id, sent, .. } = number;
        RunRequest {
            id: RunId::from(format!("{}-{:x}-{id}-{sent}", self.vm, self.process)),
            ticket: target.ticket,
            method: request.method.clone(),
            path: request.path.clone(),
            media_type: request.media_type.clone(),
            account: request.account.clone(),
            idempotent: request.idempotent,
            priority: request.priority,
            remaining: left,
            fingerprint: number.fingerprint,
            suspect: number.suspect,
            body: request.body.clone(),
        }
    }
}

fn quarantined(left: Duration) -> Problem {
    let detail = "upstreams crashed while they ran this request; change it before sending it again";
    Problem::not_run(422, "quarantined", detail).retry_after(left)
}

fn claim_problem(step: &ClaimStep) -> Problem {
    match step {
        ClaimStep::InProgress => {
            let detail = "the same request is running; send it again for its answer";
            Problem::unknown(409, "in progress", detail).retry_after(FAILED_RETRY)
        }
        ClaimStep::Mismatch => {
            let detail = "the idempotency key belongs to another request; use a new key";
            Problem::not_run(422, "key in use", detail)
        }
        ClaimStep::Unknown => {
            let detail =
                "an earlier attempt with this key may have run; look before you order again";
            Problem::unknown(502, "earlier attempt", detail)
        }
        _ => {
            let detail = "the platform's log does not answer; send the request again later";
            Problem::not_run(503, "log not available", detail).retry_after(LOG_RETRY)
        }
    }
}

/// An idempotent request that may have run can simply be sent again.
fn finish(problem: Problem, request: &CallerRequest) -> Response {
    log::debug!(
        "dispatch: {} request ended as {}",
        request.service,
        problem.outcome
    );
    problem.into()
}

fn relay(reply: CallResponse, lease: Lease, id: &RunId) -> Response {
    let status = reply
        .header(headers::UPSTREAM_STATUS)
        .and_then(|s| s.parse::<u16>().ok())
        .and_then(|s| StatusCode::try_from(s).ok())
        .unwrap_or(StatusCode::BadGateway);
    let mut res = Response::new(status);
    let media_type = reply
        .header("content-type")
        .unwrap_or("application/octet-stream");
    let media_type = media_type.to_owned();
    if let Some(version) = reply.header(headers::MODEL_VERSION) {
        res.insert_header(headers::MODEL_VERSION, version);
    }
    let body = reply.into_body();
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

fn kept(answer: UpstreamResponse, id: &RunId) -> Response {
    let status = StatusCode::try_from(answer.status).unwrap_or(StatusCode::BadGateway);
    let mut res = Response::new(status);
    res.set_body(answer.body);
    res.insert_header("content-type", answer.media_type.as_str());
    res.insert_header("request-id", id.as_str());
    res
}
