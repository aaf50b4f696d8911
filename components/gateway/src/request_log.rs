use std::time::Duration;

use domain::{Platform, millis, now};
use http::Response;
use serde_json::json;
use telemetry::{Outcome, due, write};

use crate::ResponseBody;
use crate::caller_request::CallerRequest;
use crate::dispatcher::Dispatcher;
use crate::lease::Lease;
use crate::progress::Progress;
use crate::refusal::Refusal;
use crate::shortage::Shortage;

/// Outcomes of requests in metrics and logs.
impl<P: Platform> Dispatcher<P> {
    /// Records a completed request with the upstream, in metrics and in logs.
    pub fn record_completion(&self, request: &CallerRequest, lease: &Lease<P>, took: Duration) {
        self.scheduler.with_upstream(lease, |u| u.record_success());
        metrics::histogram!("turmerichold_request_duration_seconds").record(took.as_secs_f64());
        if let Some(first) = lease.first_event {
            let first = first.saturating_sub(request.arrived).as_secs_f64();
            metrics::histogram!("turmerichold_first_event_seconds").record(first);
        }
        if let Some(left_out) = due("dispatch", "answered", Outcome::Success) {
            let fields = json!({
                "request": request.head.attempt,
                "route": request.route.name,
                "upstream": lease.target.id,
                "age_ms": millis(request.arrived.saturating_sub(request.first_attempt)),
                "waited_ms": millis(lease.leased_at.saturating_sub(request.arrived)),
                "first_ms": lease.first_event.map(|at| millis(at.saturating_sub(request.arrived))),
                "took_ms": millis(took),
                "prompt": request.head.tokens.map(|t| t.prompt),
                "expected": request.head.expected_tokens,
                "weights": lease.weight_version,
            });
            write("dispatch", "answered", left_out, fields);
        }
    }

    /// Logs a refusal and returns its response.
    pub(crate) fn refuse(
        &self,
        request: &CallerRequest,
        refusal: Refusal,
        progress: &Progress,
    ) -> Response<ResponseBody> {
        metrics::counter!("turmerichold_refusals_total", "reason" => refusal.name()).increment(1);
        if let Some(left_out) = due("dispatch", refusal.name(), Outcome::Failure) {
            let wait = match refusal {
                Refusal::Busy(wait) => Some(millis(wait)),
                _ => None,
            };
            let (config_version, age) = self.feed.config_age();
            let fields = json!({
                "request": request.head.attempt,
                "route": request.route.name,
                "plan": config_version,
                "plan_age_ms": age.map(millis),
                "shortage": progress.shortage.map(Shortage::fields),
                "status": refusal.status().as_u16(),
                "tried": progress.attempts.excluded(),
                "age_ms": millis(now().saturating_sub(request.arrived)),
                "left_ms": millis(request.remaining(now())),
                "retry_after_ms": wait,
            });
            write("dispatch", refusal.name(), left_out, fields);
        }
        refusal.response(self.platform.dialect())
    }
}
