use std::time::Duration;

use futures_lite::io::BufReader;
use http_types::{Body, Response, StatusCode};
use protocol::{RunId, UpstreamResponse, headers};
use requests::ClaimStep;
use wire::{CallResponse, ObservedBody, Problem};

use crate::answer_log::RelayObserver;
use crate::caller_request::CallerRequest;

/// Wait advised before a retry of a failed request.
pub const FAILED_RETRY: Duration = Duration::from_secs(1);
/// Wait advised before a retry while the platform's log does not respond.
const LOG_RETRY: Duration = Duration::from_secs(5);

/// The problem of a request that crashed several upstreams.
pub fn quarantined(wait: Duration) -> Problem {
    let detail = "upstreams crashed while they ran this request; change it before sending it again";
    Problem::not_run(422, "quarantined", detail).retry_after(wait)
}

/// The problem of a request whose claim does not let it run.
pub fn claim_problem(step: &ClaimStep) -> Problem {
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

/// The problem of a request that an upstream did not run.
pub fn not_run(vm: &str, why: &str, retry_after: Option<Duration>) -> Problem {
    let detail = format!("{vm} did not run the request: {why}");
    Problem::not_run(503, "not run", detail).retry_after(retry_after.unwrap_or(FAILED_RETRY))
}

/// The problem of a request whose service a change has removed.
pub fn service_removed() -> Problem {
    let detail = "the service was removed; use another one";
    Problem::not_run(503, "no upstream", detail)
}

/// The problem of a request whose agent is silent.
pub fn silent_agent(vm: &str) -> Problem {
    let detail = format!("{vm} did not respond: the agent does not reply");
    Problem::unknown(502, "upstream broke", detail).retry_after(FAILED_RETRY)
}

/// Logs the outcome of a request that ends without a response of an upstream, and
/// returns the problem as its response. The caller may send an idempotent request again
/// even if it may have run.
pub fn finish(problem: Problem, request: &CallerRequest) -> Response {
    log::debug!(
        "dispatch: {} request ended as {}",
        request.service,
        problem.outcome
    );
    problem.into()
}

/// Forwards the response of an upstream; `observer` is notified of its end.
pub fn relay(response: CallResponse, observer: RelayObserver, id: &RunId) -> Response {
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
    if let Some(wait) = response.header(headers::RETRY_AFTER) {
        res.insert_header(headers::RETRY_AFTER, wait);
    }
    let body = response.into_body();
    let len = body
        .remaining_length()
        .and_then(|l| usize::try_from(l).ok());
    res.set_body(Body::from_reader(
        BufReader::new(ObservedBody::new(body, observer)),
        len,
    ));
    res.insert_header("content-type", media_type);
    res.insert_header("request-id", id.as_str());
    res
}

/// A complete response that the agent stored.
pub fn stored_response(response: UpstreamResponse, id: &RunId) -> Response {
    let status = StatusCode::try_from(response.status).unwrap_or(StatusCode::BadGateway);
    let mut res = Response::new(status);
    res.set_body(response.body);
    res.insert_header("content-type", response.media_type.as_str());
    res.insert_header("request-id", id.as_str());
    res
}
