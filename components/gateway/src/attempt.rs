use std::future::{Future, pending};
use std::sync::Arc;

use compact_str::CompactString;
use dispatch::{AttemptEnd, Attempts, ExchangeEnd};
use domain::{Moment, Platform, millis, now};
use serde_json::json;
use smol::Timer;
use telemetry::{Outcome, decision};

use crate::caller_request::CallerRequest;
use crate::dispatcher::{Dispatcher, NoPlace};
use crate::failed_exchange::FailedExchange;
use crate::lease::Lease;
use crate::scheduler::start_id;
use crate::send::{NotRun, SendOutcome, send};
use crate::shortage::Shortage;
use crate::silence::{UNSAFE_SILENCE, silence_limit};
use crate::unanswered::Unanswered;

/// An attempt that has ended, or whose response has begun.
pub struct Attempt<P: Platform> {
    /// Slot at the upstream.
    pub lease: Lease<P>,
    /// What came of it.
    pub outcome: SendOutcome,
}

/// Attempts at upstreams and what they show.
impl<P: Platform> Dispatcher<P> {
    /// Sends the request to the leased upstream; a stream goes on after the event `last_id`.
    pub async fn attempt(
        self: Arc<Self>,
        request: Arc<CallerRequest>,
        lease: Lease<P>,
        last_id: Option<CompactString>,
    ) -> Attempt<P> {
        let last_id = last_id.as_deref();
        let sent = send(&self.platform, &self.connections, &request, &lease, last_id);
        let unanswered = Unanswered::new(&self, &request, &lease);
        let outcome = self.watch(&request, &lease, sent).await;
        match &outcome {
            SendOutcome::TimedOut | SendOutcome::Cancelled(_) => drop(unanswered),
            _ => unanswered.settle(),
        }
        Attempt { lease, outcome }
    }

    /// Waits for the response, and records when its upstream is silent for too long.
    async fn watch(
        self: &Arc<Self>,
        request: &CallerRequest,
        lease: &Lease<P>,
        sent: impl Future<Output = SendOutcome>,
    ) -> SendOutcome {
        let mut is_silent = false;
        let silence = async {
            match silence_limit(request.route.kind) {
                Some(limit) => {
                    Timer::after(limit).await;
                    let delay = self.scheduler.explained_delay(lease, limit);
                    if !delay.is_zero() {
                        metrics::counter!("turmerichold_delays_explained_total").increment(1);
                        Timer::after(delay).await;
                    }
                    self.record_silence(request, lease, lease.leased_at);
                    is_silent = true;
                }
                // Such a request may take long, but its upstream may have crashed on it.
                None => {
                    Timer::after(UNSAFE_SILENCE).await;
                    self.exchange_silent(request, lease);
                }
            }
            pending().await
        };
        let outcome = futures_lite::future::or(sent, silence).await;
        match outcome {
            SendOutcome::Response(_) if is_silent => self.record_recovery(request, lease),
            SendOutcome::Response(_) => self.scheduler.upstream_heard(lease),
            _ => {}
        }
        outcome
    }

    /// Records that an exchange has been silent since `since`, so that other requests avoid
    /// its upstream.
    pub fn record_silence(
        self: &Arc<Self>,
        request: &CallerRequest,
        lease: &Lease<P>,
        since: Moment,
    ) {
        self.exchange_silent(request, lease);
        self.scheduler
            .with_upstream(lease, |u| u.record_silence(now(), since));
        self.log_silence("silent", request, lease);
    }

    /// Records that a silent exchange went on.
    pub fn record_recovery(&self, request: &CallerRequest, lease: &Lease<P>) {
        self.scheduler.upstream_heard(lease);
        self.scheduler.serve_queue(&lease.service);
        self.log_silence("silence over", request, lease);
    }

    /// Logs that no other attempt may start beside a silent one.
    pub fn log_not_placed(&self, request: &CallerRequest, none: &NoPlace) {
        let now = now();
        let fields = json!({
            "request": request.head.attempt,
            "age_ms": millis(now.saturating_sub(request.arrived)),
            "left_ms": millis(request.remaining(now)),
            "why": none.refusal.name(),
            "shortage": none.shortage.map(Shortage::fields),
        });
        decision("dispatch", "not placed", Outcome::Failure, fields);
    }

    fn log_silence(&self, what: &'static str, request: &CallerRequest, lease: &Lease<P>) {
        let now = now();
        let fields = json!({
            "request": request.head.attempt,
            "upstream": lease.target.id,
            "age_ms": millis(now.saturating_sub(request.arrived)),
            "leased_ms_ago": millis(now.saturating_sub(lease.leased_at)),
            "left_ms": millis(request.remaining(now)),
        });
        decision("dispatch", what, Outcome::Change, fields);
    }

    /// Records an attempt that did not run.
    pub fn record_not_run(
        &self,
        request: &CallerRequest,
        lease: &Lease<P>,
        why: NotRun,
        attempts: &mut Attempts,
    ) {
        let now = now();
        let end = match why {
            // A reset of one connection, or an entry that was too slow, does not show that
            // the upstream is down.
            NotRun::Unreachable
            | NotRun::NoListener
            | NotRun::Unsent
            | NotRun::Outdated
            | NotRun::Late
            | NotRun::Abandoned => AttemptEnd::Unsent,
            NotRun::Closed => AttemptEnd::Closed,
            NotRun::Refused | NotRun::Misdirected => AttemptEnd::Refused,
        };
        attempts.did_not_run(&lease.target.id, end);
        self.scheduler.with_upstream(lease, |u| match why {
            NotRun::Unreachable | NotRun::NoListener | NotRun::Misdirected => {
                u.record_failure(now);
            }
            NotRun::Unsent | NotRun::Outdated | NotRun::Refused => u.record_full(now),
            NotRun::Late | NotRun::Abandoned | NotRun::Closed => {}
        });
        if why == NotRun::NoListener {
            self.scheduler
                .start_ended(start_id(lease), &lease.target.id);
        }
        let fields = json!({
            "request": request.head.attempt,
            "upstream": lease.target.id,
            "why": format!("{why:?}"),
            "connections": self.connection_use(lease).fields(),
        });
        decision("dispatch", "not run", Outcome::Failure, fields);
    }

    /// Records an attempt that broke off.
    pub fn record_broken(
        self: &Arc<Self>,
        request: &CallerRequest,
        lease: &Lease<P>,
        failed: &FailedExchange,
    ) {
        self.exchange_ended(request, lease, ExchangeEnd::Broken);
        self.record_unknown(request, lease, failed);
    }

    /// Records an attempt that may have run.
    pub fn record_unknown(
        &self,
        request: &CallerRequest,
        lease: &Lease<P>,
        failed: &FailedExchange,
    ) {
        failed.count();
        self.scheduler
            .with_upstream(lease, |u| u.record_failure(now()));
        let fields = json!({
            "request": request.head.attempt,
            "upstream": lease.target.id,
            "parts": request.part_ids(),
            "age_ms": millis(now().saturating_sub(request.arrived)),
            "cause": failed.cause,
            "reused": failed.reused,
            "connections": self.connection_use(lease).fields(),
            "why": failed.why,
        });
        decision("dispatch", "outcome unknown", Outcome::Failure, fields);
    }
}
