use std::net::SocketAddr;
use std::time::Duration;

use dispatch::{EvidenceReport, ExchangeEnd, Feature, NextCheck, StartId, Verdict, upstream_start};
use domain::{Platform, Upstream, now};
use serde_json::json;
use telemetry::{Outcome, decision};

use super::Scheduler;
use crate::caller_request::CallerRequest;
use crate::lease::Lease;

/// Time for which a change is repeated in each round of notices, since datagrams may be
/// lost.
const REPEAT_TIME: Duration = Duration::from_secs(1);
/// Interval between reports afterwards, from which new entries learn.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// Crashes of upstreams and the requests that cause them.
impl<P: Platform> Scheduler<P> {
    /// Whether a request with these features may be sent.
    pub fn verdict(&self, features: &[Feature]) -> Verdict {
        self.lock().crashes.check(now(), features)
    }

    /// Records how the exchange of a request ended.
    pub fn exchange_ended(
        &self,
        request: &CallerRequest,
        lease: &Lease<P>,
        end: ExchangeEnd,
    ) -> NextCheck {
        let (start, sent) = (start_id(lease), lease.leased_at);
        let features = request.features.clone();
        let mut state = self.lock();
        state.crashes.record_end(now(), start, end, sent, features)
    }

    /// Records that the start of an upstream has ended.
    pub fn start_ended(&self, start: StartId, upstream: &str) {
        let mut state = self.lock();
        if state.crashes.record_start_ended(start) {
            state.crashes_changed = now();
            let fields = json!({ "upstream": upstream });
            decision("desk", "crash found", Outcome::Change, fields);
            state.log_culprits();
        }
    }

    /// Records that an upstream accepted a connection.
    pub fn connection_accepted(&self, start: StartId) -> NextCheck {
        let mut state = self.lock();
        state.crashes.record_connection_accepted(now(), start)
    }

    /// Records that an upstream opened no connection in time.
    pub fn connection_timed_out(&self, start: StartId) -> NextCheck {
        let mut state = self.lock();
        state.crashes.record_connection_timeout(now(), start)
    }

    /// Records that the leased upstream has responded.
    pub fn upstream_heard(&self, lease: &Lease<P>) {
        self.with_upstream(lease, |u| u.record_heard(now()));
        self.lock().crashes.record_heard(start_id(lease));
    }

    /// Whether an upstream that started later than `started_ms` has the address.
    pub fn has_later_start(&self, addr: SocketAddr, started_ms: u64) -> bool {
        let is_later = |u: &Upstream| u.addr == addr && u.started_ms > started_ms;
        self.feed.view(|v| v.upstreams().any(is_later))
    }

    /// Records that a request got a complete response.
    pub fn request_completed(&self, request: &CallerRequest, lease: &Lease<P>) {
        let mut state = self.lock();
        let start = start_id(lease);
        state
            .crashes
            .record_response(now(), start, &request.features);
    }

    /// What the other entries have to learn about crashes in this round of notices.
    pub fn crash_report(&self) -> Option<EvidenceReport> {
        let now = now();
        let mut state = self.lock();
        let changed = now.saturating_sub(state.crashes_changed) < REPEAT_TIME;
        if !changed && now.saturating_sub(state.crashes_reported) < REPORT_INTERVAL {
            return None;
        }
        state.crashes_reported = now;
        let report = state.crashes.report(now);
        let is_empty = report.crashes.is_empty() && report.completions.is_empty();
        (!is_empty).then_some(report)
    }

    /// Adds what another entry reports about crashes.
    pub fn apply_crash_report(&self, report: EvidenceReport) {
        let now = now();
        let mut state = self.lock();
        if state.crashes.merge(now, report) {
            state.crashes_changed = now;
            state.log_culprits();
        }
    }
}

/// Identifies the start of the leased upstream at all entries.
pub fn start_id<P: Platform>(lease: &Lease<P>) -> StartId {
    upstream_start(lease.tag, lease.started_ms)
}
