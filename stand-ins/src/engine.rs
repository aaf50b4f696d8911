//! A model engine with continuous batching, a cold start and optional fencing of load
//! orders. It records what it serves.

use std::collections::HashSet;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use config::{Digest, ModelId, VersionId};
use futures_lite::AsyncRead;
use futures_lite::io::BufReader;
use http_types::{Body, Method, Request, Response};
use serde::{Deserialize, Serialize};
use serde_json::json;
use smol::Timer;
use wire::{Call, Client, Handler};

use crate::faults::{FaultAction, FaultInjector, Faults};
use crate::http;

/// A prompt that contains this word crashes the engine.
pub const CRASH_WORD: &str = "CRASH";
/// Tokens written at a time.
const TOKENS_PER_WRITE: u32 = 4;
/// Factor by which a cold engine is slower than a warm one.
const COLD_SLOWDOWN: u32 = 3;
/// Lowest priority of requests that a large batch does not slow down.
const URGENT_PRIORITY: u8 = 8;
/// Prompt prefixes kept in the cache.
const CACHED_PREFIXES: usize = 64;
/// Characters of a prompt that count as its prefix.
const PREFIX_CHARS: usize = 64;

/// How an engine behaves.
#[derive(Debug, Clone)]
pub struct EngineSpec {
    /// Whether load orders with an old fencing number are refused.
    pub fenced: bool,
    /// Requests that a cold engine can run at once.
    pub cold_slots: usize,
    /// Requests that a warm engine can run at once without slowing down.
    pub slots: usize,
    /// Time from the start of a request to its first token, without a cached prefix.
    pub prefill_time: Duration,
    /// Time between two tokens of a request while the batch is small.
    pub token_time: Duration,
    /// Time from a crash until the engine accepts requests again.
    pub restart_time: Duration,
    /// Time for which a reported load is reused.
    pub report_lag: Duration,
}

/// Body of a request to an engine.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct GenerateRequest {
    /// Prompt.
    pub prompt: String,
    /// Tokens to generate.
    pub max_tokens: u32,
    /// Whether the response is a stream of lines.
    #[serde(default)]
    pub stream: bool,
}

/// What an engine has served, as `GET /record` returns it.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct EngineRecord {
    /// Requests started.
    pub runs: u64,
    /// Requests completed.
    pub completed: u64,
    /// Requests cancelled by their callers.
    pub cancelled: u64,
    /// Tokens generated.
    pub tokens: u64,
    /// Requests started above the engine's capacity at the time.
    pub cold_overruns: u64,
    /// Requests started without a completely loaded set of weights.
    pub partial_weights: u64,
    /// Most requests in flight at one time.
    pub peak: usize,
    /// Prompts whose prefix was in the cache.
    pub prefix_hits: u64,
    /// Number of crashes.
    pub crashes: u64,
    /// Start times of the requests, in milliseconds of the Unix time.
    pub starts: Vec<u64>,
}

#[derive(Debug, Clone, Serialize, Deserialize)]
struct LoadOrder {
    fence: u64,
    model: ModelId,
    version: VersionId,
    source: SocketAddr,
    path: String,
}

#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
struct Serving {
    model: ModelId,
    version: VersionId,
    content: Digest,
}

struct State {
    serving: Option<Serving>,
    loading: bool,
    fence: u64,
    incarnation: u64,
    down: bool,
    running: usize,
    /// Requests completed since the engine was last cold.
    since_cold: usize,
    prefixes: HashSet<u64>,
    /// Reported number of running requests and when it was read.
    reported: (Instant, usize),
    record: EngineRecord,
}

/// Stand-in of a model engine.
pub struct Engine {
    spec: EngineSpec,
    state: Mutex<State>,
    faults: FaultInjector,
    client: Client,
}

/// Current time in milliseconds of the Unix time.
pub fn unix_time_ms() -> u64 {
    let now = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    u64::try_from(now.as_millis()).unwrap_or(u64::MAX)
}

/// The text that every engine generates for a prompt.
pub fn generated_text(prompt: &str) -> String {
    Digest::of(prompt.as_bytes()).to_string()
}

impl Engine {
    /// Creates an engine without weights.
    pub fn new(spec: EngineSpec) -> Self {
        Engine {
            spec,
            state: Mutex::new(State {
                serving: None,
                loading: false,
                fence: 0,
                incarnation: fastrand::u64(1..),
                down: false,
                running: 0,
                since_cold: 0,
                prefixes: HashSet::new(),
                reported: (Instant::now(), 0),
                record: EngineRecord::default(),
            }),
            faults: FaultInjector::default(),
            client: Client::default(),
        }
    }

    /// Replaces the faults in effect.
    pub fn set_faults(&self, faults: Faults) {
        self.faults.set(faults);
    }

    async fn generate(self: &Arc<Self>, mut req: Request) -> Response {
        let action = self.faults.next_action().await;
        if action == FaultAction::Refuse || self.lock().down {
            return http::aborted();
        }
        if let Some(res) = self.faults.refusal() {
            return res;
        }
        let request: GenerateRequest = match http::read_json(&mut req).await {
            Ok(request) => request,
            Err(res) => return res,
        };
        let priority = priority(&req);
        let mut generation = self.start_generation(&request, priority);
        if request.prompt.contains(CRASH_WORD) {
            self.crash();
        }
        if action == FaultAction::LoseResponse {
            return http::aborted();
        }
        let digest = generation.digest;
        let mut res = match request.stream {
            true => {
                let mut res = http::status(200);
                res.set_body(Body::from_reader(BufReader::new(generation), None));
                res
            }
            false => {
                let mut bytes = Vec::new();
                if futures_lite::AsyncReadExt::read_to_end(&mut generation, &mut bytes)
                    .await
                    .is_err()
                {
                    return http::aborted();
                }
                http::json(
                    &json!({ "text": generated_text(&request.prompt), "tokens": request.max_tokens }),
                )
            }
        };
        if let Some(digest) = digest {
            res.insert_header("model-digest", digest.to_string());
        }
        res
    }

    fn start_generation(self: &Arc<Self>, request: &GenerateRequest, priority: u8) -> Generation {
        if self.faults.take_cold() {
            self.lock().since_cold = 0;
        }
        let mut state = self.lock();
        let prefix: String = request.prompt.chars().take(PREFIX_CHARS).collect();
        let key = Digest::of(prefix.as_bytes()).prefix();
        let hit = state.prefixes.contains(&key);
        if state.prefixes.len() >= CACHED_PREFIXES {
            state.prefixes.clear();
        }
        state.prefixes.insert(key);
        let capacity = self.capacity(&state);
        state.running += 1;
        let running = state.running;
        let slowdown = self.slowdown(&state, priority);
        let serving = state.serving.clone();
        let loading = state.loading;
        let record = &mut state.record;
        record.runs += 1;
        record.prefix_hits += u64::from(hit);
        record.peak = record.peak.max(running);
        record.starts.push(unix_time_ms());
        record.cold_overruns += u64::from(running > capacity);
        record.partial_weights += u64::from(loading || serving.is_none());
        let prefill = match hit {
            true => self.spec.prefill_time / 4,
            false => self.spec.prefill_time,
        };
        Generation {
            engine: self.clone(),
            priority,
            incarnation: state.incarnation,
            digest: serving.map(|s| s.content),
            text: generated_text(&request.prompt),
            remaining: request.max_tokens,
            timer: Timer::after(prefill.mul_f64(slowdown)),
            pause: self.faults.stream_pause(),
            pending: Vec::new(),
            ended: false,
        }
    }

    /// Requests that the engine can run at once; each one completed since it was cold
    /// adds a slot.
    fn capacity(&self, state: &State) -> usize {
        (self.spec.cold_slots + state.since_cold).min(self.spec.slots)
    }

    /// Time until the next tokens of one request.
    fn write_interval(&self, priority: u8) -> Duration {
        let factor = self.slowdown(&self.lock(), priority);
        (self.spec.token_time * TOKENS_PER_WRITE).mul_f64(factor)
    }

    /// Factor by which a request runs slower than alone on a warm engine.
    ///
    /// Above its capacity a warm engine divides its rate among all requests; a cold one
    /// slows down with the square of the excess. Urgent requests on a warm engine run
    /// at the full rate.
    fn slowdown(&self, state: &State, priority: u8) -> f64 {
        let capacity = self.capacity(state);
        if priority >= URGENT_PRIORITY && capacity == self.spec.slots {
            return 1.0;
        }
        let load_ratio = (state.running as f64 / capacity as f64).max(1.0);
        match capacity < self.spec.slots {
            true => f64::from(COLD_SLOWDOWN) * load_ratio * load_ratio,
            false => load_ratio,
        }
    }

    fn crash(self: &Arc<Self>) {
        {
            let mut state = self.lock();
            state.down = true;
            state.incarnation = fastrand::u64(1..);
            state.serving = None;
            state.loading = false;
            state.since_cold = 0;
            state.prefixes.clear();
            state.record.crashes += 1;
        }
        let engine = self.clone();
        smol::spawn(async move {
            Timer::after(engine.spec.restart_time).await;
            engine.lock().down = false;
        })
        .detach();
    }

    async fn accept_load(self: &Arc<Self>, mut req: Request) -> Response {
        let action = self.faults.next_action().await;
        if action == FaultAction::Refuse || self.lock().down {
            return http::aborted();
        }
        let order: LoadOrder = match http::read_json(&mut req).await {
            Ok(order) => order,
            Err(res) => return res,
        };
        let incarnation = {
            let mut state = self.lock();
            if self.spec.fenced && order.fence < state.fence {
                return http::status(409);
            }
            state.fence = order.fence.max(state.fence);
            state.serving = None;
            state.loading = true;
            state.incarnation
        };
        let engine = self.clone();
        smol::spawn(async move { engine.load_weights(order, incarnation).await }).detach();
        match action {
            FaultAction::LoseResponse => http::aborted(),
            _ => http::status(202),
        }
    }

    async fn load_weights(&self, order: LoadOrder, incarnation: u64) {
        let content = self.fetch_weights(&order).await;
        let mut state = self.lock();
        if state.incarnation != incarnation {
            return;
        }
        state.loading = false;
        state.serving = content.map(|content| Serving {
            model: order.model,
            version: order.version,
            content,
        });
        state.since_cold = 0;
        state.prefixes.clear();
    }

    async fn fetch_weights(&self, order: &LoadOrder) -> Option<Digest> {
        let call = Call::new(Method::Get, order.source, &order.path)
            .ok()?
            .new_connection();
        let response = self.client.send(call).await.ok()?;
        if !response.status().is_success() {
            return None;
        }
        let bytes = response.bytes(1 << 30).await.ok()?;
        Some(Digest::of(&bytes))
    }

    fn report_load(&self) -> Response {
        let mut state = self.lock();
        if state.down {
            return http::aborted();
        }
        if state.reported.0.elapsed() >= self.spec.report_lag {
            state.reported = (Instant::now(), state.running);
        }
        http::json(&json!({
            "incarnation": state.incarnation,
            "running": state.reported.1,
            "serving": state.serving,
        }))
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Generation of one request; its bytes are the body of a streamed response.
struct Generation {
    engine: Arc<Engine>,
    priority: u8,
    incarnation: u64,
    digest: Option<Digest>,
    text: String,
    remaining: u32,
    timer: Timer,
    /// Added once to the time until the next tokens.
    pause: Duration,
    pending: Vec<u8>,
    ended: bool,
}

impl Generation {
    fn step(&mut self) -> io::Result<()> {
        if self.engine.lock().incarnation != self.incarnation {
            return Err(io::ErrorKind::ConnectionReset.into());
        }
        if self.remaining == 0 {
            self.ended = true;
            let mut state = self.engine.lock();
            state.record.completed += 1;
            state.since_cold += 1;
            return Ok(());
        }
        let count = self.remaining.min(TOKENS_PER_WRITE);
        self.remaining -= count;
        self.engine.lock().record.tokens += u64::from(count);
        self.pending = format!("{} {}\n", self.text, self.remaining).into_bytes();
        let interval = self.engine.write_interval(self.priority);
        self.timer = Timer::after(interval + std::mem::take(&mut self.pause));
        Ok(())
    }
}

impl AsyncRead for Generation {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        loop {
            if !self.pending.is_empty() {
                let count = self.pending.len().min(buf.len());
                buf[..count].copy_from_slice(&self.pending[..count]);
                self.pending.drain(..count);
                return Poll::Ready(Ok(count));
            }
            if self.ended {
                return Poll::Ready(Ok(0));
            }
            if std::future::Future::poll(Pin::new(&mut self.timer), cx).is_pending() {
                return Poll::Pending;
            }
            if let Err(e) = self.step() {
                return Poll::Ready(Err(e));
            }
        }
    }
}

impl Drop for Generation {
    fn drop(&mut self) {
        let mut state = self.engine.lock();
        state.running -= 1;
        if !self.ended {
            state.record.cancelled += 1;
        }
    }
}

fn priority(req: &Request) -> u8 {
    let header = req.header("priority").map(|v| v.last().as_str());
    header.and_then(|v| v.parse().ok()).unwrap_or(0)
}

/// HTTP handler of one engine.
pub struct EngineHandler(pub Arc<Engine>);

impl Handler for EngineHandler {
    async fn handle(&self, mut req: Request, _peer: SocketAddr) -> Response {
        let segments = http::path_segments(&req);
        let parts: Vec<&str> = segments.iter().map(String::as_str).collect();
        match (req.method(), parts.as_slice()) {
            (Method::Post, ["faults"]) => self.0.faults.update(&mut req).await,
            (Method::Get, ["record"]) => http::json(&self.0.lock().record),
            (Method::Get, ["load"]) => self.0.faults.announce(self.0.report_load()),
            (Method::Post, ["orders"]) => self.0.faults.announce(self.0.accept_load(req).await),
            (Method::Post, ["crash"]) => {
                self.0.crash();
                http::status(204)
            }
            (Method::Post, _) => self.0.faults.announce(self.0.generate(req).await),
            _ => http::status(404),
        }
    }
}
