use std::time::Duration;

use dispatch::{StartId, upstream_start};
use domain::{Platform, ResponseHead, millis, now, unix_ms};
use serde_json::json;
use telemetry::{Outcome, decision};

use super::Scheduler;
use super::state::SchedulerState;
use crate::lease::Lease;

/// Time for which a change is repeated in each round of notices, since datagrams may be
/// lost.
const REPEAT_TIME: Duration = Duration::from_secs(1);
/// Interval between reports afterwards, from which new entries learn.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);
/// Most upstreams in a notice to the other entries.
const MAX_STARTS: usize = 1024;

/// Statements of upstreams on whether they accept requests.
impl<P: Platform> Scheduler<P> {
    /// Records what a response of the leased upstream states.
    pub fn record_statements(&self, lease: &Lease<P>, head: &ResponseHead) {
        if head.leaving && lease.gate.close() {
            let mut state = self.lock();
            log_leaving(&lease.target.id, "response");
            state.leaving_changed();
        }
        if let Some(pause) = head.wanted_pause {
            self.record_pause(lease, pause);
        }
        if let Some(pace) = head.pace {
            self.with_upstream(lease, |u| u.record_pace(now(), lease.started_ms, pace));
        }
    }

    /// Time beyond `limit` for which the leased upstream may be silent, as it stated to be
    /// slow.
    pub fn explained_delay(&self, lease: &Lease<P>, limit: Duration) -> Duration {
        let delay = self.with_upstream(lease, |u| u.pace.explained_delay(lease.leased_at, limit));
        delay.unwrap_or_default()
    }

    fn record_pause(&self, lease: &Lease<P>, pause: Duration) {
        let until = now().saturating_add(pause);
        let mut extended = lease.gate.close_until(until);
        // The answer may come from a later start than the one that was leased.
        let mut state = self.lock();
        let service = state.services.get_mut(&lease.service);
        let upstream = service.and_then(|s| s.scheduler.upstreams.get_mut(&lease.target.id));
        if let Some(upstream) = upstream {
            extended |= upstream.record_pause(until, unix_ms());
        }
        if extended {
            let fields = json!({ "upstream": lease.target.id, "for_ms": millis(pause) });
            decision("desk", "upstream wants a pause", Outcome::Change, fields);
        }
    }

    /// Starts of listed upstreams that are leaving, if the other entries have to learn of
    /// them in this round of notices.
    pub fn leaving_report(&self) -> Option<Vec<StartId>> {
        let now = now();
        let mut state = self.lock();
        let changed = now.saturating_sub(state.leaving_changed) < REPEAT_TIME;
        if !changed && now.saturating_sub(state.leaving_reported) < REPORT_INTERVAL {
            return None;
        }
        state.leaving_reported = now;
        let pools = state.services.values().map(|s| &s.scheduler.upstreams);
        let leaving = pools.flat_map(|p| p.iter().filter(|u| u.gate.is_closed()));
        let starts = leaving.map(|u| upstream_start(u.tag, u.upstream.started_ms));
        let starts: Vec<StartId> = starts.take(MAX_STARTS).collect();
        (!starts.is_empty()).then_some(starts)
    }

    /// Applies the report of another process on upstreams that are leaving. They may be
    /// listed later.
    pub fn apply_leaving(&self, starts: &[StartId]) {
        let mut state = self.lock();
        for start in starts.iter().take(MAX_STARTS) {
            if state.gates.gate(now(), *start).close() {
                log_leaving(&format!("{start:x}"), "notice");
                state.leaving_changed();
            }
        }
    }
}

impl<P: Platform> SchedulerState<P> {
    /// Records that an upstream has become known to be leaving.
    fn leaving_changed(&mut self) {
        self.leaving_changed = now();
        self.owners_stale = true;
    }
}

fn log_leaving(upstream: &str, source: &'static str) {
    let fields = json!({ "upstream": upstream, "source": source });
    decision("desk", "upstream leaving", Outcome::Change, fields);
}
