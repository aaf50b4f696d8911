use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use bytes::Bytes;
use dispatch::Standing;
use domain::{Account, Dialect, FleetConfig, Platform, RequestHead, Route, ServiceId, now};
use http::{Request, Response, request};
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use serde_json::json;
use telemetry::{Outcome, decision};
use transport::{Handler, within};

use crate::dispatcher::Dispatcher;
use crate::job::{Job, fingerprint};
use crate::refusal::Refusal;
use crate::{AnswerBody, Cut};

/// Patience of a caller who names none.
const DEFAULT_PATIENCE: Duration = Duration::from_secs(10);

/// Takes callers' requests.
pub struct Front<P: Platform> {
    dispatcher: Arc<Dispatcher<P>>,
    next: AtomicU64,
}

impl<P: Platform> Front<P> {
    /// A front that hands requests to `dispatcher`.
    pub fn new(dispatcher: Arc<Dispatcher<P>>) -> Self {
        Front {
            dispatcher,
            next: AtomicU64::new(1),
        }
    }

    async fn admit(&self, head: request::Parts, body: Incoming) -> Result<Job, Refusal> {
        let arrived = now();
        let ask = self.dispatcher.platform.dialect().request_head(&head);
        let ask = ask.map_err(|e| {
            log::info!("front: request refused: {e}");
            Refusal::Malformed("a header cannot be used; send the documented headers")
        })?;
        let plan = self.dispatcher.feed.view(|v| v.plan().cloned());
        let plan = plan.ok_or(Refusal::NotReady)?;
        let (route, account) = self.allow(&plan, &ask)?;
        let patience = ask.timeout.unwrap_or(DEFAULT_PATIENCE);
        let until = arrived + patience.min(route.timeout);
        let limit = until.saturating_sub(arrived);
        let body = Limited::new(body, plan.limits.body_bytes).collect();
        let body = match within(limit, body).await {
            Some(Ok(body)) => body.to_bytes(),
            Some(Err(e)) if e.is::<http_body_util::LengthLimitError>() => {
                return Err(Refusal::TooLong);
            }
            Some(Err(_)) => return Err(Refusal::Malformed("the body broke off")),
            None => return Err(Refusal::OutOfTime),
        };
        let service = pick(&route, &ask);
        Ok(Job {
            id: self.next.fetch_add(1, Ordering::Relaxed),
            fingerprint: fingerprint(&ask, &body),
            first: self
                .dispatcher
                .desk
                .first_sent(&route.name, arrived, patience),
            head,
            ask,
            body,
            route,
            service,
            account,
            arrived,
            until,
        })
    }

    /// The route and the account of a request. Nothing is refused for lack of a
    /// route or key while a newer configuration may be in force.
    fn allow(
        &self,
        plan: &FleetConfig,
        ask: &RequestHead,
    ) -> Result<(Route, Option<Account>), Refusal> {
        let standing = self.dispatcher.feed.config_status();
        let sure = |refusal| match standing {
            Standing::Fresh => refusal,
            _ => Refusal::NotReady,
        };
        let route = plan.route(&ask.host, &ask.path);
        let route = route.ok_or_else(|| sure(Refusal::NoRoute))?;
        if route.anonymous || !plan.has_accounts() {
            return Ok((route.clone(), None));
        }
        if standing == Standing::Expired || standing == Standing::Unknown {
            return Err(Refusal::NotReady);
        }
        let key = ask.api_key.as_deref();
        let account = key.and_then(|k| plan.account(k));
        let account = account.ok_or_else(|| sure(Refusal::BadKey))?;
        Ok((route.clone(), Some(account.clone())))
    }
}

impl<P: Platform> Handler for Front<P> {
    type Body = AnswerBody;
    type Error = Cut;

    async fn handle(&self, request: Request<Incoming>) -> Response<AnswerBody> {
        let (head, body) = request.into_parts();
        let path = head.uri.path().to_owned();
        match self.admit(head, body).await {
            Ok(job) => self.dispatcher.dispatch(job).await,
            Err(refusal) => {
                let fields = json!({ "path": path, "status": refusal.status().as_u16() });
                decision("front", refusal.name(), Outcome::Failure, fields);
                refusal.response(self.dispatcher.platform.dialect())
            }
        }
    }
}

/// Chooses the service of a split route. Repeats of a request choose alike.
fn pick(route: &Route, ask: &RequestHead) -> ServiceId {
    let total: u64 = route.targets.iter().map(|(_, w)| u64::from(*w)).sum();
    let mut point = fingerprint(ask, &Bytes::new()) % total.max(1);
    for (service, weight) in &route.targets {
        let weight = u64::from(*weight);
        if point < weight {
            return service.clone();
        }
        point -= weight;
    }
    // Routes name at least one service.
    route
        .targets
        .first()
        .map(|(s, _)| s.clone())
        .unwrap_or_default()
}
