use std::sync::Arc;
use std::time::Duration;

use async_channel::bounded;
use bytes::Bytes;
use dispatch::{ConfigStatus, ConnectionEnd, EventSplitter, NextCheck, StartId, Verdict};
use domain::{Dialect, Platform, RequestKind, Target, UpstreamId, millis, now};
use feed::Feed;
use futures_lite::FutureExt;
use http::{Response, header};
use serde_json::json;
use telemetry::{Outcome, decision, due, write};
use transport::{CloseSignal, Connection, Exchange, Pool, spawn, with_timeout};

use crate::ResponseBody;
use crate::body_buffers::BodyBuffers;
use crate::caller_request::CallerRequest;
use crate::connection_use::ConnectionUse;
use crate::failed_exchange::FailedExchange;
use crate::lease::Lease;
use crate::refusal::Refusal;
use crate::relay::Relay;
use crate::scheduler::{AcquireOutcome, Scheduler, start_id};
use crate::send::{CONNECT_TIMEOUT, NotRun, STREAM_TIMEOUT, SendOutcome, UnreadResponse, send};
use crate::shortage::Shortage;

/// Longest response that is buffered before it is passed on, in bytes.
const MAX_RESPONSE: usize = 8 << 20;
/// Most attempts to send one request, including those that upstreams refuse.
const MAX_ATTEMPTS: usize = 4;
/// Advised wait when it does not follow from the queue.
const DEFAULT_BUSY_WAIT: Duration = Duration::from_millis(900);
/// Chunks of a stream that are buffered for a slow caller.
const BUFFERED_CHUNKS: usize = 8;
/// Added to the failure rate of an upstream for a response with status 5xx.
const SERVER_ERROR_PENALTY: f64 = 0.02;

/// Sends requests to upstreams, retries them and returns the responses.
pub struct Dispatcher<P: Platform> {
    pub(crate) platform: P,
    pub(crate) feed: Arc<Feed<P>>,
    pub(crate) scheduler: Arc<Scheduler<P>>,
    pub(crate) connections: Pool,
    pub(crate) body_buffers: BodyBuffers,
    /// Set when the process ends: requests in flight get their final responses.
    pub(crate) ending: CloseSignal,
}

/// What follows an attempt.
enum AttemptOutcome {
    /// Return the response.
    Respond(Response<ResponseBody>),
    /// Try another upstream; refuse the request if there is none.
    Retry(Refusal),
    /// Refuse the request.
    Refuse(Refusal),
}

/// Attempts at a request so far.
#[derive(Default)]
struct Progress {
    /// Upstreams that were tried, including unreachable ones.
    tried: Vec<UpstreamId>,
    /// Attempts that may have run.
    runs: u32,
    /// Attempts that reached an upstream.
    attempts: usize,
    /// The request may be running or may have run.
    may_have_run: bool,
    /// Final response if no further attempt succeeds.
    refusal: Option<Refusal>,
    /// Response with status 5xx, returned if no further attempt succeeds.
    server_error: Option<Response<ResponseBody>>,
    /// Why no upstream had a free slot.
    shortage: Option<Shortage>,
}

impl Progress {
    /// Records why an attempt failed. A refusal for a request that may have run is not
    /// replaced.
    fn record_failure(&mut self, refusal: Refusal) {
        match self.refusal {
            Some(Refusal::Broken | Refusal::TimedOut | Refusal::Cancelled) => {}
            _ => self.refusal = Some(refusal),
        }
    }
}

impl<P: Platform> Dispatcher<P> {
    /// Processes a request until its response, its deadline, or the end of the process.
    pub async fn dispatch(self: &Arc<Self>, request: CallerRequest) -> Response<ResponseBody> {
        let request = Arc::new(request);
        let mut progress = Progress::default();
        let remaining = request.remaining(now());
        let attempts = with_timeout(remaining, self.run_attempts(&request, &mut progress));
        let ending = async {
            self.ending.wait().await;
            None
        };
        let response = attempts.or(ending).await;
        response.unwrap_or_else(|| {
            // The attempt in flight was cancelled when its future was dropped.
            let refusal = match progress.may_have_run {
                true => Refusal::TimedOut,
                false => Refusal::OutOfTime,
            };
            self.refuse(&request, refusal, &progress)
        })
    }

    /// Tries upstreams until one responds or a limit is reached.
    async fn run_attempts(
        self: &Arc<Self>,
        request: &Arc<CallerRequest>,
        progress: &mut Progress,
    ) -> Response<ResponseBody> {
        self.scheduler.count_request(&request.service);
        let refusal = loop {
            if let Some(refusal) = self.refusal_before_send(request, progress) {
                break refusal;
            }
            let acquired = async { Some(self.scheduler.acquire(request, &progress.tried).await) };
            let abandoned = async {
                request.abandoned().await;
                None
            };
            let lease = match acquired.or(abandoned).await {
                None => break Refusal::Abandoned,
                Some(AcquireOutcome::Leased(lease)) => lease,
                Some(AcquireOutcome::Refused(shortage)) => {
                    progress.shortage = Some(shortage);
                    break Refusal::Busy(shortage.retry_after);
                }
            };
            // The verdict may have changed while the request was queued.
            if self.scheduler.verdict(&request.features) == Verdict::Refuse {
                break Refusal::Quarantined;
            }
            if progress.attempts > 0 && !self.scheduler.take_retry(&request.service) {
                break Refusal::Busy(DEFAULT_BUSY_WAIT);
            }
            match self
                .attempt_unless_abandoned(request, lease, progress)
                .await
            {
                AttemptOutcome::Respond(response) => return response,
                AttemptOutcome::Refuse(refusal) => break refusal,
                AttemptOutcome::Retry(refusal) => progress.record_failure(refusal),
            }
        };
        progress.record_failure(refusal);
        if let Some(response) = progress.server_error.take() {
            return response;
        }
        self.refuse(request, progress.refusal.unwrap_or(refusal), progress)
    }

    /// Reason not to send the request, if there is one.
    fn refusal_before_send(&self, request: &CallerRequest, progress: &Progress) -> Option<Refusal> {
        if request.head.api_key.is_some() && self.feed.config_status() == ConfigStatus::Expired {
            return Some(Refusal::NotReady);
        }
        if self.scheduler.verdict(&request.features) == Verdict::Refuse {
            return Some(Refusal::Quarantined);
        }
        if request.is_abandoned() {
            return Some(Refusal::Abandoned);
        }
        let exhausted =
            progress.runs >= request.route.max_attempts || progress.attempts >= MAX_ATTEMPTS;
        exhausted.then_some(Refusal::Busy(DEFAULT_BUSY_WAIT))
    }

    /// Sends the request to the leased upstream. A retryable one is cancelled when its
    /// caller may have left; the outcome of another matters to its caller in any case.
    async fn attempt_unless_abandoned(
        self: &Arc<Self>,
        request: &Arc<CallerRequest>,
        lease: Lease<P>,
        progress: &mut Progress,
    ) -> AttemptOutcome {
        let attempt = self.attempt(request, lease, progress);
        if !request.route.kind.is_retryable() {
            return attempt.await;
        }
        let abandoned = async {
            request.abandoned().await;
            AttemptOutcome::Refuse(Refusal::Cancelled)
        };
        attempt.or(abandoned).await
    }

    /// Sends the request to the leased upstream.
    async fn attempt(
        self: &Arc<Self>,
        request: &Arc<CallerRequest>,
        lease: Lease<P>,
        progress: &mut Progress,
    ) -> AttemptOutcome {
        progress.tried.push(lease.target.id.clone());
        progress.attempts += 1;
        // From here on the request may run unless the outcome proves that it did not.
        let ran_before = std::mem::replace(&mut progress.may_have_run, true);
        match send(&self.platform, &self.connections, request, &lease, None).await {
            SendOutcome::Response(response) => {
                progress.runs += 1;
                let success = response.exchange.head.status.is_success();
                if request.route.kind.is_stream() && success {
                    let tried = std::mem::take(&mut progress.tried);
                    let runs = progress.runs;
                    let response = self.stream(request, response, lease, tried, runs);
                    return AttemptOutcome::Respond(response);
                }
                self.buffer(request, *response, lease, progress).await
            }
            SendOutcome::NotRun(why) => {
                progress.may_have_run = ran_before;
                self.handle_not_run(request, &lease, why, progress)
            }
            SendOutcome::Unknown(failed) => {
                progress.runs += 1;
                self.exchange_ended(request, &lease, ConnectionEnd::Broken);
                self.handle_unknown(request, &lease, &failed)
            }
            SendOutcome::Silent(failed) => {
                progress.runs += 1;
                self.handle_unknown(request, &lease, &failed)
            }
            SendOutcome::TimedOut => {
                self.scheduler
                    .with_upstream(&lease, |u| u.record_failure(now()));
                AttemptOutcome::Refuse(Refusal::TimedOut)
            }
        }
    }

    /// Handles an attempt that did not run.
    fn handle_not_run(
        &self,
        request: &CallerRequest,
        lease: &Lease<P>,
        why: NotRun,
        progress: &mut Progress,
    ) -> AttemptOutcome {
        let now = now();
        match why {
            NotRun::Unreachable => {
                self.scheduler
                    .with_upstream(lease, |u| u.record_failure(now));
                self.scheduler
                    .connection_refused(start_id(lease), &lease.target.id);
                // The upstream received nothing, so it does not count as an attempt.
                progress.attempts -= 1;
            }
            // The upstream has received nothing. A reset of one connection, or an entry that
            // was too slow, does not show that it is down.
            NotRun::Unsent | NotRun::Outdated => {
                self.scheduler.with_upstream(lease, |u| u.record_full(now));
                progress.attempts -= 1;
            }
            NotRun::Closed => {
                // It may accept the request while there is still time.
                progress.tried.pop();
                progress.attempts -= 1;
            }
            NotRun::Refused => {
                self.scheduler.with_upstream(lease, |u| u.record_full(now));
            }
            NotRun::Misdirected => {
                self.scheduler
                    .with_upstream(lease, |u| u.record_failure(now));
            }
            NotRun::Late => return AttemptOutcome::Refuse(Refusal::OutOfTime),
            NotRun::Abandoned => return AttemptOutcome::Refuse(Refusal::Abandoned),
        }
        let fields = json!({
            "request": request.head.attempt,
            "upstream": lease.target.id,
            "why": format!("{why:?}"),
            "connections": self.connection_use(lease).fields(),
        });
        decision("dispatch", "not run", Outcome::Failure, fields);
        if progress.tried.len() > 2 * MAX_ATTEMPTS {
            return AttemptOutcome::Refuse(Refusal::Busy(DEFAULT_BUSY_WAIT));
        }
        AttemptOutcome::Retry(Refusal::Busy(DEFAULT_BUSY_WAIT))
    }

    /// Handles an attempt with unknown outcome.
    fn handle_unknown(
        &self,
        request: &CallerRequest,
        lease: &Lease<P>,
        failed: &FailedExchange,
    ) -> AttemptOutcome {
        failed.count();
        self.scheduler
            .with_upstream(lease, |u| u.record_failure(now()));
        let fields = json!({
            "request": request.head.attempt,
            "upstream": lease.target.id,
            "parts": request.part_ids(),
            "age_ms": millis(now().saturating_sub(request.arrived)),
            "cause": failed.cause,
            "reused": failed.reused,
            "connections": self.connection_use(lease).fields(),
            "why": failed.why,
        });
        decision("dispatch", "outcome unknown", Outcome::Failure, fields);
        after_unknown(request)
    }

    /// Connections to the leased upstream, for decision lines.
    fn connection_use(&self, lease: &Lease<P>) -> ConnectionUse {
        let idle = self.connections.idle_count(lease.target.addr);
        self.scheduler.connection_use(lease, idle)
    }

    /// Reads the complete response before it is passed on, so that a truncated one is
    /// detected and can be replaced.
    async fn buffer(
        self: &Arc<Self>,
        request: &CallerRequest,
        response: UnreadResponse,
        lease: Lease<P>,
        progress: &mut Progress,
    ) -> AttemptOutcome {
        let UnreadResponse {
            exchange,
            response_head,
            reused,
        } = response;
        let Exchange { head, mut body } = exchange;
        let mut memory = self.body_buffers.reserve();
        let mut fits = true;
        let accept = |len| {
            fits = memory.grow_to(len);
            fits && len <= MAX_RESPONSE
        };
        let bytes = match body.collect_while(accept).await {
            Ok(bytes) => bytes,
            Err(e) if !fits => {
                let fields = json!({
                    "request": request.head.attempt,
                    "upstream": lease.target.id,
                    "why": e.to_string(),
                });
                decision("dispatch", "no memory", Outcome::Failure, fields);
                return after_unknown(request);
            }
            Err(e) => {
                self.exchange_ended(request, &lease, ConnectionEnd::Broken);
                let failed = FailedExchange::new(&e, reused);
                return self.handle_unknown(request, &lease, &failed);
            }
        };
        if !response_head.closing {
            let max_idle = self.scheduler.idle_share(&lease);
            body.release(&self.connections, response_head.keep_alive, max_idle);
        }
        self.record_completion(request, &lease, now().saturating_sub(request.arrived));
        let headers = self.platform.dialect().caller_headers(&head);
        let response = assemble(&head, headers, ResponseBody::buffered(bytes, Some(memory)));
        if !head.status.is_server_error() {
            self.request_completed(request, &lease, &head);
            return AttemptOutcome::Respond(response);
        }
        self.scheduler
            .with_upstream(&lease, |u| u.failure_rate += SERVER_ERROR_PENALTY);
        if request.route.kind != RequestKind::Safe {
            return AttemptOutcome::Respond(response);
        }
        // Another upstream may succeed; otherwise this response is returned.
        progress.server_error.get_or_insert(response);
        AttemptOutcome::Retry(Refusal::Broken)
    }

    /// Starts to pass a stream on; the relay runs as a task of the response body.
    fn stream(
        self: &Arc<Self>,
        request: &Arc<CallerRequest>,
        response: Box<UnreadResponse>,
        lease: Lease<P>,
        tried: Vec<UpstreamId>,
        runs: u32,
    ) -> Response<ResponseBody> {
        let head = response.exchange.head.clone();
        let mut headers = self.platform.dialect().caller_headers(&head);
        headers.remove(header::CONTENT_LENGTH);
        let (sender, chunks) = bounded::<Result<Bytes, crate::ResponseAborted>>(BUFFERED_CHUNKS);
        let relay = Relay {
            dispatcher: self.clone(),
            request: request.clone(),
            response,
            lease,
            tried,
            runs,
            events: EventSplitter::default(),
            event_due: now() + STREAM_TIMEOUT,
        };
        let body = ResponseBody::streamed(chunks, spawn(relay.run(sender)));
        assemble(&head, headers, body)
    }

    /// Resumes a broken stream after the event `last_id` at another upstream; `None`
    /// if no upstream takes it over. `runs` counts the upstreams that may have run the
    /// request.
    pub async fn resume(
        self: &Arc<Self>,
        request: &CallerRequest,
        tried: &mut Vec<UpstreamId>,
        runs: &mut u32,
        last_id: Option<&str>,
    ) -> Option<(Box<UnreadResponse>, Lease<P>)> {
        for _ in 0..MAX_ATTEMPTS {
            if *runs >= request.route.max_attempts {
                return None;
            }
            let AcquireOutcome::Leased(lease) = self.scheduler.acquire(request, tried).await else {
                return None;
            };
            if self.must_not_resume(request) {
                return None;
            }
            if !self.scheduler.take_retry(&request.service) {
                return None;
            }
            match send(&self.platform, &self.connections, request, &lease, last_id).await {
                SendOutcome::Response(response) if response.exchange.head.status.is_success() => {
                    *runs += 1;
                    tried.push(lease.target.id.clone());
                    return Some((response, lease));
                }
                SendOutcome::NotRun(NotRun::Unreachable) => {
                    self.scheduler
                        .with_upstream(&lease, |u| u.record_failure(now()));
                    self.scheduler
                        .connection_refused(start_id(&lease), &lease.target.id);
                }
                SendOutcome::NotRun(NotRun::Closed) => {}
                SendOutcome::NotRun(_) => {
                    self.scheduler
                        .with_upstream(&lease, |u| u.record_full(now()));
                }
                outcome => {
                    *runs += 1;
                    tried.push(lease.target.id.clone());
                    self.scheduler
                        .with_upstream(&lease, |u| u.record_failure(now()));
                    if let SendOutcome::Unknown(_) = outcome {
                        self.exchange_ended(request, &lease, ConnectionEnd::Broken);
                    }
                }
            }
        }
        None
    }

    /// Whether the key may have been revoked, the caller may have left, or the request is
    /// quarantined.
    fn must_not_resume(&self, request: &CallerRequest) -> bool {
        let expired =
            request.head.api_key.is_some() && self.feed.config_status() == ConfigStatus::Expired;
        expired
            || request.is_abandoned()
            || self.scheduler.verdict(&request.features) == Verdict::Refuse
    }

    /// Records that the connection of a request ended, and finds out whether its upstream
    /// crashed.
    pub fn exchange_ended(
        self: &Arc<Self>,
        request: &CallerRequest,
        lease: &Lease<P>,
        end: ConnectionEnd,
    ) {
        let start = start_id(lease);
        if self.scheduler.exchange_ended(request, lease, end) == NextCheck::Connect {
            let (dispatcher, target) = (self.clone(), lease.target.clone());
            let max_idle = self.scheduler.idle_share(lease);
            spawn(async move { dispatcher.check_upstream(start, &target, max_idle).await })
                .detach();
        }
    }

    /// Records that a request was answered. A response without a length may have ended
    /// in a crash.
    pub fn request_completed(
        self: &Arc<Self>,
        request: &CallerRequest,
        lease: &Lease<P>,
        head: &http::response::Parts,
    ) {
        if request.has_shared_parts() && is_undelimited(head) {
            self.exchange_ended(request, lease, ConnectionEnd::Undelimited);
        } else {
            self.scheduler.request_completed(request, lease);
        }
    }

    /// Connects to an upstream to learn whether it crashed. A connection that it accepts
    /// is kept for later requests.
    async fn check_upstream(&self, start: StartId, target: &Target, max_idle: usize) {
        loop {
            match Connection::open(target.addr, CONNECT_TIMEOUT).await {
                Ok(connection) => self.connections.put(connection, max_idle),
                Err(e) => {
                    log::debug!("gateway: {e}");
                    return self.scheduler.connection_refused(start, &target.id);
                }
            }
            if self.scheduler.connection_accepted(start) == NextCheck::None {
                return;
            }
        }
    }

    /// Records a completed request with the upstream, in metrics and in logs.
    pub fn record_completion(&self, request: &CallerRequest, lease: &Lease<P>, took: Duration) {
        self.scheduler.with_upstream(lease, |u| u.record_success());
        metrics::histogram!("turmerichold_request_duration_seconds").record(took.as_secs_f64());
        if let Some(first) = lease.first_event {
            let first = first.saturating_sub(request.arrived).as_secs_f64();
            metrics::histogram!("turmerichold_first_event_seconds").record(first);
        }
        if let Some(left_out) = due("dispatch", "answered", Outcome::Success) {
            let fields = json!({
                "request": request.head.attempt,
                "route": request.route.name,
                "upstream": lease.target.id,
                "age_ms": millis(request.arrived.saturating_sub(request.first_attempt)),
                "waited_ms": millis(lease.leased_at.saturating_sub(request.arrived)),
                "first_ms": lease.first_event.map(|at| millis(at.saturating_sub(request.arrived))),
                "took_ms": millis(took),
                "prompt": request.head.tokens.map(|t| t.prompt),
                "expected": request.head.expected_tokens,
                "weights": lease.weight_version,
            });
            write("dispatch", "answered", left_out, fields);
        }
    }

    /// Logs a refusal and returns its response.
    fn refuse(
        &self,
        request: &CallerRequest,
        refusal: Refusal,
        progress: &Progress,
    ) -> Response<ResponseBody> {
        metrics::counter!("turmerichold_refusals_total", "reason" => refusal.name()).increment(1);
        if let Some(left_out) = due("dispatch", refusal.name(), Outcome::Failure) {
            let wait = match refusal {
                Refusal::Busy(wait) => Some(millis(wait)),
                _ => None,
            };
            let shortage = progress.shortage.map(|s| {
                json!({
                    "waiting": s.waiting, "listed": s.listed, "closed": s.closed, "open": s.open,
                    "in_flight": s.load.0, "slots": s.load.1, "weights": s.min_weight_version,
                })
            });
            let (config_version, age) = self.feed.config_age();
            let fields = json!({
                "request": request.head.attempt,
                "route": request.route.name,
                "plan": config_version,
                "plan_age_ms": age.map(millis),
                "shortage": shortage,
                "status": refusal.status().as_u16(),
                "tried": progress.tried,
                "age_ms": millis(now().saturating_sub(request.arrived)),
                "left_ms": millis(request.remaining(now())),
                "retry_after_ms": wait,
            });
            write("dispatch", refusal.name(), left_out, fields);
        }
        refusal.response(self.platform.dialect())
    }
}

/// What follows an attempt that may have run.
fn after_unknown(request: &CallerRequest) -> AttemptOutcome {
    match request.route.kind.is_retryable() {
        true => AttemptOutcome::Retry(Refusal::Broken),
        false => AttemptOutcome::Refuse(Refusal::Broken),
    }
}

/// Whether only the end of the connection ends the body of a response.
fn is_undelimited(head: &http::response::Parts) -> bool {
    let headers = &head.headers;
    !headers.contains_key(header::CONTENT_LENGTH)
        && !headers.contains_key(header::TRANSFER_ENCODING)
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
