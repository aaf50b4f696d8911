use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use anyhow::Context;
use async_channel::{Receiver, Sender};
use config::{ConfigCell, NodeSettings};
use http_types::{Method, Request, Response, StatusCode};
use kernel::{BoxFuture, Clock, Drain, Registry, Service};
use protocol::paths;
use smol::Timer;
use telemetry::MetricsPage;
use wire::{Caller, Client, Handler, InputEnd, Problem, ServerTask};

use crate::answer_log::log_stopped;
use crate::caller_request::CallerRequest;
use crate::config_service::ConfigService;
use crate::directory::Directory;
use crate::dispatcher::{Dispatcher, DispatcherParts};
use crate::interrupt::Interrupt;
use crate::open_answers::OpenAnswers;
use crate::operator_api::OperatorApi;
use crate::schedulers::Schedulers;

/// Time before the end of a shutdown at which the requests that are left are answered.
const ANSWER_MARGIN: Duration = Duration::from_millis(300);

/// HTTP server of the entry, for callers, operators and other processes.
pub struct Front {
    settings: NodeSettings,
    client: Client,
    clock: Clock,
    metrics: Arc<MetricsPage>,
    stopping: Arc<AtomicBool>,
    /// Closed shortly before the end of a shutdown.
    end: (Sender<()>, Receiver<()>),
    server: ServerTask,
    open: OpenAnswers,
}

impl Front {
    /// Name in the registry.
    pub const NAME: &'static str = "front";

    /// The server of the entry described by `settings`.
    pub fn new(
        settings: &NodeSettings,
        client: Client,
        clock: Clock,
        metrics: Arc<MetricsPage>,
    ) -> Self {
        Front {
            settings: settings.clone(),
            client,
            clock,
            metrics,
            stopping: Arc::default(),
            end: async_channel::bounded(1),
            server: ServerTask::default(),
            open: OpenAnswers::default(),
        }
    }
}

impl Service for Front {
    fn name(&self) -> &'static str {
        Self::NAME
    }

    fn start(&self, registry: &Registry) -> anyhow::Result<()> {
        let config: Arc<ConfigService> = registry.find(ConfigService::NAME)?;
        let directory: Arc<Directory> = registry.find(Directory::NAME)?;
        let schedulers = directory.schedulers().clone();
        let parts = DispatcherParts {
            vm: self.settings.vm.clone(),
            log: config.log().clone(),
            crashes: config.crashes().clone(),
            client: self.client.clone(),
            clock: self.clock,
            open: self.open.clone(),
        };
        let handler = Arc::new(FrontHandler {
            cell: config.cell().clone(),
            operator: OperatorApi::new(config, schedulers.clone()),
            schedulers,
            dispatcher: Dispatcher::new(parts),
            metrics: self.metrics.clone(),
            stopping: self.stopping.clone(),
            end: self.end.1.clone(),
        });
        let addr = self.settings.listen;
        self.server
            .start(addr, handler, self.settings.drain)
            .with_context(|| format!("front: cannot listen on {addr}; change node.listen"))?;
        log::info!("front: listening on {addr}");
        Ok(())
    }

    fn stop(&self, timeout: Duration) -> BoxFuture<'_, Drain> {
        self.stopping.store(true, Ordering::Relaxed);
        let end = self.end.0.clone();
        smol::spawn(async move {
            Timer::after(timeout.saturating_sub(ANSWER_MARGIN)).await;
            end.close();
        })
        .detach();
        Box::pin(async move {
            let is_complete = self.server.stop(timeout).await;
            if !is_complete {
                log::warn!("front: requests were still in flight when the drain timeout expired");
                log_stopped(&self.open);
            }
            Drain::from_complete(is_complete)
        })
    }
}

struct FrontHandler {
    cell: Arc<ConfigCell>,
    schedulers: Arc<Schedulers>,
    operator: OperatorApi,
    dispatcher: Dispatcher,
    metrics: Arc<MetricsPage>,
    stopping: Arc<AtomicBool>,
    end: Receiver<()>,
}

impl Handler for FrontHandler {
    const INPUT_END: InputEnd = InputEnd::Notify;

    async fn handle(&self, request: Request, _peer: SocketAddr) -> Response {
        self.route(request, None).await
    }

    async fn handle_caller(&self, request: Request, caller: Caller) -> Response {
        self.route(request, Some(caller)).await
    }
}

impl FrontHandler {
    async fn route(&self, request: Request, caller: Option<Caller>) -> Response {
        let path = request.url().path().to_owned();
        match (request.method(), path.as_str()) {
            (Method::Get, "/healthz") => Response::new(StatusCode::Ok),
            (Method::Get, "/readyz") => self.readiness(),
            (Method::Get, "/metrics") => self.metrics.render().into(),
            (Method::Get, "/config") => self.operator.config_text(),
            (Method::Put, "/config") => self.operator.apply(request).await,
            (Method::Get, "/status") => self.operator.status(),
            (Method::Get, "/audit") => self.operator.audit().await,
            (Method::Get, paths::SNAPSHOT) => self.operator.snapshot(),
            (Method::Get, p) if p.starts_with("/config/proposals/") => self
                .operator
                .proposal_status(&p["/config/proposals/".len()..]),
            _ => self.serve(request, caller).await,
        }
    }

    fn readiness(&self) -> Response {
        let stopping = self.stopping.load(Ordering::Relaxed);
        match self.cell.get() {
            Some(_) if !stopping => Response::new(StatusCode::Ok),
            _ => Response::new(StatusCode::ServiceUnavailable),
        }
    }

    /// Handles a request of a caller.
    async fn serve(&self, mut request: Request, caller: Option<Caller>) -> Response {
        let Some(active) = self.cell.get() else {
            let detail = "no configuration is in force yet; send the request again later";
            return Problem::not_run(503, "not ready", detail)
                .retry_after(Duration::from_secs(1))
                .into();
        };
        let caller_request = match CallerRequest::read(&mut request, &active.declaration).await {
            Ok(caller_request) => caller_request,
            Err(p) => return reject(p),
        };
        let Some(scheduler) = self.schedulers.get(&caller_request.service) else {
            let detail = "the entry does not serve this service yet; send the request again later";
            return Problem::not_run(503, "not ready", detail)
                .retry_after(Duration::from_secs(1))
                .into();
        };
        let interrupt = Interrupt::new(caller, self.end.clone());
        let response = self
            .dispatcher
            .dispatch(&scheduler, &caller_request, &interrupt)
            .await;
        count_request(&caller_request.service, response.status());
        response
    }
}

/// Refuses a request and closes the connection, since its body may not have been read.
fn reject(problem: Problem) -> Response {
    let mut res = Response::from(problem);
    res.insert_header("connection", "close");
    res
}

/// Counts a request in the metrics.
fn count_request(service: &str, status: StatusCode) {
    let labels = [
        ("service", service.to_owned()),
        ("code", u16::from(status).to_string()),
    ];
    metrics::counter!("turmerichold_requests_total", &labels).increment(1);
}
