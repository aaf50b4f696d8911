use std::time::Duration;

use dispatch::{PaceSummary, PriorityReserve};
use domain::{Platform, ServiceId, WeightVersion, now};
use serde_json::json;
use telemetry::{Outcome, decision};
use transport::Pool;

use super::Scheduler;
use crate::caller_request::CallerRequest;
use crate::connection_use::ConnectionUse;
use crate::lease::Lease;
use crate::shortage::Shortage;

/// What is told about upstreams in responses, logs and metrics.
impl<P: Platform> Scheduler<P> {
    /// Describes why a request got no slot.
    pub(super) fn shortage(
        &self,
        request: &CallerRequest,
        min_weight_version: Option<WeightVersion>,
        retry_after: Duration,
    ) -> Shortage {
        let now = now();
        let state = self.lock();
        let mut shortage = Shortage {
            retry_after,
            min_weight_version,
            ..Shortage::default()
        };
        let Some(service) = state.services.get(&request.service) else {
            return shortage;
        };
        shortage.waiting = service.scheduler.queue.len();
        let upstreams = &service.scheduler.upstreams;
        shortage.listed = upstreams.iter().count();
        shortage.closed = upstreams.iter().filter(|u| !u.gate.is_open(now)).count();
        for upstream in service
            .scheduler
            .upstreams
            .iter()
            .filter(|u| u.is_open(now))
        {
            shortage.open += 1;
            shortage.load.0 += upstream.own.requests + upstream.others.requests;
            shortage.load.1 += upstream.upstream.slots;
        }
        shortage
    }

    /// Connections to the leased upstream, `idle` of which this entry keeps idle.
    pub fn connection_use(&self, lease: &Lease<P>, idle: usize) -> ConnectionUse {
        let budget = self.connection_budget(&lease.service);
        let load = self.with_upstream(lease, |u| (u.own.requests, u.others.requests));
        let (own, others) = load.unwrap_or_default();
        ConnectionUse {
            idle,
            own,
            others,
            budget,
        }
    }

    /// Logs the pace of the upstreams of services with slow ones.
    pub fn log_paces(&self) {
        let state = self.lock();
        for (name, service) in &state.services {
            let paces = PaceSummary::new(now(), service.scheduler.upstreams.iter());
            if paces.slow > 0 {
                let fields = json!({
                    "service": name, "slow": paces.slow, "listed": paces.listed,
                    "slowest": paces.slowest, "mean": paces.mean,
                });
                decision("desk", "slow upstreams", Outcome::Change, fields);
            }
        }
    }

    /// Updates the gauges of upstreams, connections, requests and peers.
    pub fn publish_metrics(&self, connections: &Pool) {
        let state = self.lock();
        for (name, service) in &state.services {
            let open = service
                .scheduler
                .upstreams
                .iter()
                .filter(|u| u.is_open(now()))
                .count();
            let paces = PaceSummary::new(now(), service.scheduler.upstreams.iter());
            let own: u32 = service
                .scheduler
                .upstreams
                .iter()
                .map(|u| u.own.requests)
                .sum();
            let gauge =
                |metric: &'static str| metrics::gauge!(metric, "service" => name.to_string());
            gauge("turmerichold_upstreams_open").set(open as f64);
            gauge("turmerichold_upstreams_slow").set(paces.slow);
            gauge("turmerichold_slowest_pace").set(paces.slowest);
            gauge("turmerichold_mean_pace").set(paces.mean);
            gauge("turmerichold_requests_in_flight").set(own);
            gauge("turmerichold_requests_waiting").set(service.scheduler.queue.len() as f64);
            publish_reserve(name, service.scheduler.reserve());
            let upstreams = service.scheduler.upstreams.iter();
            let idle = upstreams.map(|u| (connections.idle_count(u.upstream.addr), u.own.requests));
            let idle: Vec<(usize, u32)> = idle.collect();
            let sum: usize = idle.iter().map(|(idle, _)| idle).sum();
            let most = idle
                .iter()
                .map(|(idle, own)| *idle as f64 + f64::from(*own));
            gauge("turmerichold_idle_connections").set(sum as f64);
            gauge("turmerichold_most_connections").set(most.fold(0.0, f64::max));
        }
        metrics::gauge!("turmerichold_entries_heard").set(state.peers.len() as f64);
    }
}

/// Updates the counters of the room that lower priorities leave to higher ones.
fn publish_reserve(service: &ServiceId, reserve: &PriorityReserve) {
    let service = service.to_string();
    metrics::counter!("turmerichold_starts_held_total", "service" => service.clone())
        .absolute(reserve.held());
    for (priority, losses) in reserve.losses() {
        let labels = [
            ("service", service.clone()),
            ("priority", priority.to_string()),
        ];
        metrics::counter!("turmerichold_priority_losses_total", &labels).absolute(losses);
    }
}
