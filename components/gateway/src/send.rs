use std::time::{Duration, Instant};

use bytes::Bytes;
use domain::{Dialect, ForwardParams, Moment, Platform, ResponseHead, millis, now};
use http::Request;
use http_body_util::Full;
use serde_json::json;
use telemetry::{Outcome, decision};
use transport::{Connection, Exchange, ExchangeTimeouts, Pool, TransportError, WriteTerms};

use crate::caller_request::CallerRequest;
use crate::failed_exchange::FailedExchange;
use crate::lease::Lease;

/// Connect timeout; upstreams accept connections within milliseconds.
pub(crate) const CONNECT_TIMEOUT: Duration = Duration::from_millis(350);
/// Least remaining time with which a request is still sent.
const MIN_REMAINING: Duration = Duration::from_millis(20);
/// Least time before `begin_by` with which a request is still sent: it has to arrive, and
/// upstreams begin requests 100 to 300 ms later.
const BEGIN_TIME: Duration = Duration::from_millis(250);

/// A valid response whose body is still to be read.
pub struct UnreadResponse {
    /// Response head and unread body.
    pub exchange: Exchange,
    /// Values read from the head.
    pub response_head: ResponseHead,
    /// The request was sent on an idle connection.
    pub reused: bool,
}

/// Outcome of one attempt at an upstream.
pub enum SendOutcome {
    /// A valid response.
    Response(Box<UnreadResponse>),
    /// The request provably did not run and never will.
    NotRun(NotRun),
    /// It may have run: the exchange broke off or the response is invalid.
    Unknown(FailedExchange),
    /// It may have run: it was cancelled, as it had not begun before newer weights came into
    /// force.
    Cancelled(FailedExchange),
    /// It may have run: no response arrived before the deadline.
    TimedOut,
}

/// Why an attempt did not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NotRun {
    /// No connection could be established.
    Unreachable,
    /// The same, because no process listens at the address.
    NoListener,
    /// The connection ended before any byte of the request was written.
    Unsent,
    /// The upstream refused the request.
    Refused,
    /// Another upstream has the address, or the upstream has other weights.
    Misdirected,
    /// The remaining time was too short.
    Late,
    /// The caller may have left.
    Abandoned,
    /// The weights of the upstream would be too old when it begins.
    Outdated,
    /// The upstream stated that it accepts no requests.
    Closed,
}

/// Sends a request to the leased upstream; `resume` is the id of the event after
/// which a stream continues.
pub async fn send<P: Platform>(
    platform: &P,
    pool: &Pool,
    request: &CallerRequest,
    lease: &Lease<P>,
    resume: Option<&str>,
) -> SendOutcome {
    let retryable = request.route.kind.is_retryable();
    let remaining = request.remaining(now());
    if remaining < MIN_REMAINING {
        return SendOutcome::NotRun(NotRun::Late);
    }
    if !lease.gate.is_open(now()) {
        return SendOutcome::NotRun(NotRun::Closed);
    }
    // A request that must not run twice gets a new connection: on a stale one its
    // outcome would be unknown.
    let idle = match retryable {
        true => pool.take(lease.target.addr),
        false => None,
    };
    let reused = idle.is_some();
    let connection = match idle {
        Some(c) => c,
        None => match Connection::open(lease.target.addr, CONNECT_TIMEOUT.min(remaining)).await {
            Ok(c) => c,
            Err(e) => {
                log::debug!("gateway: {e}");
                pool.close_idle(lease.target.addr);
                return SendOutcome::NotRun(match e.is_refused() {
                    true => NotRun::NoListener,
                    false => NotRun::Unreachable,
                });
            }
        },
    };
    let write_by = latest_write(request, lease);
    let remaining = request.remaining(now());
    if remaining < MIN_REMAINING {
        return SendOutcome::NotRun(NotRun::Late);
    }
    if request.is_abandoned() {
        return SendOutcome::NotRun(NotRun::Abandoned);
    }
    if now() > write_by {
        return SendOutcome::NotRun(NotRun::Outdated);
    }
    let time_left = request.time_for_upstream(now());
    let outbound = match upstream_request(platform, request, lease, time_left, resume) {
        Ok(outbound) => outbound,
        Err(e) => return SendOutcome::Unknown(FailedExchange::invalid(reused, e.to_string())),
    };
    let begin_within = lease.begin_by.map(|by| by.saturating_sub(now()));
    let begin_within = begin_within.unwrap_or(time_left);
    let timeouts = ExchangeTimeouts {
        head: time_left.min(begin_within),
        read_timeout: time_left,
    };
    // The clock is read before the remaining time, so that a pause between them only
    // shortens it.
    let clock = Instant::now();
    let terms = WriteTerms {
        latest: Some(clock + write_by.saturating_sub(now())),
        gate: Some(lease.gate.clone()),
        ticket: lease.ticket.clone(),
    };
    let begun = Exchange::begin_by(connection, outbound, timeouts, terms);
    let begun = async { Ok(begun.await) };
    let outdated = async { Err(lease.until_outdated().await) };
    let begun = match futures_lite::future::or(begun, outdated).await {
        Ok(begun) => begun,
        Err(_) if lease.ticket.withdraw() => return SendOutcome::NotRun(NotRun::Outdated),
        Err(by) => {
            log_late_begin(request, lease, by);
            return SendOutcome::Cancelled(FailedExchange::outdated(reused));
        }
    };
    match begun {
        Ok(exchange) => classify(platform, request, lease, exchange, reused)
            .unwrap_or_else(|why| SendOutcome::Unknown(FailedExchange::invalid(reused, why))),
        Err(TransportError::Timeout { .. }) if request.remaining(now()) < MIN_REMAINING => {
            SendOutcome::TimedOut
        }
        Err(e @ TransportError::Timeout { .. }) => {
            if let Some(by) = lease.begin_by.filter(|by| *by <= now()) {
                log_late_begin(request, lease, by);
            }
            SendOutcome::Cancelled(FailedExchange::new(&e, reused))
        }
        Err(e) if e.is_unsent() => {
            log::debug!("gateway: {e}");
            SendOutcome::NotRun(match lease.gate.is_open(now()) {
                true => NotRun::Unsent,
                false => NotRun::Closed,
            })
        }
        Err(e) => SendOutcome::Unknown(FailedExchange::new(&e, reused)),
    }
}

/// Latest moment to write the request: before its deadline, and early enough for the
/// upstream to begin it before newer weights are in force.
fn latest_write<P: Platform>(request: &CallerRequest, lease: &Lease<P>) -> Moment {
    let in_time = request.end_by().saturating_sub(MIN_REMAINING);
    let begins = lease.begin_by.map(|by| by.saturating_sub(BEGIN_TIME));
    begins.map_or(in_time, |begins| begins.min(in_time))
}

/// Logs a request that was cancelled because newer weights came into force before it
/// began.
fn log_late_begin<P: Platform>(request: &CallerRequest, lease: &Lease<P>, begin_by: Moment) {
    let now = now();
    let fields = json!({
        "request": request.head.attempt,
        "upstream": lease.target.id,
        "weights": lease.weight_version,
        "sent_ms_ago": millis(now.saturating_sub(lease.leased_at)),
        "late_ms": millis(now.saturating_sub(begin_by)),
    });
    decision("dispatch", "begins too late", Outcome::Failure, fields);
}

fn upstream_request<P: Platform>(
    platform: &P,
    request: &CallerRequest,
    lease: &Lease<P>,
    time_left: Duration,
    resume: Option<&str>,
) -> Result<Request<Full<Bytes>>, http::Error> {
    let params = ForwardParams {
        target: &lease.target,
        time_left,
        account: request.account.as_ref().map(|a| a.name.as_str()),
        priority: request.priority().min(9),
        weight_version: lease.weight_version,
        last_event: resume,
    };
    let path = request
        .parts
        .uri
        .path_and_query()
        .map_or("/", |p| p.as_str());
    let mut outbound = Request::builder()
        .method(request.parts.method.clone())
        .uri(path)
        .body(Full::new(request.body.clone()))?;
    *outbound.headers_mut() = platform.dialect().upstream_headers(&request.parts, &params);
    Ok(outbound)
}

/// Distinguishes valid responses from others. The outcome is unknown, with the reason as
/// the error, after a response to another attempt, a successful one without proof of its
/// origin, an encoded one, and a status that implies without proof that the request did
/// not run.
fn classify<P: Platform>(
    platform: &P,
    request: &CallerRequest,
    lease: &Lease<P>,
    exchange: Exchange,
    reused: bool,
) -> Result<SendOutcome, String> {
    let response_head = platform.dialect().response_head(&exchange.head);
    let status = exchange.head.status;
    // A 421 may come from another upstream at the same address.
    let is_target = match &response_head.upstream {
        Some(upstream) => *upstream == lease.target.id,
        None => status != 421,
    };
    if is_target {
        lease.scheduler.record_statements(lease, &response_head);
    }
    let same_attempt = response_head
        .attempt
        .as_ref()
        .is_none_or(|a| *a == request.head.attempt);
    if !same_attempt {
        return Err("the response belongs to another attempt".to_owned());
    }
    // A 421 may come from another upstream at the same address.
    if (response_head.sealed || response_head.not_run) && status != 421 {
        let scheduler = &lease.scheduler;
        scheduler.record_stated_limit(lease, response_head.rate_limit);
    }
    if response_head.not_run {
        return Ok(SendOutcome::NotRun(match status.as_u16() {
            421 => NotRun::Misdirected,
            _ => NotRun::Refused,
        }));
    }
    if status.is_success() && (!response_head.sealed || response_head.attempt.is_none()) {
        return Err("the response has no proof".to_owned());
    }
    if response_head.encoded {
        return Err("the response is encoded".to_owned());
    }
    if matches!(status.as_u16(), 408 | 429 | 503) {
        return Err(format!(
            "status {status} without proof that the request did not run"
        ));
    }
    Ok(SendOutcome::Response(Box::new(UnreadResponse {
        exchange,
        response_head,
        reused,
    })))
}
