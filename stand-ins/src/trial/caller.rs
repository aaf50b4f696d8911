//! Callers: one request each, judged by what the caller saw.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use http_types::Method;
use wire::{Call, Client, Outcome, Problem, Reply};

use crate::engine::{GenerateRequest, generated_text};
use crate::plain_service::Order;

/// Longest answer that a caller reads, in bytes.
const BODY: usize = 4 << 20;
/// How much longer than its deadline a caller waits.
const PATIENCE: Duration = Duration::from_secs(2);

/// What a caller asks for.
#[derive(Debug, Clone)]
pub enum Payload {
    /// Tokens from an engine.
    Generate(GenerateRequest),
    /// An order at a plain service.
    Order(Order),
}

/// A request of one caller.
#[derive(Debug, Clone)]
pub struct Request {
    /// Service and route.
    pub path: String,
    /// Account.
    pub account: String,
    /// Deadline.
    pub deadline: Duration,
    /// Further headers.
    pub headers: Vec<(String, String)>,
    /// What is asked for.
    pub payload: Payload,
}

/// How a request ended for its caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CallOutcome {
    /// The whole right answer.
    Answered,
    /// Told that it was not run.
    NotRun,
    /// Told that it may have run.
    Unknown,
    /// Told that it failed.
    Failed,
    /// No answer, or one that broke off visibly.
    Broken(String),
    /// A complete answer that is not the caller's.
    Wrong(String),
}

impl CallOutcome {
    /// Name in tables.
    pub fn name(&self) -> &'static str {
        match self {
            CallOutcome::Answered => "answered",
            CallOutcome::NotRun => "not-run",
            CallOutcome::Unknown => "unknown",
            CallOutcome::Failed => "failed",
            CallOutcome::Broken(_) => "broken",
            CallOutcome::Wrong(_) => "wrong",
        }
    }
}

/// A request's end with its times.
#[derive(Debug, Clone)]
pub struct FinishedCall {
    /// How it ended.
    pub outcome: CallOutcome,
    /// Time to the head of the answer.
    pub head_time: Duration,
    /// Time to the end of the answer.
    pub total_time: Duration,
    /// Whether a refusal said when to come back.
    pub retry_after: bool,
}

/// Sends a request and judges the answer.
pub async fn send(client: &Client, entry: SocketAddr, request: &Request) -> FinishedCall {
    let begun = Instant::now();
    let mut finished = FinishedCall {
        outcome: CallOutcome::Broken(String::new()),
        head_time: Duration::ZERO,
        total_time: Duration::ZERO,
        retry_after: false,
    };
    let sent = match call(entry, request) {
        Ok(call) => client.send(call).await,
        Err(e) => Err(e),
    };
    finished.head_time = begun.elapsed();
    finished.outcome = match sent {
        Err(e) => CallOutcome::Broken(e.to_string()),
        Ok(reply) => {
            finished.retry_after = reply.header("retry-after").is_some();
            judge(reply, &request.payload).await
        }
    };
    finished.total_time = begun.elapsed();
    finished
}

fn call(entry: SocketAddr, request: &Request) -> Result<Call, wire::WireError> {
    let body = match &request.payload {
        Payload::Generate(p) => serde_json::to_vec(p),
        Payload::Order(o) => serde_json::to_vec(o),
    };
    let mut call = Call::new(Method::Post, entry, &request.path)?
        .header("content-type", "application/json")
        .header("client-account", &request.account)
        .header("deadline-ms", &request.deadline.as_millis().to_string())
        .first_within(request.deadline + PATIENCE)
        .gap(request.deadline + PATIENCE)
        .body(body.unwrap_or_default());
    for (name, value) in &request.headers {
        call = call.header(name, value);
    }
    Ok(call)
}

async fn judge(reply: Reply, payload: &Payload) -> CallOutcome {
    let status = u16::from(reply.status());
    let body = match reply.bytes(BODY).await {
        Ok(body) => body,
        Err(e) => return CallOutcome::Broken(e.to_string()),
    };
    if status == 200 {
        return match is_right(&body, payload) {
            true => CallOutcome::Answered,
            false => CallOutcome::Wrong(String::from_utf8_lossy(&body).into_owned()),
        };
    }
    match serde_json::from_slice::<Problem>(&body).map(|p| p.outcome) {
        Ok(Outcome::NotRun) => CallOutcome::NotRun,
        Ok(Outcome::Unknown) => CallOutcome::Unknown,
        Ok(Outcome::Failed) => CallOutcome::Failed,
        Err(_) => CallOutcome::Wrong(format!("status {status} without a problem document")),
    }
}

fn is_right(body: &[u8], payload: &Payload) -> bool {
    match payload {
        Payload::Order(o) => {
            let value: serde_json::Value = serde_json::from_slice(body).unwrap_or_default();
            value["done"] == o.order
        }
        Payload::Generate(p) if p.stream => is_right_stream(body, p),
        Payload::Generate(p) => {
            let value: serde_json::Value = serde_json::from_slice(body).unwrap_or_default();
            value["text"] == generated_text(&p.prompt) && value["tokens"] == p.max_tokens
        }
    }
}

fn is_right_stream(body: &[u8], prompt: &GenerateRequest) -> bool {
    let text = String::from_utf8_lossy(body);
    let expected = generated_text(&prompt.prompt);
    let mut left = u32::MAX;
    for line in text.lines() {
        let Some((own, rest)) = line.split_once(' ') else {
            return false;
        };
        let Ok(now) = rest.parse::<u32>() else {
            return false;
        };
        if own != expected || now >= left {
            return false;
        }
        left = now;
    }
    left == 0
}
