use std::time::Duration;

use bytes::Bytes;
use domain::{Dialect, ForwardParams, Platform, ResponseHead, now};
use http::Request;
use http_body_util::Full;
use transport::{Connection, Exchange, ExchangeTimeouts, Pool, TransportError};

use crate::hold::Hold;
use crate::job::Job;

/// Longest wait for a connection to an upstream; they answer in milliseconds.
const CONNECT_LIMIT: Duration = Duration::from_millis(350);
/// Silence of a stream after which it goes on elsewhere; callers give up after
/// two seconds at the earliest.
const STREAM_SILENCE: Duration = Duration::from_millis(1500);
/// Silence of a repeatable request after which another upstream is asked.
const SAFE_SILENCE: Duration = Duration::from_millis(450);
/// Least time for which a request is sent at all.
const MIN_LEFT: Duration = Duration::from_millis(20);

/// A usable answer whose body is still to be read.
pub struct Answered {
    /// The answer.
    pub exchange: Exchange,
    /// What its head says.
    pub reply: ResponseHead,
}

/// What became of one attempt at an upstream.
pub enum Sent {
    /// The head of a usable answer.
    Answer(Box<Answered>),
    /// Proven: it did not run and never will.
    NotRun(NotRun),
    /// It may have run; the upstream broke off.
    Unknown(String),
    /// It may have run; the upstream stayed silent, which lost packets explain
    /// as well as a crash.
    Silent(String),
    /// It may have run; no answer came in time.
    TimedOut,
}

/// Why an attempt did not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NotRun {
    /// No connection.
    Unreachable,
    /// The upstream refused it.
    Refused,
    /// Another upstream has the address, or other weights.
    Misdirected,
    /// There was no time left.
    Late,
}

/// Sends a request to the upstream of a place.
pub async fn send<P: Platform>(
    platform: &P,
    pool: &Pool,
    job: &Job,
    hold: &Hold<P>,
    resume: Option<&str>,
) -> Sent {
    let repeatable = job.route.kind.is_retryable();
    let left = job.left(now());
    if left < MIN_LEFT {
        return Sent::NotRun(NotRun::Late);
    }
    // What may run only once gets a connection that cannot be stale.
    let idle = match repeatable {
        true => pool.take(hold.target.addr),
        false => None,
    };
    let connection = match idle {
        Some(c) => c,
        None => match Connection::open(hold.target.addr, CONNECT_LIMIT.min(left)).await {
            Ok(c) => c,
            Err(e) => {
                log::debug!("gateway: {e}");
                pool.close_idle(hold.target.addr);
                return Sent::NotRun(NotRun::Unreachable);
            }
        },
    };
    let left = job.left(now());
    if left < MIN_LEFT {
        return Sent::NotRun(NotRun::Late);
    }
    let request = match request(platform, job, hold, left, resume) {
        Ok(request) => request,
        Err(e) => return Sent::Unknown(e.to_string()),
    };
    let silence = match job.route.kind {
        kind if kind.is_stream() => STREAM_SILENCE,
        kind if kind.is_retryable() => SAFE_SILENCE,
        _ => left,
    };
    let begin = hold.begin_by.map(|by| by.saturating_sub(now()));
    let begin = begin.unwrap_or(left).max(MIN_LEFT);
    let limits = ExchangeTimeouts {
        head: silence.min(left).min(begin),
        idle: match job.route.kind.is_stream() {
            true => STREAM_SILENCE,
            false => left,
        },
    };
    match Exchange::begin(connection, request, limits).await {
        Ok(exchange) => judge(platform, job, exchange),
        Err(TransportError::Timeout { .. }) if job.left(now()) < MIN_LEFT => Sent::TimedOut,
        Err(e @ TransportError::Timeout { .. }) => Sent::Silent(e.to_string()),
        Err(e) => Sent::Unknown(e.to_string()),
    }
}

fn request<P: Platform>(
    platform: &P,
    job: &Job,
    hold: &Hold<P>,
    left: Duration,
    resume: Option<&str>,
) -> Result<Request<Full<Bytes>>, http::Error> {
    let add = ForwardParams {
        target: &hold.target,
        time_left: left,
        account: job.account.as_ref().map(|a| a.name.as_str()),
        priority: job.rank().min(9),
        weight_version: hold.weights,
        last_event: resume,
    };
    let path = job.head.uri.path_and_query().map_or("/", |p| p.as_str());
    let mut request = Request::builder()
        .method(job.head.method.clone())
        .uri(path)
        .body(Full::new(job.body.clone()))?;
    *request.headers_mut() = platform.dialect().upstream_headers(&job.head, &add);
    Ok(request)
}

/// Tells usable answers from others: an answer to another attempt, one without
/// a proof, or a status that would promise what the upstream has not promised.
fn judge<P: Platform>(platform: &P, job: &Job, exchange: Exchange) -> Sent {
    let reply = platform.dialect().response_head(&exchange.head);
    let status = exchange.head.status;
    let own = reply.attempt.as_ref().is_none_or(|a| *a == job.ask.attempt);
    if !own {
        return Sent::Unknown("the answer belongs to another attempt".to_owned());
    }
    if reply.not_run {
        return Sent::NotRun(match status.as_u16() {
            421 => NotRun::Misdirected,
            _ => NotRun::Refused,
        });
    }
    if status.is_success() && (!reply.sealed || reply.attempt.is_none()) {
        return Sent::Unknown("the answer has no proof".to_owned());
    }
    if reply.encoded {
        return Sent::Unknown("the answer is encoded".to_owned());
    }
    if matches!(status.as_u16(), 408 | 429 | 503) {
        return Sent::Unknown(format!(
            "status {status} without a word that it did not run"
        ));
    }
    Sent::Answer(Box::new(Answered { exchange, reply }))
}
