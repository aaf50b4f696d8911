use std::sync::Arc;
use std::time::Duration;

use dispatch::{LimitStatement, PooledUpstream, RateLimit, RateShare, StartId, upstream_start};
use domain::{Moment, Platform, StatedLimit, millis, now};
use feed::LimitNotice;
use serde_json::json;
use telemetry::{Outcome, decision};

use super::Scheduler;
use super::state::SchedulerState;
use crate::lease::Lease;

/// Most limits in a notice to the other entries.
const MAX_LIMITS: usize = 512;

/// Limits on requests that upstreams name for all entries together.
impl<P: Platform> Scheduler<P> {
    /// Records what a response to the leased request states about the limit.
    pub fn record_stated_limit(&self, lease: &Lease<P>, stated: StatedLimit) {
        let now = now();
        let rate = match stated {
            StatedLimit::Rate(rate) => Some(rate),
            StatedLimit::Absent => None,
            StatedLimit::Malformed => return,
        };
        let changed = self.with_upstream(lease, |u| {
            // A request that was sent before the limit was named may have begun before.
            let limit = u.rate_limit.as_ref();
            if rate.is_none() && limit.is_none_or(|l| lease.leased_at <= l.stated_at()) {
                return false;
            }
            update(u, now, LimitStatement { rate, at: now }, true)
        });
        if changed == Some(true) {
            self.lock().shares_stale = true;
        }
    }

    /// Limits that upstreams stated to this entry, for the others.
    pub fn stated_limits(&self) -> Vec<LimitNotice> {
        let now = now();
        let state = self.lock();
        let notice = |u: &PooledUpstream| {
            let statement = u.rate_limit.as_ref()?.own_statement()?;
            Some(LimitNotice {
                upstream: upstream_start(u.tag, u.upstream.started_ms),
                rate: statement.rate,
                age_ms: millis(now.saturating_sub(statement.at)),
            })
        };
        let upstreams = state.services.values();
        let upstreams = upstreams.flat_map(|s| s.scheduler.upstreams.iter());
        upstreams.filter_map(notice).take(MAX_LIMITS).collect()
    }

    /// Applies the limits that upstreams stated to another entry.
    pub fn apply_limits(self: &Arc<Self>, limits: Vec<LimitNotice>) {
        let now = now();
        let mut state = self.lock();
        let mut changed = false;
        let services = state.services.values_mut();
        for upstream in services.flat_map(|s| s.scheduler.upstreams.iter_mut()) {
            let start: StartId = upstream_start(upstream.tag, upstream.upstream.started_ms);
            let Some(notice) = limits.iter().find(|l| l.upstream == start) else {
                continue;
            };
            let statement = LimitStatement {
                rate: notice.rate,
                at: now.saturating_sub(Duration::from_millis(notice.age_ms)),
            };
            changed |= update(upstream, now, statement, false);
        }
        state.shares_stale |= changed;
    }

    /// Shares the limits out among the entries if something has changed, and drops those
    /// that are over.
    pub(super) fn share_limits(&self, state: &mut SchedulerState<P>, now: Moment) {
        let mut services = state.services.values();
        if !services.any(|s| s.scheduler.upstreams.iter().any(|u| u.rate_limit.is_some())) {
            return;
        }
        let stale = std::mem::take(&mut state.shares_stale);
        let own = fleet::id_hash(&self.node.vm);
        let mut entries: Vec<u64> = state.peers.values().map(|p| p.hash).collect();
        entries.push(own);
        let announced = self.feed.entry_count().unwrap_or(entries.len());
        let services = state.services.values_mut();
        for upstream in services.flat_map(|s| s.scheduler.upstreams.iter_mut()) {
            let Some(limit) = &mut upstream.rate_limit else {
                continue;
            };
            let Some(rate) = limit.total_rate(now) else {
                log_change(&upstream.upstream.id, "limit over", None);
                upstream.rate_limit = None;
                continue;
            };
            if stale || limit.is_rising() {
                let tag = u64::from(upstream.tag);
                let share = share(rate, tag, own, &entries, announced);
                limit.set_share(now, share, announced.max(entries.len()));
            }
        }
    }
}

/// Share of this entry in a limit. An entry that hears less than half of the others is
/// starting or cut off, and cannot tell which of them have a share.
fn share(rate: f64, tag: u64, own: u64, entries: &[u64], announced: usize) -> RateShare {
    if entries.len() * 2 <= announced {
        let announced = u32::try_from(announced).unwrap_or(u32::MAX);
        return RateShare {
            rate: rate / f64::from(announced),
            phase: 0.0,
        };
    }
    RateShare::new(rate, tag, own, entries)
}

/// Applies a statement to an upstream; returns whether the limit has changed.
fn update(
    upstream: &mut PooledUpstream,
    now: Moment,
    statement: LimitStatement,
    is_own: bool,
) -> bool {
    let rate = |u: &PooledUpstream| u.rate_limit.as_ref().and_then(RateLimit::named_rate);
    let before = rate(upstream);
    upstream.update_rate_limit(now, statement, is_own);
    let after = rate(upstream);
    if before == after {
        return false;
    }
    let what = match after {
        Some(_) => "limit named",
        None => "limit ended",
    };
    log_change(&upstream.upstream.id, what, after);
    true
}

fn log_change(upstream: &str, what: &'static str, rate: Option<f64>) {
    let fields = json!({ "upstream": upstream, "per_second": rate });
    decision("desk", what, Outcome::Change, fields);
}
