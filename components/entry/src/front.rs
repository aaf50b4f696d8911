use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use anyhow::Context;
use config::{ConfigCell, NodeSettings};
use http_types::{Method, Request, Response, StatusCode};
use kernel::{BoxFuture, Clock, Registry, Service};
use protocol::paths;
use telemetry::MetricsPage;
use wire::{Client, Handler, Problem, ServerTask};

use crate::caller_request::CallerRequest;
use crate::config_service::ConfigService;
use crate::directory::Directory;
use crate::dispatcher::{Dispatcher, DispatcherParts};
use crate::operator::Operator;
use crate::schedulers::Schedulers;

/// The entry's HTTP interface.
pub struct Front {
    settings: NodeSettings,
    client: Client,
    clock: Clock,
    metrics: Arc<MetricsPage>,
    leaving: Arc<AtomicBool>,
    listening: ServerTask,
}

impl Front {
    /// Name in the registry.
    pub const NAME: &'static str = "front";

    /// The interface of the entry described by `settings`.
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
            leaving: Arc::default(),
            listening: ServerTask::default(),
        }
    }
}

impl Service for Front {
    fn name(&self) -> &'static str {
        Self::NAME
    }

    fn start(&self, peers: &Registry) -> anyhow::Result<()> {
        let config: Arc<ConfigService> = peers.find(ConfigService::NAME)?;
        let directory: Arc<Directory> = peers.find(Directory::NAME)?;
        let schedulers = directory.schedulers().clone();
        let parts = DispatcherParts {
            vm: self.settings.vm.clone(),
            log: config.log().clone(),
            crashes: config.crashes().clone(),
            client: self.client.clone(),
            clock: self.clock,
        };
        let handler = Arc::new(FrontHandler {
            cell: config.cell().clone(),
            operator: Operator::new(config, schedulers.clone()),
            schedulers,
            dispatcher: Dispatcher::new(parts),
            metrics: self.metrics.clone(),
            leaving: self.leaving.clone(),
        });
        let addr = self.settings.listen;
        self.listening
            .start(addr, handler, self.settings.drain)
            .with_context(|| format!("front: cannot listen on {addr}; change node.listen"))?;
        log::info!("front: listening on {addr}");
        Ok(())
    }

    fn stop(&self, limit: Duration) -> BoxFuture<'_, ()> {
        self.leaving.store(true, Ordering::Relaxed);
        Box::pin(async move {
            if !self.listening.stop(limit).await {
                log::warn!("front: requests were still running at the drain limit");
            }
        })
    }
}

struct FrontHandler {
    cell: Arc<ConfigCell>,
    schedulers: Arc<Schedulers>,
    operator: Operator,
    dispatcher: Dispatcher,
    metrics: Arc<MetricsPage>,
    leaving: Arc<AtomicBool>,
}

impl Handler for FrontHandler {
    async fn handle(&self, request: Request, _peer: SocketAddr) -> Response {
        let path = request.url().path().to_owned();
        match (request.method(), path.as_str()) {
            (Method::Get, "/healthz") => Response::new(StatusCode::Ok),
            (Method::Get, "/readyz") => self.ready(),
            (Method::Get, "/metrics") => self.metrics.render().into(),
            (Method::Get, "/config") => self.operator.text(),
            (Method::Put, "/config") => self.operator.apply(request).await,
            (Method::Get, "/status") => self.operator.status(),
            (Method::Get, "/audit") => self.operator.audit().await,
            (Method::Get, paths::SNAPSHOT) => self.operator.snapshot(),
            (Method::Get, p) if p.starts_with("/config/proposals/") => self
                .operator
                .proposal_status(&p["/config/proposals/".len()..]),
            _ => self.serve(request).await,
        }
    }
}

impl FrontHandler {
    fn ready(&self) -> Response {
        let leaving = self.leaving.load(Ordering::Relaxed);
        match self.cell.get() {
            Some(_) if !leaving => Response::new(StatusCode::Ok),
            _ => Response::new(StatusCode::ServiceUnavailable),
        }
    }

    async fn serve(&self, mut request: Request) -> Response {
        let Some(c) = self.cell.get() else {
            let detail = "no configuration is in force yet; send the request again later";
            return Problem::not_run(503, "not ready", detail)
                .retry_after(Duration::from_secs(1))
                .into();
        };
        let checked = match CallerRequest::read(&mut request, &c.declaration).await {
            Ok(checked) => checked,
            Err(p) => return reject(p),
        };
        let Some(scheduler) = self.schedulers.get(&checked.service) else {
            let detail = "the service is not known here yet; send the request again later";
            return Problem::not_run(503, "not ready", detail)
                .retry_after(Duration::from_secs(1))
                .into();
        };
        let response = self.dispatcher.dispatch(&scheduler, &checked).await;
        count(&checked.service, response.status());
        response
    }
}

/// Refuses a request whose body may not have been read; the connection ends.
fn reject(problem: Problem) -> Response {
    let mut res = Response::from(problem);
    res.insert_header("connection", "close");
    res
}

fn count(service: &str, status: StatusCode) {
    let labels = [
        ("service", service.to_owned()),
        ("code", u16::from(status).to_string()),
    ];
    metrics::counter!("turmerichold_requests_total", &labels).increment(1);
}
