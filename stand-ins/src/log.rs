//! The platform's append-only log: streams of JSON records with offsets.

use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use http_types::{Method, Request, Response};
use serde_json::{Value, json};
use smol::Timer;
use wire::Handler;

use crate::faults::{FaultAction, FaultInjector};
use crate::http;

/// Most records in one answer.
const PAGE: usize = 1000;
/// Pause between two looks for new records.
const POLL: Duration = Duration::from_millis(5);

#[derive(Default)]
struct Stream {
    first: u64,
    records: VecDeque<Value>,
}

impl Stream {
    fn end(&self) -> u64 {
        self.first + self.records.len() as u64
    }
}

struct State {
    streams: HashMap<String, Stream>,
    tokens: f64,
    filled: Instant,
    appends: u64,
    reads: u64,
}

/// The log.
pub struct Log {
    state: Mutex<State>,
    faults: FaultInjector,
    rate: f64,
    retention: usize,
}

impl Log {
    /// A log that takes `rate` appends a second and keeps `retention` records a stream.
    pub fn new(rate: u32, retention: usize) -> Self {
        Log {
            state: Mutex::new(State {
                streams: HashMap::new(),
                tokens: f64::from(rate),
                filled: Instant::now(),
                appends: 0,
                reads: 0,
            }),
            faults: FaultInjector::default(),
            rate: f64::from(rate),
            retention,
        }
    }

    async fn append(&self, stream: &str, mut req: Request) -> Response {
        let action = self.faults.next_action().await;
        if action == FaultAction::Refuse {
            return http::status(503);
        }
        let value: Value = match http::read_json(&mut req).await {
            Ok(value) => value,
            Err(res) => return res,
        };
        let Some(offset) = self.push(stream, value) else {
            return http::status(429);
        };
        match action {
            FaultAction::LoseResponse => http::aborted(),
            _ => http::json(&json!({ "offset": offset })),
        }
    }

    fn push(&self, stream: &str, value: Value) -> Option<u64> {
        let mut state = self.lock();
        let gained = state.filled.elapsed().as_secs_f64() * self.rate;
        state.tokens = (state.tokens + gained).min(self.rate);
        state.filled = Instant::now();
        if state.tokens < 1.0 {
            return None;
        }
        state.tokens -= 1.0;
        state.appends += 1;
        let s = state.streams.entry(stream.to_owned()).or_default();
        let offset = s.end();
        s.records.push_back(value);
        while s.records.len() > self.retention {
            s.records.pop_front();
            s.first += 1;
        }
        Some(offset)
    }

    async fn read(&self, stream: &str, req: &Request) -> Response {
        if self.faults.next_action().await == FaultAction::Refuse {
            return http::status(503);
        }
        let from = http::query_param(req, "from").unwrap_or(0);
        let wait = Duration::from_millis(http::query_param(req, "wait_ms").unwrap_or(0));
        let begun = Instant::now();
        self.lock().reads += 1;
        while begun.elapsed() < wait && self.end(stream) <= from {
            Timer::after(POLL).await;
        }
        // A long read that an outage overtakes is refused as well.
        if self.faults.next_action().await == FaultAction::Refuse {
            return http::status(503);
        }
        http::json(&self.page(stream, from))
    }

    fn end(&self, stream: &str) -> u64 {
        self.lock().streams.get(stream).map_or(0, Stream::end)
    }

    fn page(&self, stream: &str, from: u64) -> Value {
        let mut state = self.lock();
        let s = state.streams.entry(stream.to_owned()).or_default();
        let skip = usize::try_from(from.saturating_sub(s.first)).unwrap_or(usize::MAX);
        let first = s.first + skip as u64;
        let records: Vec<Value> = s
            .records
            .iter()
            .skip(skip)
            .take(PAGE)
            .zip(first..)
            .map(|(value, offset)| json!({ "offset": offset, "value": value }))
            .collect();
        json!({ "first": s.first, "end": s.end(), "records": records })
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Handler for Log {
    async fn handle(&self, mut req: Request, _peer: SocketAddr) -> Response {
        let segments = http::path_segments(&req);
        let parts: Vec<&str> = segments.iter().map(String::as_str).collect();
        match (req.method(), parts.as_slice()) {
            (Method::Post, ["faults"]) => self.faults.update(&mut req).await,
            (Method::Get, ["record"]) => {
                let state = self.lock();
                http::json(&json!({ "appends": state.appends, "reads": state.reads }))
            }
            (Method::Post, ["streams", s]) => self.append(s, req).await,
            (Method::Get, ["streams", s]) => self.read(s, &req).await,
            _ => http::status(404),
        }
    }
}
