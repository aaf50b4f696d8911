use std::future::{Future, pending};
use std::sync::{Arc, OnceLock};
use std::time::Duration;

use async_channel::bounded;
use bytes::Bytes;
use dispatch::{Attempts, ConfigStatus, EventSplitter, Verdict};
use domain::{Dialect, Moment, Platform, RequestKind, now};
use feed::Feed;
use futures_lite::FutureExt;
use http::{Response, header};
use serde_json::json;
use smol::Timer;
use telemetry::{Outcome, decision};
use transport::{CloseSignal, Exchange, Pool, spawn, with_timeout};

use crate::ResponseBody;
use crate::attempt::Attempt;
use crate::body_buffers::BodyBuffers;
use crate::caller_request::CallerRequest;
use crate::connection_use::ConnectionUse;
use crate::failed_exchange::FailedExchange;
use crate::lease::Lease;
use crate::progress::Progress;
use crate::race::Race;
use crate::refusal::Refusal;
use crate::relay::Relay;
use crate::run::{ReadOutcome, Run};
use crate::scheduler::{AcquireOutcome, Scheduler};
use crate::send::{NotRun, SendOutcome, UnreadResponse};
use crate::shortage::Shortage;
use crate::silence::silence_limit;
use crate::stage::{BodyError, BufferedBody, Stage, StageEnd};

/// Advised wait when it does not follow from the queue.
const DEFAULT_BUSY_WAIT: Duration = Duration::from_millis(900);
/// Longest request that is accepted out of rotation. Each delays the successor by its time
/// at most.
const LATE_REQUEST: Duration = Duration::from_secs(1);
/// Advised wait while another entry accepts requests.
const OTHER_ENTRY_WAIT: Duration = Duration::from_millis(50);
/// Time from the end of an entry until its successor accepts requests.
const START_TIME: Duration = Duration::from_secs(1);
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
    /// Set once the entry has left the rotation.
    pub(crate) accepts_until: OnceLock<Moment>,
}

/// What follows an attempt.
enum AttemptOutcome<P: Platform> {
    /// Return the response.
    Respond(Response<ResponseBody>),
    /// Go on with the next part of the attempt.
    Continue(Stage<P>),
    /// Try another upstream; refuse the request if there is none.
    Retry(Refusal),
    /// Refuse the request.
    Refuse(Refusal),
}

/// What happens while a request waits for its response.
enum Step<P: Platform> {
    /// A part of an attempt has ended.
    Ended(StageEnd<P>),
    /// A slot for another attempt.
    Placed(Lease<P>),
    /// No other attempt may start now.
    NotPlaced(NoPlace),
    /// The caller may be assumed to have left.
    Abandoned,
}

/// Why no attempt may start.
pub struct NoPlace {
    /// Final response if no attempt is in flight.
    pub(crate) refusal: Refusal,
    /// Why no upstream had a free slot.
    pub(crate) shortage: Option<Shortage>,
}

impl From<Refusal> for NoPlace {
    fn from(refusal: Refusal) -> Self {
        NoPlace {
            refusal,
            shortage: None,
        }
    }
}

impl<P: Platform> Dispatcher<P> {
    /// Processes a request until its response, the latest moment for that, or the end of the
    /// process.
    pub async fn dispatch(self: &Arc<Self>, request: CallerRequest) -> Response<ResponseBody> {
        let request = Arc::new(request);
        let mut progress = Progress::new(request.route.max_attempts);
        let time_left = request.answer_by.saturating_sub(now());
        let attempts = with_timeout(time_left, self.run_attempts(&request, &mut progress));
        let ending = async {
            self.ending.wait().await;
            None
        };
        let response = attempts.or(ending).await;
        // The attempts in flight were cancelled when their future was dropped.
        if let Some(response) = response.or_else(|| progress.server_error.take()) {
            return response;
        }
        let refusal = progress.late_refusal();
        self.refuse(&request, refusal, &progress)
    }

    /// Accepts only short requests whose deadline is not after `end` from now on.
    pub(crate) fn accept_until(&self, end: Moment) {
        // Set once, by the shutdown.
        let _ = self.accepts_until.set(end);
    }

    /// Fails if a request with this deadline may need longer than the entry lives, or keep it
    /// from ending soon.
    pub(crate) fn check_lifetime(&self, deadline: Moment) -> Result<(), Refusal> {
        let Some(&end) = self.accepts_until.get() else {
            return Ok(());
        };
        if deadline <= end.min(now() + LATE_REQUEST) {
            return Ok(());
        }
        let wait = match self.scheduler.hears_accepting() {
            true => OTHER_ENTRY_WAIT,
            false => end.saturating_sub(now()) + START_TIME,
        };
        Err(Refusal::Stopping(wait))
    }

    /// Tries upstreams until one responds or a limit is reached. A silent attempt is kept
    /// while others run beside it.
    async fn run_attempts(
        self: &Arc<Self>,
        request: &Arc<CallerRequest>,
        progress: &mut Progress,
    ) -> Response<ResponseBody> {
        self.scheduler.count_request(&request.service);
        let mut running = Race::default();
        let refusal = loop {
            let stage = match self.step(request, &mut running, progress).await {
                Step::Placed(lease) => {
                    progress.start(&lease);
                    Stage::Send(lease)
                }
                Step::NotPlaced(none) if running.is_empty() => {
                    progress.shortage = none.shortage;
                    break none.refusal;
                }
                Step::NotPlaced(none) => {
                    self.log_not_placed(request, &none);
                    let pause = silence_limit(request.route.kind).unwrap_or(DEFAULT_BUSY_WAIT);
                    progress.defer_search(now() + pause);
                    continue;
                }
                Step::Abandoned => break progress.abandoned_refusal(),
                Step::Ended(end) => {
                    let is_alone = running.is_empty();
                    match self.handle(request, end, is_alone, progress) {
                        AttemptOutcome::Respond(response) => return response,
                        AttemptOutcome::Continue(stage) => stage,
                        AttemptOutcome::Refuse(refusal) => break refusal,
                        AttemptOutcome::Retry(refusal) => {
                            progress.record_failure(refusal);
                            continue;
                        }
                    }
                }
            };
            let stage = self.clone().run_stage(request.clone(), stage);
            running.push(now(), stage);
        };
        progress.record_failure(refusal);
        if let Some(response) = progress.server_error.take() {
            return response;
        }
        let refusal = progress.final_refusal(refusal);
        self.refuse(request, refusal, progress)
    }

    /// Waits until a part of an attempt ends, until another one may start, or until the caller
    /// may be assumed to have left. The outcome of an unsafe attempt matters to its caller in
    /// any case.
    async fn step<F>(
        self: &Arc<Self>,
        request: &CallerRequest,
        running: &mut Race<F>,
        progress: &Progress,
    ) -> Step<P>
    where
        F: Future<Output = StageEnd<P>>,
    {
        let may_search = request.route.kind.is_retryable() && progress.bodies == 0;
        let limit = silence_limit(request.route.kind).filter(|_| may_search);
        let search_at = running
            .last_start()
            .map(|started| Some((started + limit?).max(progress.search_at)));
        let search = async {
            match search_at {
                Some(Some(at)) => drop(Timer::after(at.saturating_sub(now())).await),
                // Those that run are waited for.
                Some(None) => pending().await,
                None => {}
            }
            let placed = self.place(request, &progress.attempts, None).await;
            placed.map_or_else(Step::NotPlaced, Step::Placed)
        };
        let may_cancel = running.is_empty() || request.route.kind != RequestKind::Unsafe;
        let abandoned = async {
            match may_cancel {
                true => request.abandoned().await,
                false => pending().await,
            }
            Step::Abandoned
        };
        let ended = async { Step::Ended(running.next().await) };
        ended.or(search).or(abandoned).await
    }

    /// Reserves a slot for an attempt; a response that has begun goes on by `resume_by`.
    pub async fn place(
        self: &Arc<Self>,
        request: &CallerRequest,
        attempts: &Attempts,
        resume_by: Option<Moment>,
    ) -> Result<Lease<P>, NoPlace> {
        if !attempts.allows_another() {
            return Err(Refusal::Busy(DEFAULT_BUSY_WAIT).into());
        }
        self.check_admission(request)?;
        let tried = attempts.excluded();
        let lease = match self.scheduler.acquire(request, &tried, resume_by).await {
            AcquireOutcome::Leased(lease) => lease,
            AcquireOutcome::Refused(shortage) => {
                return Err(NoPlace {
                    refusal: Refusal::Busy(shortage.retry_after),
                    shortage: Some(shortage),
                });
            }
        };
        // The verdict may have changed while the request was queued.
        self.check_admission(request)?;
        if attempts.is_retry() && !self.scheduler.take_retry(&request.service) {
            return Err(Refusal::Busy(DEFAULT_BUSY_WAIT).into());
        }
        Ok(lease)
    }

    /// Fails if the key may have been revoked, the caller may have left, or the request is
    /// quarantined.
    fn check_admission(&self, request: &CallerRequest) -> Result<(), Refusal> {
        if request.is_abandoned() {
            return Err(Refusal::Abandoned);
        }
        if request.head.api_key.is_some() && self.feed.config_status() == ConfigStatus::Expired {
            return Err(Refusal::NotReady);
        }
        match self.scheduler.verdict(&request.features) {
            Verdict::Refuse => Err(Refusal::Quarantined),
            _ => Ok(()),
        }
    }

    /// Waits until the deadline of a stream. A timeout of its route that was raised meanwhile
    /// holds for it too: it would end without an answer otherwise.
    pub async fn until_expired(&self, request: &CallerRequest) {
        loop {
            Timer::after(request.remaining(now())).await;
            let head = &request.head;
            let timeout = self.feed.view(|v| {
                let route = v.config()?.route(&head.host, &head.path)?;
                Some(route.timeout)
            });
            if !timeout.is_some_and(|t| request.deadline.raise(t)) {
                return;
            }
        }
    }

    /// Handles the end of a part of an attempt, which no other one runs beside if it
    /// `is_alone`.
    fn handle(
        self: &Arc<Self>,
        request: &Arc<CallerRequest>,
        end: StageEnd<P>,
        is_alone: bool,
        progress: &mut Progress,
    ) -> AttemptOutcome<P> {
        match end {
            StageEnd::Sent(attempt) => self.handle_sent(request, attempt, is_alone, progress),
            StageEnd::Body(lease, response, body) => {
                progress.bodies -= 1;
                self.handle_body(request, lease, *response, body, progress)
            }
            StageEnd::Events(run, ReadOutcome::Broken(why)) => {
                let failed = FailedExchange::truncated(run.response.reused, why);
                self.record_broken(request, &run.lease, &failed);
                after_unknown(request)
            }
            StageEnd::Events(run, first) => {
                let attempts = progress.attempts.clone();
                AttemptOutcome::Respond(self.stream(request, run, Some(first), attempts))
            }
        }
    }

    /// Handles an attempt that has ended, or whose response has begun.
    fn handle_sent(
        self: &Arc<Self>,
        request: &Arc<CallerRequest>,
        attempt: Attempt<P>,
        is_alone: bool,
        progress: &mut Progress,
    ) -> AttemptOutcome<P> {
        let Attempt { lease, outcome } = attempt;
        progress.end(&lease);
        match outcome {
            SendOutcome::Response(response) => {
                let success = response.exchange.head.status.is_success();
                if !(request.route.kind.is_stream() && success) {
                    progress.bodies += 1;
                    return AttemptOutcome::Continue(Stage::Body(lease, response));
                }
                let run = Run {
                    response,
                    lease,
                    events: EventSplitter::default(),
                };
                if !is_alone {
                    return AttemptOutcome::Continue(Stage::Events(run));
                }
                let attempts = progress.attempts.clone();
                AttemptOutcome::Respond(self.stream(request, run, None, attempts))
            }
            SendOutcome::NotRun(why) => {
                self.record_not_run(request, &lease, why, &mut progress.attempts);
                match why {
                    NotRun::Late => AttemptOutcome::Refuse(Refusal::OutOfTime),
                    NotRun::Abandoned => AttemptOutcome::Refuse(Refusal::Abandoned),
                    _ => AttemptOutcome::Retry(Refusal::Busy(DEFAULT_BUSY_WAIT)),
                }
            }
            SendOutcome::Unknown(failed) => {
                self.record_broken(request, &lease, &failed);
                after_unknown(request)
            }
            SendOutcome::Cancelled(failed) => {
                self.record_unknown(request, &lease, &failed);
                after_unknown(request)
            }
            SendOutcome::TimedOut => {
                // The silence of other kinds was recorded when it began.
                if request.route.kind == RequestKind::Unsafe {
                    self.scheduler
                        .with_upstream(&lease, |u| u.record_failure(now()));
                }
                AttemptOutcome::Refuse(Refusal::TimedOut)
            }
        }
    }

    /// Connections to the leased upstream, for decision lines.
    pub fn connection_use(&self, lease: &Lease<P>) -> ConnectionUse {
        let idle = self.connections.idle_count(lease.target.addr);
        self.scheduler.connection_use(lease, idle)
    }

    /// Handles a response whose body was read, or broke off.
    fn handle_body(
        self: &Arc<Self>,
        request: &CallerRequest,
        lease: Lease<P>,
        response: UnreadResponse,
        body: Result<BufferedBody, BodyError>,
        progress: &mut Progress,
    ) -> AttemptOutcome<P> {
        let BufferedBody { bytes, memory } = match body {
            Ok(body) => body,
            Err(BodyError::NoMemory(why)) => {
                let fields = json!({
                    "request": request.head.attempt,
                    "upstream": lease.target.id,
                    "why": why,
                });
                decision("dispatch", "no memory", Outcome::Failure, fields);
                return after_unknown(request);
            }
            Err(BodyError::Broken(failed)) => {
                self.record_broken(request, &lease, &failed);
                return after_unknown(request);
            }
        };
        let UnreadResponse {
            exchange,
            response_head,
            ..
        } = response;
        let Exchange { head, body } = exchange;
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

    /// Starts to pass a stream on, of which `first` was read already; the relay runs as a
    /// task of the response body.
    fn stream(
        self: &Arc<Self>,
        request: &Arc<CallerRequest>,
        run: Run<P>,
        first: Option<ReadOutcome>,
        attempts: Attempts,
    ) -> Response<ResponseBody> {
        let head = run.response.exchange.head.clone();
        let mut headers = self.platform.dialect().caller_headers(&head);
        headers.remove(header::CONTENT_LENGTH);
        let (sender, chunks) = bounded::<Result<Bytes, crate::ResponseAborted>>(BUFFERED_CHUNKS);
        let relay = Relay {
            dispatcher: self.clone(),
            request: request.clone(),
            run: Some(run),
            first,
            last_id: request.head.last_event.clone(),
            passed_at: request.arrived,
            attempts,
        };
        let body = ResponseBody::streamed(chunks, spawn(relay.run(sender)));
        assemble(&head, headers, body)
    }
}

/// What follows an attempt that may have run.
fn after_unknown<P: Platform>(request: &CallerRequest) -> AttemptOutcome<P> {
    match request.route.kind.is_retryable() {
        true => AttemptOutcome::Retry(Refusal::Broken),
        false => AttemptOutcome::Refuse(Refusal::Broken),
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
