use std::io;
use std::sync::Arc;
use std::time::{Duration, Instant};

use futures_lite::io::BufReader;
use http_types::{Body, Method, Response, StatusCode};
use protocol::{Refusal, RunId, RunRequest, UpstreamResponse, headers};
use requests::{Begin, RunEnd};
use wire::{BodyObserver, Call, CallResponse, Client, ObservedBody, WireError};

use crate::admission_controller::AdmissionController;

/// Longest answer of a request that may not be repeated, in bytes.
const KEPT_LIMIT: usize = 1 << 20;
/// Longest answer that is read whole although it may be repeated, in bytes.
const SHORT_LIMIT: u64 = 64 << 10;
/// Longest silence of the upstream between two bytes of an answer.
const UPSTREAM_GAP: Duration = Duration::from_secs(10);
/// Header with the digest of the weights that answered.
const MODEL_DIGEST: &str = "model-digest";

/// Runs admitted requests at the upstream.
#[derive(Clone)]
pub struct Runner {
    admission: Arc<AdmissionController>,
    client: Client,
    upstream: std::net::SocketAddr,
}

/// A run in flight; ends it when dropped.
struct Run {
    admission: Arc<AdmissionController>,
    id: RunId,
    fingerprint: u64,
    begun: Instant,
    end: RunEnd,
}

impl Run {
    fn complete(&mut self) {
        self.end = RunEnd::Completed(self.begun.elapsed());
    }
}

impl BodyObserver for Run {
    fn on_complete(&mut self) {
        self.complete();
    }

    fn on_error(&mut self, error: &io::Error) {
        log::warn!("run: upstream broke {}: {error}", self.id);
        self.end = RunEnd::Failed;
        let (admission, fingerprint) = (self.admission.clone(), self.fingerprint);
        smol::spawn(async move { drop(admission.detect_crash(fingerprint).await) }).detach();
    }
}

impl Drop for Run {
    fn drop(&mut self) {
        self.admission.record_end(&self.id, self.end);
    }
}

impl Runner {
    /// Runs requests at `upstream` that `door` admits.
    pub fn new(
        admission: Arc<AdmissionController>,
        client: Client,
        upstream: std::net::SocketAddr,
    ) -> Self {
        Runner {
            admission,
            client,
            upstream,
        }
    }

    /// Runs one request; the reply names the run that it belongs to.
    pub async fn run(&self, request: RunRequest) -> Response {
        let id = request.id.clone();
        let mut res = match self.admission.admit(&request).await {
            Begin::Refuse(refusal) => refuse(refusal),
            // The first copy is running or has ended; the entry settles it.
            Begin::Duplicate => Response::new(StatusCode::Conflict),
            // Goes on when the entry goes away: what has begun may not be repeated.
            Begin::Run if !request.idempotent => {
                let own = self.clone();
                let (done, result) = async_channel::bounded(1);
                smol::spawn(async move { drop(done.send(own.admitted(request).await).await) })
                    .detach();
                let lost = |_| Response::new(StatusCode::BadGateway);
                result.recv().await.unwrap_or_else(lost)
            }
            Begin::Run => self.admitted(request).await,
        };
        res.insert_header(headers::RUN_ID, id.as_str());
        res.insert_header(headers::LOAD, self.admission.load_without(&id).to_string());
        res
    }

    async fn admitted(&self, request: RunRequest) -> Response {
        let run = Run {
            admission: self.admission.clone(),
            id: request.id.clone(),
            fingerprint: request.fingerprint,
            begun: Instant::now(),
            end: RunEnd::Cancelled,
        };
        let sent = match self.call(&request) {
            Ok(call) => self.client.send(call).await,
            Err(e) => Err(e),
        };
        match sent {
            Err(e) if e.is_unsent() => {
                self.admission.with_runs(|r| r.void(&run.id));
                self.admission.record_unreachable();
                refuse(Refusal::Unreachable)
            }
            Err(WireError::Timeout { .. }) => timed_out(run),
            Err(e) => broken(run, &e).await,
            Ok(reply) if request.idempotent && !is_short(&reply) => stream(run, reply),
            Ok(reply) => keep(run, reply).await,
        }
    }

    fn call(&self, request: &RunRequest) -> Result<Call, WireError> {
        let method = request
            .method
            .parse::<Method>()
            .map_err(|e| WireError::Decode {
                reason: e.to_string(),
            })?;
        let call = Call::new(method, self.upstream, &request.path)?
            .header("request-id", &request.id)
            .header("client-account", &request.account)
            .header("priority", &request.priority.to_string())
            .header("content-type", &request.media_type)
            .head_timeout(request.remaining)
            .read_timeout(UPSTREAM_GAP)
            .body(request.body.clone());
        // An idle connection may be broken already, which would leave it
        // unknown whether the request ran.
        Ok(if request.idempotent {
            call
        } else {
            call.new_connection()
        })
    }
}

/// Ends a run that gave no answer before its deadline. That says nothing about
/// the upstream, which is looked after by other means.
fn timed_out(run: Run) -> Response {
    run.admission.with_runs(|r| r.record_lost(&run.id));
    Response::new(StatusCode::GatewayTimeout)
}

/// Whether an answer is short enough to be read whole before it is passed on,
/// so that a break on the way does not reach the caller.
fn is_short(reply: &CallResponse) -> bool {
    reply.body_len().is_some_and(|l| l <= SHORT_LIMIT)
}

/// Ends a run whose exchange with the upstream broke.
async fn broken(mut run: Run, error: &WireError) -> Response {
    log::warn!("run: upstream broke {}: {error}", run.id);
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

/// Passes the answer on as it arrives.
fn stream(run: Run, reply: CallResponse) -> Response {
    let mut res = answer_head(&reply);
    let body = reply.into_body();
    let len = body
        .remaining_length()
        .and_then(|l| usize::try_from(l).ok());
    res.set_body(Body::from_reader(
        BufReader::new(ObservedBody::new(body, run)),
        len,
    ));
    keep_media_type(&mut res);
    res
}

/// Reads the whole answer before passing it on, so that it can be asked for again.
async fn keep(mut run: Run, reply: CallResponse) -> Response {
    let mut res = answer_head(&reply);
    let status = u16::from(reply.status());
    let media_type = reply.header("content-type").unwrap_or_default().into();
    match reply.bytes(KEPT_LIMIT).await {
        Err(e) => broken(run, &e).await,
        Ok(body) => {
            run.complete();
            res.set_body(body.clone());
            keep_media_type(&mut res);
            let answer = Arc::new(UpstreamResponse {
                status,
                media_type,
                body,
            });
            run.admission
                .with_runs(|r| r.record_response(&run.id, answer));
            res
        }
    }
}

fn refuse(refusal: Refusal) -> Response {
    let mut res = Response::new(StatusCode::ServiceUnavailable);
    res.set_body(wire::encode(&refusal).unwrap_or_default());
    res
}

fn answer_head(reply: &CallResponse) -> Response {
    let mut res = Response::new(StatusCode::Ok);
    res.insert_header(
        headers::UPSTREAM_STATUS,
        u16::from(reply.status()).to_string(),
    );
    if let Some(t) = reply.header("content-type") {
        res.insert_header("upstream-type", t);
    }
    if let Some(d) = reply.header(MODEL_DIGEST) {
        res.insert_header(headers::MODEL_VERSION, d);
    }
    res
}

/// Setting a body sets a media type of its own; restore the upstream's.
fn keep_media_type(res: &mut Response) {
    if let Some(t) = res.remove_header("upstream-type") {
        res.insert_header("content-type", t.last().as_str().to_owned());
    }
}
