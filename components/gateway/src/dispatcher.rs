use std::sync::Arc;
use std::time::Duration;

use async_channel::bounded;
use bytes::Bytes;
use dispatch::{EventSplitter, Standing, Verdict};
use domain::{Dialect, Platform, RequestKind, UpstreamId, millis, now};
use feed::Feed;
use http::Response;
use serde_json::json;
use telemetry::{Outcome, decision, due, write};
use transport::{Exchange, Pool, spawn, within};

use crate::ResponseBody;
use crate::caller_request::CallerRequest;
use crate::lease::Lease;
use crate::refusal::Refusal;
use crate::relay::Relay;
use crate::scheduler::{AcquireOutcome, Scheduler};
use crate::send::{Answered, NotRun, Sent, send};
use crate::shortage::Shortage;

/// Longest answer that is collected before it is passed on, in bytes.
const ANSWER_LIMIT: usize = 8 << 20;
/// Most upstreams that one request is offered to, refusals included.
const MAX_OFFERS: usize = 4;
/// Advised wait where the queue knows none.
const DEFAULT_BUSY_WAIT: Duration = Duration::from_millis(900);

/// Parts of a stream that may wait for a slow caller.
const PARTS_AHEAD: usize = 8;
/// Added to an upstream's failure rate for a failure of its own.
const OWN_FAILURE_PENALTY: f64 = 0.02;

/// Carries requests to upstreams.
pub struct Dispatcher<P: Platform> {
    pub(crate) platform: P,
    pub(crate) feed: Arc<Feed<P>>,
    pub(crate) scheduler: Arc<Scheduler<P>>,
    pub(crate) pool: Pool,
}

enum Step {
    Done(Response<ResponseBody>),
    Again(Refusal),
    Final(Refusal),
}

/// What has become of a request so far.
#[derive(Default)]
struct Course {
    tried: Vec<UpstreamId>,
    runs: u32,
    offers: usize,
    /// It may be running, or has run.
    sent: bool,
    /// What the caller is told if no further attempt succeeds.
    worst: Option<Refusal>,
    /// An upstream's own failure, passed on if no further attempt succeeds.
    failure: Option<Response<ResponseBody>>,
    /// Why no place was found.
    shortage: Option<Shortage>,
}

impl Course {
    /// Records why an attempt did not succeed. One that may have run is never
    /// followed by "not run".
    fn note(&mut self, refusal: Refusal) {
        match self.worst {
            Some(Refusal::Broken | Refusal::TimedOut) => {}
            _ => self.worst = Some(refusal),
        }
    }
}

impl<P: Platform> Dispatcher<P> {
    /// Answers one request.
    pub async fn dispatch(self: &Arc<Self>, request: CallerRequest) -> Response<ResponseBody> {
        let request = Arc::new(request);
        let mut course = Course::default();
        let left = request.remaining(now());
        let answer = within(left, self.attempts(&request, &mut course)).await;
        answer.unwrap_or_else(|| {
            // Whatever was in flight is cancelled by now.
            let refusal = match course.sent {
                true => Refusal::TimedOut,
                false => Refusal::OutOfTime,
            };
            self.refuse(&request, refusal, &course)
        })
    }

    async fn attempts(
        self: &Arc<Self>,
        request: &Arc<CallerRequest>,
        course: &mut Course,
    ) -> Response<ResponseBody> {
        self.scheduler.count_request(&request.service);
        let refusal = loop {
            if let Some(refusal) = self.stop(request, course) {
                break refusal;
            }
            let lease = match self.scheduler.acquire(request, &course.tried).await {
                AcquireOutcome::Leased(lease) => lease,
                AcquireOutcome::Refused(shortage) => {
                    course.shortage = Some(shortage);
                    break Refusal::Busy(shortage.retry_after);
                }
            };
            if course.offers > 0 && !self.scheduler.take_retry(&request.service) {
                break Refusal::Busy(DEFAULT_BUSY_WAIT);
            }
            match self.attempt(request, lease, course).await {
                Step::Done(response) => return response,
                Step::Final(refusal) => break refusal,
                Step::Again(refusal) => course.note(refusal),
            }
        };
        course.note(refusal);
        if let Some(failure) = course.failure.take() {
            return failure;
        }
        self.refuse(request, course.worst.unwrap_or(refusal), course)
    }

    /// Why the request must not be sent now, if so.
    fn stop(&self, request: &CallerRequest, course: &Course) -> Option<Refusal> {
        if request.ask.key.is_some() && self.feed.standing() == Standing::Expired {
            return Some(Refusal::NotReady);
        }
        if self.scheduler.verdict(request.fingerprint) == Verdict::Refuse {
            return Some(Refusal::Quarantined);
        }
        let over = course.runs >= request.route.attempts || course.offers >= MAX_OFFERS;
        over.then_some(Refusal::Busy(DEFAULT_BUSY_WAIT))
    }

    /// Sends the request to one upstream.
    async fn attempt(
        self: &Arc<Self>,
        request: &Arc<CallerRequest>,
        lease: Lease<P>,
        course: &mut Course,
    ) -> Step {
        course.tried.push(lease.target.id.clone());
        course.offers += 1;
        // Until it is proven otherwise the request may run from here on.
        let before = std::mem::replace(&mut course.sent, true);
        match send(&self.platform, &self.pool, request, &lease, None).await {
            Sent::Answer(answered) => {
                course.runs += 1;
                let success = answered.exchange.head.status.is_success();
                if request.route.kind.is_stream() && success {
                    let tried = std::mem::take(&mut course.tried);
                    return Step::Done(self.stream(request, answered, lease, tried));
                }
                self.collect(request, *answered, lease, course).await
            }
            Sent::NotRun(why) => {
                course.sent = before;
                self.not_run(request, &lease, why, course)
            }
            Sent::Unknown(why) => {
                course.runs += 1;
                self.scheduler.exchange_broken(&lease, request.fingerprint);
                self.unknown(request, &lease, &why)
            }
            Sent::Silent(why) => {
                course.runs += 1;
                self.unknown(request, &lease, &why)
            }
            Sent::TimedOut => {
                self.scheduler.with_upstream(&lease, |s| s.failed(now()));
                Step::Final(Refusal::TimedOut)
            }
        }
    }

    fn not_run(
        &self,
        request: &CallerRequest,
        lease: &Lease<P>,
        why: NotRun,
        course: &mut Course,
    ) -> Step {
        let now = now();
        match why {
            NotRun::Unreachable => {
                self.scheduler.with_upstream(lease, |s| s.failed(now));
                self.scheduler.connection_refused(lease);
                // Nothing arrived, so it is no repeat.
                course.offers -= 1;
            }
            NotRun::Refused => {
                self.scheduler.with_upstream(lease, |s| s.full(now));
            }
            NotRun::Misdirected => {
                self.scheduler.with_upstream(lease, |s| s.failed(now));
            }
            NotRun::Late => return Step::Final(Refusal::OutOfTime),
        }
        let fields = json!({
            "request": request.ask.attempt,
            "upstream": lease.target.id,
            "why": format!("{why:?}"),
        });
        decision("dispatch", "not run", Outcome::Failure, fields);
        if course.tried.len() > 2 * MAX_OFFERS {
            return Step::Final(Refusal::Busy(DEFAULT_BUSY_WAIT));
        }
        Step::Again(Refusal::Busy(DEFAULT_BUSY_WAIT))
    }

    fn unknown(&self, request: &CallerRequest, lease: &Lease<P>, why: &str) -> Step {
        self.scheduler.with_upstream(lease, |s| s.failed(now()));
        let fields = json!({
            "request": request.ask.attempt,
            "upstream": lease.target.id,
            "age_ms": millis(now().saturating_sub(request.arrived)),
            "why": why,
        });
        decision("dispatch", "outcome unknown", Outcome::Failure, fields);
        match request.route.kind.is_repeatable() {
            true => Step::Again(Refusal::Broken),
            false => Step::Final(Refusal::Broken),
        }
    }

    /// Reads an answer whole before it is passed on, so that a cut one can be
    /// told from a complete one.
    async fn collect(
        &self,
        request: &CallerRequest,
        answered: Answered,
        lease: Lease<P>,
        course: &mut Course,
    ) -> Step {
        let Answered { exchange, reply } = answered;
        let Exchange { head, mut body } = exchange;
        let bytes = match body.collect(ANSWER_LIMIT).await {
            Ok(bytes) => bytes,
            Err(e) => {
                self.scheduler.exchange_broken(&lease, request.fingerprint);
                return self.unknown(request, &lease, &e.to_string());
            }
        };
        if !reply.closing {
            body.release(&self.pool, reply.keep);
        }
        self.answered(request, &lease, now().saturating_sub(request.arrived));
        let headers = self.platform.dialect().answer(&head);
        let response = assemble(&head, headers, ResponseBody::Buffered(Some(bytes)));
        if !head.status.is_server_error() {
            return Step::Done(response);
        }
        self.scheduler
            .with_upstream(&lease, |s| s.failures += OWN_FAILURE_PENALTY);
        if request.route.kind != RequestKind::Safe {
            return Step::Done(response);
        }
        // Another upstream may do better; if none does, this is the answer.
        course.failure.get_or_insert(response);
        Step::Again(Refusal::Broken)
    }

    fn stream(
        self: &Arc<Self>,
        request: &Arc<CallerRequest>,
        answered: Box<Answered>,
        lease: Lease<P>,
        tried: Vec<UpstreamId>,
    ) -> Response<ResponseBody> {
        let head = answered.exchange.head.clone();
        let mut headers = self.platform.dialect().answer(&head);
        headers.remove(http::header::CONTENT_LENGTH);
        let (sender, parts) = bounded::<Result<Bytes, crate::ResponseAborted>>(PARTS_AHEAD);
        let relay = Relay {
            dispatcher: self.clone(),
            request: request.clone(),
            answered,
            lease,
            tried,
            events: EventSplitter::default(),
        };
        let body = ResponseBody::Streamed {
            parts: Box::pin(parts),
            _relay: spawn(relay.run(sender)),
        };
        assemble(&head, headers, body)
    }

    /// Goes on with a broken stream at another upstream.
    pub async fn resume(
        self: &Arc<Self>,
        request: &CallerRequest,
        tried: &mut Vec<UpstreamId>,
        last: Option<&str>,
    ) -> Option<(Box<Answered>, Lease<P>)> {
        let attempts = usize::try_from(request.route.attempts).unwrap_or(usize::MAX);
        for _ in 0..MAX_OFFERS {
            if tried.len() >= attempts || self.stop_resume(request) {
                return None;
            }
            let AcquireOutcome::Leased(lease) = self.scheduler.acquire(request, tried).await else {
                return None;
            };
            if !self.scheduler.take_retry(&request.service) {
                return None;
            }
            match send(&self.platform, &self.pool, request, &lease, last).await {
                Sent::Answer(answered) if answered.exchange.head.status.is_success() => {
                    tried.push(lease.target.id.clone());
                    return Some((answered, lease));
                }
                Sent::NotRun(NotRun::Unreachable) => {
                    self.scheduler.with_upstream(&lease, |s| s.failed(now()));
                    self.scheduler.connection_refused(&lease);
                }
                Sent::NotRun(_) => {
                    self.scheduler.with_upstream(&lease, |s| s.full(now()));
                }
                outcome => {
                    tried.push(lease.target.id.clone());
                    self.scheduler.with_upstream(&lease, |s| s.failed(now()));
                    if let Sent::Unknown(_) = outcome {
                        self.scheduler.exchange_broken(&lease, request.fingerprint);
                    }
                }
            }
        }
        None
    }

    fn stop_resume(&self, request: &CallerRequest) -> bool {
        let expired = request.ask.key.is_some() && self.feed.standing() == Standing::Expired;
        expired || self.scheduler.verdict(request.fingerprint) == Verdict::Refuse
    }

    /// Records an answered request.
    pub fn answered(&self, request: &CallerRequest, lease: &Lease<P>, took: Duration) {
        self.scheduler.with_upstream(lease, |s| s.answered());
        self.scheduler.request_answered(lease, request.fingerprint);
        metrics::histogram!("turmerichold_request_duration_seconds").record(took.as_secs_f64());
        if let Some(first) = lease.first_event {
            let first = first.saturating_sub(request.arrived).as_secs_f64();
            metrics::histogram!("turmerichold_first_event_seconds").record(first);
        }
        if let Some(left_out) = due("dispatch", "answered", Outcome::Success) {
            let fields = json!({
                "request": request.ask.attempt,
                "route": request.route.name,
                "upstream": lease.target.id,
                "age_ms": millis(request.arrived.saturating_sub(request.first_sent)),
                "waited_ms": millis(lease.leased_at.saturating_sub(request.arrived)),
                "first_ms": lease.first_event.map(|at| millis(at.saturating_sub(request.arrived))),
                "took_ms": millis(took),
                "prompt": request.ask.tokens.map(|t| t.prompt),
                "expected": request.ask.expected,
            });
            write("dispatch", "answered", left_out, fields);
        }
    }

    fn refuse(
        &self,
        request: &CallerRequest,
        refusal: Refusal,
        course: &Course,
    ) -> Response<ResponseBody> {
        metrics::counter!("turmerichold_refusals_total", "reason" => refusal.name()).increment(1);
        if let Some(left_out) = due("dispatch", refusal.name(), Outcome::Failure) {
            let wait = match refusal {
                Refusal::Busy(wait) => Some(millis(wait)),
                _ => None,
            };
            let shortage = course.shortage.map(|s| {
                json!({
                    "waiting": s.waiting, "listed": s.listed, "open": s.open,
                    "in_flight": s.load.0, "slots": s.load.1, "weights": s.weights,
                })
            });
            let (plan, age) = self.feed.plan_age();
            let fields = json!({
                "request": request.ask.attempt,
                "route": request.route.name,
                "plan": plan,
                "plan_age_ms": age.map(millis),
                "shortage": shortage,
                "status": refusal.status().as_u16(),
                "tried": course.tried,
                "age_ms": millis(now().saturating_sub(request.arrived)),
                "left_ms": millis(request.remaining(now())),
                "retry_after_ms": wait,
            });
            write("dispatch", refusal.name(), left_out, fields);
        }
        refusal.response(self.platform.dialect())
    }
}

fn assemble(
    head: &http::response::Parts,
    headers: http::HeaderMap,
    body: ResponseBody,
) -> Response<ResponseBody> {
    let mut response = Response::new(body);
    *response.status_mut() = head.status;
    *response.headers_mut() = headers;
    response
}
