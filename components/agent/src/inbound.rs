use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use anyhow::Context;
use config::{AgentSettings, Digest};
use http_types::{Body, Method, Request, Response, StatusCode};
use kernel::{BoxFuture, Drain, Registry, Service};
use protocol::{
    Availability, Heartbeat, HeartbeatReply, RunRequest, Settle, SettleReply, headers, paths,
};
use requests::Settled;
use serde::de::DeserializeOwned;
use telemetry::MetricsPage;
use wire::{Caller, Handler, Problem, ServerTask, read_limited};

use crate::admission_controller::AdmissionController;
use crate::chunk_body::ChunkBody;
use crate::config_follower::ConfigFollower;
use crate::runner::Runner;
use crate::weights_service::WeightsService;

/// Longest message accepted from an entry, in bytes.
const MAX_MESSAGE_BYTES: usize = 2 << 20;

/// HTTP interface of the agent for entries, other agents and its engine.
pub struct Inbound {
    settings: AgentSettings,
    metrics: Arc<MetricsPage>,
    server: ServerTask,
}

impl Inbound {
    /// Name in the registry.
    pub const NAME: &'static str = "inbound";

    /// The interface of the agent described by `settings`.
    pub fn new(settings: &AgentSettings, metrics: Arc<MetricsPage>) -> Self {
        Inbound {
            settings: settings.clone(),
            metrics,
            server: ServerTask::default(),
        }
    }
}

impl Service for Inbound {
    fn name(&self) -> &'static str {
        Self::NAME
    }

    fn start(&self, registry: &Registry) -> anyhow::Result<()> {
        let admission: Arc<AdmissionController> = registry.find(AdmissionController::NAME)?;
        let handler = Arc::new(InboundHandler {
            settings: self.settings.clone(),
            config: registry.find(ConfigFollower::NAME)?,
            weights: registry.find(WeightsService::NAME)?,
            runner: Runner::new(admission.clone()),
            admission,
            metrics: self.metrics.clone(),
        });
        let addr = self.settings.node.listen;
        self.server
            .start(addr, handler, self.settings.node.drain)
            .with_context(|| format!("inbound: cannot listen on {addr}; change node.listen"))?;
        log::info!("inbound: listening on {addr}");
        Ok(())
    }

    fn stop(&self, timeout: Duration) -> BoxFuture<'_, Drain> {
        Box::pin(async move {
            let is_complete = self.server.stop(timeout).await;
            if !is_complete {
                log::warn!("inbound: requests were still in flight when the drain timeout expired");
            }
            Drain::from_complete(is_complete)
        })
    }
}

struct InboundHandler {
    settings: AgentSettings,
    config: Arc<ConfigFollower>,
    admission: Arc<AdmissionController>,
    weights: Arc<WeightsService>,
    runner: Runner,
    metrics: Arc<MetricsPage>,
}

impl Handler for InboundHandler {
    async fn handle(&self, request: Request, _peer: SocketAddr) -> Response {
        self.route(request, None).await
    }

    async fn handle_caller(&self, request: Request, caller: Caller) -> Response {
        self.route(request, Some(caller)).await
    }
}

impl InboundHandler {
    async fn route(&self, mut request: Request, caller: Option<Caller>) -> Response {
        let path = request.url().path().to_owned();
        match (request.method(), path.as_str()) {
            (Method::Post, paths::RUN) => match read_message::<RunRequest>(&mut request).await {
                Ok(_) if has_left(caller).await => Response::new(StatusCode::BadGateway),
                Ok(run) => self.runner.run(run, expiry(&request)).await,
                Err(p) => p.into(),
            },
            (Method::Post, paths::HEARTBEAT) => match read_message::<Heartbeat>(&mut request).await
            {
                Ok(h) => self.heartbeat(&h),
                Err(p) => p.into(),
            },
            (Method::Post, paths::SETTLE) => match read_message::<Settle>(&mut request).await {
                Ok(s) => self.settle(&s),
                Err(p) => p.into(),
            },
            (Method::Get, "/healthz") => Response::new(StatusCode::Ok),
            (Method::Get, "/readyz") => self.readiness(),
            (Method::Get, "/metrics") => self.metrics.render().into(),
            (Method::Get, p) => self.weights(p),
            _ => not_found(&path),
        }
    }

    fn heartbeat(&self, heartbeat: &Heartbeat) -> Response {
        self.config.fetch_if_newer(heartbeat);
        encode_response(&HeartbeatReply {
            vm: self.settings.node.vm.clone(),
            ticket: self.admission.issue_ticket(),
            availability: self.admission.availability(),
            load: self.admission.load(),
            revision: self.config.cell().revision(),
            progress: self.admission.progress(),
            crashes: self.admission.crashes(),
            retry_after: self.admission.engine().retry_after(),
        })
    }

    fn settle(&self, settle: &Settle) -> Response {
        encode_response(&match self.admission.settle(&settle.id, settle.ticket) {
            Settled::Voided => SettleReply::Voided,
            Settled::Running => SettleReply::Running,
            Settled::Answered(a) => SettleReply::Answered((*a).clone()),
            Settled::Unknown => SettleReply::Unknown,
        })
    }

    fn readiness(&self) -> Response {
        match self.admission.availability() {
            Availability::Open => Response::new(StatusCode::Ok),
            _ => Response::new(StatusCode::ServiceUnavailable),
        }
    }

    fn weights(&self, path: &str) -> Response {
        if let Some(digest) = parse_digest(path, paths::CHUNK) {
            return match self.weights.chunk(&digest) {
                Some(chunk) => chunks_response(vec![chunk]),
                None => not_found(path),
            };
        }
        match parse_digest(path, paths::MODEL).and_then(|d| self.weights.model(&d)) {
            Some(chunks) => chunks_response(chunks),
            None => not_found(path),
        }
    }
}

/// Whether an entry has closed the connection of a run, which is then not begun: the agent may
/// have stood still meanwhile.
async fn has_left(entry: Option<Caller>) -> bool {
    match entry {
        Some(entry) => entry.has_ended_input().await,
        None => false,
    }
}

/// The deadline of a run on the agent's clock, which entries of earlier releases do not send.
fn expiry(request: &Request) -> Option<Duration> {
    let millis = request.header(headers::EXPIRY_MS)?.last().as_str().parse();
    millis.ok().map(Duration::from_millis)
}

fn parse_digest(path: &str, prefix: &str) -> Option<Digest> {
    path.strip_prefix(prefix)?.parse().ok()
}

fn chunks_response(chunks: Vec<Arc<[u8]>>) -> Response {
    let body = ChunkBody::new(chunks);
    let len = body.len();
    let mut res = Response::new(StatusCode::Ok);
    res.set_body(Body::from_reader(body, Some(len)));
    res
}

async fn read_message<T: DeserializeOwned>(request: &mut Request) -> Result<T, Problem> {
    let bytes = read_limited(request, MAX_MESSAGE_BYTES)
        .await
        .map_err(|e| Problem::not_run(400, "bad message", e.to_string()))?;
    wire::decode(&bytes).map_err(|e| Problem::not_run(400, "bad message", e.to_string()))
}

fn encode_response<T: serde::Serialize>(message: &T) -> Response {
    let mut res = Response::new(StatusCode::Ok);
    res.set_body(wire::encode(message).unwrap_or_default());
    res
}

fn not_found(path: &str) -> Response {
    Problem::not_run(404, "not found", format!("{path} does not exist")).into()
}
