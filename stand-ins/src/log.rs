//! The platform's append-only log: named streams of JSON records with offsets.

use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use http_types::{Method, Request, Response};
use serde_json::{Value, json};
use smol::Timer;
use wire::Handler;

use crate::faults::{FaultAction, FaultInjector};
use crate::http;

/// Most records in one response, unless fewer are set.
const MAX_RECORDS: usize = 1000;
/// Interval at which a waiting read checks for new records.
const POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Header of every response: how often the log was restored from an older copy.
const ERA: &str = "log-era";

struct Entry {
    value: Value,
    appended_at: Instant,
}

#[derive(Default)]
struct Stream {
    first_offset: u64,
    records: VecDeque<Entry>,
}

impl Stream {
    fn end_offset(&self) -> u64 {
        self.first_offset + self.records.len() as u64
    }
}

struct State {
    streams: HashMap<String, Stream>,
    era: u64,
    /// Appends that the rate limit allows now.
    tokens: f64,
    refilled_at: Instant,
    appends: u64,
    reads: u64,
}

/// Stand-in of the platform's log.
pub struct Log {
    state: Mutex<State>,
    faults: FaultInjector,
    rate: f64,
    retention: usize,
    page_records: AtomicUsize,
}

impl Log {
    /// Creates a log that accepts `rate` appends a second and keeps the last
    /// `retention` records of each stream.
    pub fn new(rate: u32, retention: usize) -> Self {
        Log {
            state: Mutex::new(State {
                streams: HashMap::new(),
                era: 0,
                tokens: f64::from(rate),
                refilled_at: Instant::now(),
                appends: 0,
                reads: 0,
            }),
            faults: FaultInjector::default(),
            rate: f64::from(rate),
            retention,
            page_records: AtomicUsize::new(MAX_RECORDS),
        }
    }

    /// Sets the most records in one response.
    pub fn set_page_records(&self, count: usize) {
        self.page_records.store(count, Ordering::Relaxed);
    }

    /// Restores a copy that is `age` old: later records are lost, and their offsets are
    /// given out again.
    pub fn restore(&self, age: Duration) {
        let mut state = self.lock();
        state.era += 1;
        for stream in state.streams.values_mut() {
            stream.records.retain(|r| r.appended_at.elapsed() >= age);
        }
    }

    async fn append(&self, name: &str, mut req: Request) -> Response {
        let action = self.faults.next_action().await;
        if action == FaultAction::Refuse {
            return http::status(503);
        }
        let value: Value = match http::read_json(&mut req).await {
            Ok(value) => value,
            Err(res) => return res,
        };
        let Some(offset) = self.push(name, value) else {
            return http::status(429);
        };
        match action {
            FaultAction::LoseResponse => http::aborted(),
            _ => http::json(&json!({ "offset": offset })),
        }
    }

    fn push(&self, name: &str, value: Value) -> Option<u64> {
        let mut state = self.lock();
        let refill = state.refilled_at.elapsed().as_secs_f64() * self.rate;
        state.tokens = (state.tokens + refill).min(self.rate);
        state.refilled_at = Instant::now();
        if state.tokens < 1.0 {
            return None;
        }
        state.tokens -= 1.0;
        state.appends += 1;
        let stream = state.streams.entry(name.to_owned()).or_default();
        let offset = stream.end_offset();
        stream.records.push_back(Entry {
            value,
            appended_at: Instant::now(),
        });
        while stream.records.len() > self.retention {
            stream.records.pop_front();
            stream.first_offset += 1;
        }
        Some(offset)
    }

    async fn read(&self, name: &str, req: &Request) -> Response {
        if self.faults.next_action().await == FaultAction::Refuse {
            return http::status(503);
        }
        let from = http::query_param(req, "from").unwrap_or(0);
        let wait = Duration::from_millis(http::query_param(req, "wait_ms").unwrap_or(0));
        let start = Instant::now();
        self.lock().reads += 1;
        while start.elapsed() < wait && self.end_offset(name) == from {
            Timer::after(POLL_INTERVAL).await;
        }
        // An outage may have begun while the read waited.
        if self.faults.next_action().await == FaultAction::Refuse {
            return http::status(503);
        }
        if from > self.end_offset(name) {
            return http::status(410);
        }
        http::json(&self.read_page(name, from))
    }

    fn end_offset(&self, name: &str) -> u64 {
        self.lock().streams.get(name).map_or(0, Stream::end_offset)
    }

    fn read_page(&self, name: &str, from: u64) -> Value {
        let mut state = self.lock();
        let stream = state.streams.entry(name.to_owned()).or_default();
        let skip = usize::try_from(from.saturating_sub(stream.first_offset)).unwrap_or(usize::MAX);
        let first = stream.first_offset + skip as u64;
        let records: Vec<Value> = stream
            .records
            .iter()
            .skip(skip)
            .take(self.page_records.load(Ordering::Relaxed))
            .zip(first..)
            .map(|(r, offset)| json!({ "offset": offset, "value": r.value }))
            .collect();
        json!({ "first": stream.first_offset, "end": stream.end_offset(), "records": records })
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Log {
    async fn respond(&self, mut req: Request) -> Response {
        let segments = http::path_segments(&req);
        let parts: Vec<&str> = segments.iter().map(String::as_str).collect();
        match (req.method(), parts.as_slice()) {
            (Method::Post, ["faults"]) => self.faults.update(&mut req).await,
            (Method::Post, ["restore"]) => {
                let age = http::query_param(&req, "age_ms").unwrap_or(0);
                self.restore(Duration::from_millis(age));
                http::status(204)
            }
            (Method::Get, ["record"]) => {
                let state = self.lock();
                http::json(&json!({ "appends": state.appends, "reads": state.reads }))
            }
            (Method::Post, ["streams", name]) => self.append(name, req).await,
            (Method::Get, ["streams", name]) => self.read(name, &req).await,
            _ => http::status(404),
        }
    }
}

impl Handler for Log {
    async fn handle(&self, req: Request, _peer: SocketAddr) -> Response {
        let mut response = self.respond(req).await;
        response.insert_header(ERA, self.lock().era.to_string());
        response
    }
}
