use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use config::{Digest, ModelId, VersionId};
use http_types::Method;
use kernel::Clock;
use requests::{Hold, Notice, UpstreamHold};
use serde::{Deserialize, Serialize};
use serde_json::json;
use telemetry::{Outcome, decision};
use wire::{Call, CallResponse, Client, WireError};

use crate::engine_notice::notice_of;

/// Time between two probes of the upstream.
const PROBE_INTERVAL: Duration = Duration::from_millis(250);
/// Time between two probes of an upstream that wants no requests, which notice a new start.
const PAUSED_INTERVAL: Duration = Duration::from_secs(1);
/// Longest wait for the upstream's report of its load.
const REPORT_TIMEOUT: Duration = Duration::from_secs(2);
/// Longest response that is read, in bytes.
const MAX_RESPONSE_BYTES: usize = 64 << 10;

/// Report of an upstream about its load and its model.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct LoadReport {
    /// Changes when the upstream restarts.
    pub incarnation: u64,
    /// Requests running or waiting inside the upstream.
    pub running: u32,
    /// Model version that the engine serves; none for a service without a model or an
    /// engine that has not loaded one.
    #[serde(default)]
    pub serving: Option<Serving>,
}

/// A model version as the engine reports it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Serving {
    /// Model.
    pub model: ModelId,
    /// Version.
    pub version: VersionId,
    /// Digest of the weights that the engine has loaded.
    pub content: Digest,
}

/// Order to an engine to load a model version.
#[derive(Debug, Clone, Serialize)]
pub struct LoadOrder {
    /// Fencing token, higher than those of earlier agent processes on this VM.
    pub fence: u64,
    /// Model.
    pub model: ModelId,
    /// Version.
    pub version: VersionId,
    /// Address of the agent that serves the weights.
    pub source: SocketAddr,
    /// Path of the weights at the agent.
    pub path: String,
}

/// Reply of the engine to a [`LoadOrder`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderReply {
    /// It loads the version.
    Accepted,
    /// It has received a higher fencing token.
    Fenced,
    /// It refused for another reason.
    Refused,
}

/// What became of a run that was to be sent.
pub enum RunCall {
    /// The upstream responds.
    Response(Box<CallResponse>),
    /// Nothing was sent, because the upstream wants no requests.
    Held(Hold),
}

/// Client of the upstream on the agent's VM, which reads what its responses announce.
#[derive(Clone)]
pub struct Engine {
    addr: SocketAddr,
    client: Client,
    clock: Clock,
    hold: Arc<Mutex<UpstreamHold>>,
}

impl Engine {
    /// A client of the upstream at `addr`.
    pub fn new(addr: SocketAddr, client: Client, clock: Clock) -> Self {
        Engine {
            addr,
            client,
            clock,
            hold: Arc::default(),
        }
    }

    /// Address of the upstream.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Why the upstream gets no requests now; `None` if it does.
    pub fn held(&self) -> Option<Hold> {
        self.hold().check(self.clock.now())
    }

    /// Time until a paused upstream wants requests again.
    pub fn retry_after(&self) -> Option<Duration> {
        match self.held()? {
            Hold::Paused { remaining } => Some(remaining),
            Hold::Leaving => None,
        }
    }

    /// Time until the next probe.
    pub fn probe_interval(&self) -> Duration {
        let remaining = self.retry_after().unwrap_or_default();
        remaining.clamp(PROBE_INTERVAL, PAUSED_INTERVAL)
    }

    /// Records a new start of the upstream.
    pub fn record_restart(&self) {
        self.hold().restart();
    }

    /// Sends a run, unless the upstream wants no requests at the moment at which the
    /// connection is ready.
    pub async fn run(&self, call: Call) -> Result<RunCall, WireError> {
        let open = self.client.open(call).await?;
        let start = match self.may_send() {
            Ok(start) => start,
            Err(hold) => {
                open.cancel();
                return Ok(RunCall::Held(hold));
            }
        };
        let response = open.send().await?;
        self.record_notice(start, notice_of(&response));
        Ok(RunCall::Response(Box::new(response)))
    }

    /// The present start of the upstream, if it gets requests.
    fn may_send(&self) -> Result<u64, Hold> {
        let hold = self.hold();
        match hold.check(self.clock.now()) {
            Some(held) => Err(held),
            None => Ok(hold.start()),
        }
    }

    fn record_notice(&self, start: u64, notice: Notice) {
        let now = self.clock.now();
        let (before, after) = {
            let mut hold = self.hold();
            let before = hold.check(now);
            hold.record(now, start, notice);
            (before, hold.check(now))
        };
        if let Some(held) = after.filter(|_| after != before) {
            let fields = json!({ "upstream": self.addr, "why": held.to_string() });
            decision("engine", "upstream held", Outcome::Change, fields);
        }
    }

    fn hold(&self) -> MutexGuard<'_, UpstreamHold> {
        self.hold.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Reads the load report; `None` if the upstream has none. `last` is the incarnation
    /// known so far: what a response with another one announces holds for a new start.
    pub async fn load(&self, last: Option<u64>) -> Result<Option<LoadReport>, WireError> {
        let call = Call::new(Method::Get, self.addr, "/load")?
            .head_timeout(REPORT_TIMEOUT)
            .total_timeout(REPORT_TIMEOUT);
        let start = self.hold().start();
        let response = self.client.send(call).await?;
        let notice = notice_of(&response);
        let report = self.read_report(response).await;
        let start = match &report {
            Ok(Some(r)) if last.is_some_and(|i| i != r.incarnation) => {
                self.record_restart();
                self.hold().start()
            }
            _ => start,
        };
        self.record_notice(start, notice);
        report
    }

    async fn read_report(&self, response: CallResponse) -> Result<Option<LoadReport>, WireError> {
        let is_success = response.status().is_success();
        let bytes = response.bytes(MAX_RESPONSE_BYTES).await?;
        if !is_success {
            return Ok(None);
        }
        let report = serde_json::from_slice(&bytes).map_err(|e| WireError::Decode {
            reason: e.to_string(),
        })?;
        Ok(Some(report))
    }

    /// Orders the engine to load a model version.
    pub async fn order(&self, order: &LoadOrder) -> Result<OrderReply, WireError> {
        let body = serde_json::to_vec(order).map_err(|e| WireError::Decode {
            reason: e.to_string(),
        })?;
        let call = Call::new(Method::Post, self.addr, "/orders")?
            .body(body)
            .header("content-type", "application/json")
            .new_connection();
        let start = self.hold().start();
        let response = self.client.send(call).await?;
        self.record_notice(start, notice_of(&response));
        let status = u16::from(response.status());
        response.bytes(MAX_RESPONSE_BYTES).await?;
        Ok(match status {
            200..=299 => OrderReply::Accepted,
            409 => OrderReply::Fenced,
            _ => OrderReply::Refused,
        })
    }
}

#[cfg(test)]
#[path = "engine_tests.rs"]
mod tests;
