//! Sends a request as a caller and checks the response.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use http_types::Method;
use wire::{Call, CallResponse, Client, Outcome, Problem};

use crate::engine::{GenerateRequest, generated_text};
use crate::plain_service::Order;

/// Longest response body that a caller reads, in bytes.
const MAX_BODY: usize = 4 << 20;
/// Time that a caller waits for a response beyond its deadline.
const DEADLINE_SLACK: Duration = Duration::from_secs(2);

/// Body of a request.
#[derive(Debug, Clone)]
pub enum Payload {
    /// Generation at an engine.
    Generate(GenerateRequest),
    /// An order at a plain service.
    Order(Order),
}

/// A request of one caller.
#[derive(Debug, Clone)]
pub struct Request {
    /// Path: service and route.
    pub path: String,
    /// Client account.
    pub account: String,
    /// Time until the deadline.
    pub deadline: Duration,
    /// Further headers.
    pub headers: Vec<(String, String)>,
    /// Body.
    pub payload: Payload,
}

/// Outcome of a request as its caller sees it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CallOutcome {
    /// A complete and correct response.
    Answered,
    /// A problem document: the request was not run.
    NotRun,
    /// A problem document: the request may have run.
    Unknown,
    /// A problem document: the request failed.
    Failed,
    /// No response, or one that ended early; with the error.
    Broken(String),
    /// A complete but incorrect response; with a description.
    Wrong(String),
}

impl CallOutcome {
    /// Name in reports.
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

/// Outcome and times of a request.
#[derive(Debug, Clone)]
pub struct FinishedCall {
    /// Outcome.
    pub outcome: CallOutcome,
    /// Time to the head of the response.
    pub head_time: Duration,
    /// Time to the end of the response.
    pub total_time: Duration,
    /// Whether the response has a `retry-after` header.
    pub retry_after: bool,
}

/// Sends a request and checks the response.
pub async fn send(client: &Client, entry: SocketAddr, request: &Request) -> FinishedCall {
    let start = Instant::now();
    let mut finished = FinishedCall {
        outcome: CallOutcome::Broken(String::new()),
        head_time: Duration::ZERO,
        total_time: Duration::ZERO,
        retry_after: false,
    };
    let result = match call(entry, request) {
        Ok(call) => client.send(call).await,
        Err(e) => Err(e),
    };
    finished.head_time = start.elapsed();
    finished.outcome = match result {
        Err(e) => CallOutcome::Broken(e.to_string()),
        Ok(response) => {
            finished.retry_after = response.header("retry-after").is_some();
            check_response(response, &request.payload).await
        }
    };
    finished.total_time = start.elapsed();
    finished
}

fn call(entry: SocketAddr, request: &Request) -> Result<Call, wire::WireError> {
    let body = match &request.payload {
        Payload::Generate(request) => serde_json::to_vec(request),
        Payload::Order(order) => serde_json::to_vec(order),
    };
    let mut call = Call::new(Method::Post, entry, &request.path)?
        .header("content-type", "application/json")
        .header("client-account", &request.account)
        .header("deadline-ms", &request.deadline.as_millis().to_string())
        .head_timeout(request.deadline + DEADLINE_SLACK)
        .read_timeout(request.deadline + DEADLINE_SLACK)
        .body(body.unwrap_or_default());
    for (name, value) in &request.headers {
        call = call.header(name, value);
    }
    Ok(call)
}

async fn check_response(response: CallResponse, payload: &Payload) -> CallOutcome {
    let status = u16::from(response.status());
    let body = match response.bytes(MAX_BODY).await {
        Ok(body) => body,
        Err(e) => return CallOutcome::Broken(e.to_string()),
    };
    if status == 200 {
        return match is_correct(&body, payload) {
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

fn is_correct(body: &[u8], payload: &Payload) -> bool {
    match payload {
        Payload::Order(order) => {
            let value: serde_json::Value = serde_json::from_slice(body).unwrap_or_default();
            value["done"] == order.order
        }
        Payload::Generate(request) if request.stream => is_correct_stream(body, request),
        Payload::Generate(request) => {
            let value: serde_json::Value = serde_json::from_slice(body).unwrap_or_default();
            value["text"] == generated_text(&request.prompt)
                && value["tokens"] == request.max_tokens
        }
    }
}

fn is_correct_stream(body: &[u8], request: &GenerateRequest) -> bool {
    let body = String::from_utf8_lossy(body);
    let expected = generated_text(&request.prompt);
    let mut remaining = u32::MAX;
    for line in body.lines() {
        let Some((text, rest)) = line.split_once(' ') else {
            return false;
        };
        let Ok(next) = rest.parse::<u32>() else {
            return false;
        };
        if text != expected || next >= remaining {
            return false;
        }
        remaining = next;
    }
    remaining == 0
}
