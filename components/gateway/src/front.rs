use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use bytes::Bytes;
use dispatch::{ConfigStatus, LeastPace, MemoryHolder};
use domain::{Account, Dialect, FleetConfig, Platform, RequestHead, Route, ServiceId, now};
use http::{HeaderValue, Request, Response, header, request};
use http_body::Body;
use hyper::body::Incoming;
use serde_json::json;
use telemetry::{Outcome, decision};
use transport::{ClientAddr, Handler, InputEnd, with_timeout};

use crate::answer_log::AnswerLog;
use crate::body_reader::BodyReader;
use crate::caller_request::{CallerRequest, answer_by, features, fingerprint};
use crate::deadline::Deadline;
use crate::dispatcher::Dispatcher;
use crate::refusal::Refusal;
use crate::{ResponseAborted, ResponseBody};

/// Timeout of a request that does not state one.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(10);

/// Memory of a header field beside its name and value: an entry of the map and its index.
const FIELD_BYTES: usize = 112;

/// HTTP interface for callers: validates, authorizes and routes requests.
pub struct Front<P: Platform> {
    dispatcher: Arc<Dispatcher<P>>,
    /// Whether the deployment has client accounts.
    has_accounts: bool,
    /// Least progress of a body.
    least_pace: LeastPace,
    next_id: AtomicU64,
}

impl<P: Platform> Front<P> {
    /// An interface that passes accepted requests to `dispatcher`.
    pub fn new(dispatcher: Arc<Dispatcher<P>>, has_accounts: bool, least_pace: LeastPace) -> Self {
        Front {
            dispatcher,
            has_accounts,
            least_pace,
            next_id: AtomicU64::new(1),
        }
    }

    /// Reads and checks a request. Its body has to arrive before the deadline.
    async fn admit(&self, parts: request::Parts, body: Incoming) -> Result<CallerRequest, Refusal> {
        let arrived = now();
        let head = self.dispatcher.platform.dialect().request_head(&parts);
        let head = head.map_err(|e| {
            log::info!("front: request refused: {e}");
            Refusal::Malformed("a header cannot be used; send the documented headers")
        })?;
        let config = self.dispatcher.feed.view(|v| v.config().cloned());
        let config = config.ok_or(Refusal::NotReady)?;
        let (route, account) = self.authorize(&config, &head)?;
        let timeout = head.timeout.unwrap_or(DEFAULT_TIMEOUT);
        self.dispatcher
            .check_lifetime(arrived + timeout.min(route.timeout))?;
        let patience = route.max_gap.unwrap_or(timeout).min(timeout);
        let mut memory = self.dispatcher.body_buffers.reserve(MemoryHolder {
            address: parts.extensions.get().map(|a: &ClientAddr| a.0.ip()),
            account: account.as_ref().map(|a| a.name.clone()),
        });
        memory
            .grow_to(head_size(&parts))
            .map_err(Refusal::NoMemory)?;
        let reader = BodyReader::new(config.limits.body_bytes, self.least_pace, memory);
        let read = with_timeout(timeout.min(route.timeout), reader.read(body)).await;
        let (body, memory) = read.ok_or(Refusal::OutOfTime)??;
        let service = choose_service(&route, &head);
        let input_end = parts.extensions.get::<InputEnd>().cloned();
        Ok(CallerRequest {
            id: self.next_id.fetch_add(1, Ordering::Relaxed),
            features: features(&head, &body),
            first_attempt: self
                .dispatcher
                .scheduler
                .first_attempt(&route.name, arrived, timeout),
            parts,
            head,
            body,
            memory,
            answer_by: answer_by(arrived, patience).min(arrived + route.timeout),
            deadline: Deadline::new(arrived, timeout, route.timeout),
            route,
            service,
            account,
            arrived,
            input_end: input_end.unwrap_or_default(),
        })
    }

    /// Finds the route and the account of a request. A missing route or an unknown
    /// key is reported as such only when the configuration is known to be current.
    fn authorize(
        &self,
        config: &FleetConfig,
        head: &RequestHead,
    ) -> Result<(Route, Option<Account>), Refusal> {
        let status = self.dispatcher.feed.config_status();
        let if_current = |refusal| match status {
            ConfigStatus::Fresh => refusal,
            _ => Refusal::NotReady,
        };
        let route = config.route(&head.host, &head.path);
        let route = route.ok_or_else(|| if_current(Refusal::NoRoute))?;
        if route.anonymous || !config.needs_keys(self.has_accounts) {
            return Ok((route.clone(), None));
        }
        if status == ConfigStatus::Expired || status == ConfigStatus::Unknown {
            return Err(Refusal::NotReady);
        }
        let key = head.api_key.as_deref();
        let account = key.and_then(|k| config.account(k));
        let account = account.ok_or_else(|| if_current(Refusal::BadKey))?;
        Ok((route.clone(), Some(account.clone())))
    }
}

impl<P: Platform> Handler for Front<P> {
    type Body = ResponseBody;
    type Error = ResponseAborted;

    fn serves_half_closed(&self) -> bool {
        true
    }

    fn connection_limited(&self, peer: SocketAddr, reason: &'static str) {
        metrics::counter!("turmerichold_connections_limited_total", "reason" => reason)
            .increment(1);
        let fields = json!({ "caller": peer, "why": reason });
        decision("front", "connection limited", Outcome::Failure, fields);
    }

    fn connection_failed(&self, peer: SocketAddr, error: &hyper::Error) {
        if error.is_parse_too_large() {
            metrics::counter!("turmerichold_connections_limited_total", "reason" => "large head")
                .increment(1);
        }
        let fields = json!({ "caller": peer, "why": transport::reason_of(error) });
        decision("front", "connection failed", Outcome::Failure, fields);
    }

    async fn handle(&self, request: Request<Incoming>) -> Response<ResponseBody> {
        let (parts, body) = request.into_parts();
        let path = parts.uri.path().to_owned();
        let has_body = !body.is_end_stream();
        match self.admit(parts, body).await {
            Ok(request) => {
                let log = AnswerLog::new(&request);
                let response = self.dispatcher.dispatch(request).await;
                response.map(|body| body.logged(log))
            }
            Err(refusal) => {
                let reason = refusal.name();
                metrics::counter!("turmerichold_requests_not_admitted_total", "reason" => reason)
                    .increment(1);
                let fields = json!({ "path": path, "status": refusal.status().as_u16() });
                decision("front", refusal.name(), Outcome::Failure, fields);
                let mut response = refusal.response(self.dispatcher.platform.dialect());
                if has_body {
                    // The rest of the body is not read.
                    let close = HeaderValue::from_static("close");
                    response.headers_mut().insert(header::CONNECTION, close);
                }
                response
            }
        }
    }
}

/// Approximate memory of a head.
fn head_size(parts: &request::Parts) -> usize {
    let fields = parts.headers.iter();
    let fields = fields.map(|(n, v)| n.as_str().len() + v.len() + FIELD_BYTES);
    parts.uri.path().len() + fields.sum::<usize>()
}

/// Chooses a service among the weighted targets of a route. The choice follows
/// a hash of `head`, so that retries of a request reach the same service.
fn choose_service(route: &Route, head: &RequestHead) -> ServiceId {
    let total: u64 = route.targets.iter().map(|(_, w)| u64::from(*w)).sum();
    let mut point = fingerprint(head, &Bytes::new()) % total.max(1);
    for (service, weight) in &route.targets {
        let weight = u64::from(*weight);
        if point < weight {
            return service.clone();
        }
        point -= weight;
    }
    // Reached when every weight is 0. A route has at least one target, so the
    // default is not used.
    route
        .targets
        .first()
        .map(|(s, _)| s.clone())
        .unwrap_or_default()
}
