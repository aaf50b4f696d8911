use std::fmt::Display;
use std::io;
use std::sync::Arc;
use std::time::{Duration, Instant};

use futures_lite::io::BufReader;
use http_types::{Body, Method, Response, StatusCode};
use protocol::{Refusal, RunId, RunRequest, UpstreamResponse, headers};
use requests::{Begin, RunEnd};
use serde_json::json;
use telemetry::{Outcome, decision};
use wire::{BodyObserver, Call, CallResponse, ObservedBody, WireError};

use crate::admission_controller::AdmissionController;
use crate::engine::RunCall;
use crate::engine_notice::RETRY_AFTER;

/// Longest response to a request that may not be retried, which is buffered, in bytes.
const MAX_BUFFERED_BYTES: usize = 1 << 20;
/// Longest response that is buffered although the request may be retried, in bytes.
const MAX_SHORT_BYTES: u64 = 64 << 10;
/// Response header of an engine: the digest of the weights that it used.
const MODEL_DIGEST: &str = "model-digest";

/// Runs admitted requests at the upstream.
#[derive(Clone)]
pub struct Runner {
    admission: Arc<AdmissionController>,
}

/// A run in flight; its end is recorded when the guard is dropped.
struct RunGuard {
    admission: Arc<AdmissionController>,
    id: RunId,
    fingerprint: u64,
    started_at: Instant,
    deadline: Instant,
    end: RunEnd,
}

impl RunGuard {
    fn complete(&mut self) {
        self.end = RunEnd::Completed(self.started_at.elapsed());
    }
}

impl BodyObserver for RunGuard {
    fn on_complete(&mut self) {
        self.complete();
    }

    fn on_error(&mut self, error: &io::Error) {
        log_failure(&self.id, error);
        self.end = RunEnd::Failed;
        let (admission, fingerprint) = (self.admission.clone(), self.fingerprint);
        smol::spawn(async move { drop(admission.detect_crash(fingerprint).await) }).detach();
    }
}

impl Drop for RunGuard {
    fn drop(&mut self) {
        self.admission.with_runs(|r| r.end(&self.id));
        self.admission.record_end(&self.id, self.end);
    }
}

impl Runner {
    /// Runs requests that `admission` admits.
    pub fn new(admission: Arc<AdmissionController>) -> Self {
        Runner { admission }
    }

    /// Runs one request, whose deadline on the agent's clock is `expiry`; a header of the
    /// response names the run.
    pub async fn run(&self, request: RunRequest, expiry: Option<Duration>) -> Response {
        let id = request.id.clone();
        let deadline = self.admission.deadline(request.remaining, expiry);
        let mut res = match self.admission.admit(&request, deadline).await {
            Begin::Refuse(refusal) => self.refuse(refusal),
            // The first copy is running or has ended; the entry requests its outcome.
            Begin::Duplicate => Response::new(StatusCode::Conflict),
            // Continues if the entry disconnects, because the request may not be retried.
            Begin::Run if !request.idempotent => {
                let this = self.clone();
                let (done, result) = async_channel::bounded(1);
                smol::spawn(
                    async move { drop(done.send(this.execute(request, deadline).await).await) },
                )
                .detach();
                let lost = |_| Response::new(StatusCode::BadGateway);
                result.recv().await.unwrap_or_else(lost)
            }
            Begin::Run => self.execute(request, deadline).await,
        };
        res.insert_header(headers::RUN_ID, id.as_str());
        res.insert_header(headers::LOAD, self.admission.load_without(&id).to_string());
        res
    }

    async fn execute(&self, request: RunRequest, deadline: Instant) -> Response {
        let started_at = Instant::now();
        let run = RunGuard {
            admission: self.admission.clone(),
            id: request.id.clone(),
            fingerprint: request.fingerprint,
            started_at,
            deadline,
            end: RunEnd::Cancelled,
        };
        let remaining = deadline.saturating_duration_since(started_at);
        let sent = match self.call(&request, remaining) {
            Ok(call) => self.admission.engine().run(call).await,
            Err(e) => Err(e),
        };
        match sent {
            Err(e) if e.is_unsent() => {
                self.admission.with_runs(|r| r.void(&run.id));
                self.admission.record_unreachable();
                self.refuse(Refusal::Unreachable)
            }
            Ok(RunCall::Held(_)) => {
                self.admission.with_runs(|r| r.void(&run.id));
                self.refuse(Refusal::Closed)
            }
            Err(WireError::Timeout { .. }) => time_out_run(run),
            Err(e) => fail_run(run, &e).await,
            Ok(RunCall::Response(response)) if request.idempotent && !is_short(&response) => {
                stream_response(run, *response)
            }
            Ok(RunCall::Response(response)) => buffer_response(run, *response).await,
        }
    }

    /// The response to a run that does not start.
    fn refuse(&self, refusal: Refusal) -> Response {
        let mut res = Response::new(StatusCode::ServiceUnavailable);
        res.set_body(wire::encode(&refusal).unwrap_or_default());
        if let Some(wait) = self.admission.engine().retry_after() {
            res.insert_header(headers::RETRY_MS, wait.as_millis().to_string());
        }
        res
    }

    fn call(&self, request: &RunRequest, remaining: Duration) -> Result<Call, WireError> {
        let method = request
            .method
            .parse::<Method>()
            .map_err(|e| WireError::Decode {
                reason: e.to_string(),
            })?;
        let call = Call::new(method, self.admission.engine().addr(), &request.path)?
            .header("request-id", &request.id)
            .header("client-account", &request.account)
            .header("priority", &request.priority.to_string())
            .header("content-type", &request.media_type)
            .head_timeout(remaining)
            // A silent upstream may go on until the deadline.
            .read_timeout(remaining)
            .total_timeout(remaining)
            .body(request.body.clone());
        // The upstream may have closed an idle connection already, which would leave it
        // unknown whether the request ran.
        Ok(if request.idempotent {
            call
        } else {
            call.new_connection()
        })
    }
}

/// Ends a run that had no response before its deadline. This does not count as a failure
/// of the upstream, whose health is checked by probes.
fn time_out_run(run: RunGuard) -> Response {
    run.admission.with_runs(|r| r.record_lost(&run.id));
    Response::new(StatusCode::GatewayTimeout)
}

/// Whether a response is short enough to be buffered, so that the caller does not
/// receive a part of it if the upstream aborts it.
fn is_short(response: &CallResponse) -> bool {
    response.body_len().is_some_and(|l| l <= MAX_SHORT_BYTES)
}

/// Ends a run whose exchange with the upstream failed; the response contains the crash
/// if the upstream has crashed.
async fn fail_run(mut run: RunGuard, error: &WireError) -> Response {
    log_failure(&run.id, error);
    run.end = RunEnd::Failed;
    let (admission, fingerprint) = (run.admission.clone(), run.fingerprint);
    admission.with_runs(|r| r.record_lost(&run.id));
    drop(run);
    let mut res = Response::new(StatusCode::BadGateway);
    if let Some(crash) = admission.detect_crash(fingerprint).await {
        res.set_body(wire::encode(&crash).unwrap_or_default());
        res.insert_header(headers::CRASH, crash.id.as_str());
    }
    res
}

fn log_failure(run: &RunId, error: impl Display) {
    let fields = json!({ "run": run, "error": error.to_string() });
    decision("run", "exchange failed", Outcome::Failure, fields);
}

/// Passes the response on as it arrives.
fn stream_response(run: RunGuard, response: CallResponse) -> Response {
    let mut res = response_head(&response);
    let body = response.into_body();
    let len = body
        .remaining_length()
        .and_then(|l| usize::try_from(l).ok());
    res.set_body(Body::from_reader(
        BufReader::new(ObservedBody::new(body, run)),
        len,
    ));
    restore_media_type(&mut res);
    res
}

/// Reads the complete response before passing it on, and records it so that an entry can
/// request it again.
async fn buffer_response(mut run: RunGuard, response: CallResponse) -> Response {
    let mut res = response_head(&response);
    let status = u16::from(response.status());
    let media_type = response.header("content-type").unwrap_or_default().into();
    match response.bytes(MAX_BUFFERED_BYTES).await {
        Err(_) if Instant::now() >= run.deadline => time_out_run(run),
        Err(e) => fail_run(run, &e).await,
        Ok(body) => {
            run.complete();
            res.set_body(body.clone());
            restore_media_type(&mut res);
            let recorded = Arc::new(UpstreamResponse {
                status,
                media_type,
                body,
            });
            run.admission
                .with_runs(|r| r.record_response(&run.id, recorded));
            res
        }
    }
}

fn response_head(response: &CallResponse) -> Response {
    let mut res = Response::new(StatusCode::Ok);
    res.insert_header(
        headers::UPSTREAM_STATUS,
        u16::from(response.status()).to_string(),
    );
    if let Some(t) = response.header("content-type") {
        res.insert_header("upstream-type", t);
    }
    if let Some(wait) = response.header(RETRY_AFTER) {
        res.insert_header(headers::RETRY_AFTER, wait);
    }
    if let Some(d) = response.header(MODEL_DIGEST) {
        res.insert_header(headers::MODEL_VERSION, d);
    }
    res
}

/// Restores the media type of the upstream, which setting a body has replaced.
fn restore_media_type(res: &mut Response) {
    if let Some(t) = res.remove_header("upstream-type") {
        res.insert_header("content-type", t.last().as_str().to_owned());
    }
}
