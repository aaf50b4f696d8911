//! A plain service, which uses no model; it records the runs of each order.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use http_types::{Method, Request, Response};
use serde::{Deserialize, Serialize};
use serde_json::json;
use smol::Timer;
use wire::Handler;

use crate::engine::unix_time_ms;
use crate::faults::{FaultAction, FaultInjector, Faults};
use crate::http;

/// Body of a request to a plain service.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Order {
    /// Id of the order; a second run with the same id is a double run.
    pub order: String,
}

/// What a plain service has served, as `GET /record` returns it.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct PlainRecord {
    /// Number of runs by order.
    pub runs: HashMap<String, u32>,
    /// Most requests in flight at one time.
    pub peak: usize,
    /// Start times of the runs, in milliseconds of the Unix time.
    pub starts: Vec<u64>,
    /// Runs refused with a `Retry-After`.
    pub refused: u32,
    /// Runs whose connection was closed before their response.
    pub cancelled: u32,
}

/// Stand-in of a plain service.
pub struct PlainService {
    record: Mutex<PlainRecord>,
    in_flight: Mutex<usize>,
    faults: FaultInjector,
    service_time: Duration,
    incarnation: AtomicU64,
    reports_load: bool,
}

/// A run in flight; counts as cancelled if it is dropped before its end.
struct Run<'a> {
    service: &'a PlainService,
    ended: bool,
}

impl Drop for Run<'_> {
    fn drop(&mut self) {
        *self.service.in_flight() -= 1;
        self.service.lock().cancelled += u32::from(!self.ended);
    }
}

impl PlainService {
    /// Creates a service that takes `service_time` for each request; with
    /// `reports_load` it also serves `GET /load`.
    pub fn new(service_time: Duration, reports_load: bool) -> Self {
        PlainService {
            record: Mutex::default(),
            in_flight: Mutex::default(),
            faults: FaultInjector::default(),
            service_time,
            incarnation: AtomicU64::new(fastrand::u64(1..)),
            reports_load,
        }
    }

    /// Replaces the faults in effect.
    pub fn set_faults(&self, faults: Faults) {
        self.faults.set(faults);
    }

    /// What the service has served.
    pub fn record(&self) -> PlainRecord {
        self.lock().clone()
    }

    /// Starts anew, without faults.
    pub fn restart(&self) {
        self.faults.set(Faults::default());
        self.incarnation
            .store(fastrand::u64(1..), Ordering::Relaxed);
    }

    async fn run(&self, mut req: Request) -> Response {
        let action = self.faults.next_action().await;
        if action == FaultAction::Refuse {
            return http::status(503);
        }
        if let Some(res) = self.faults.refusal() {
            self.lock().refused += 1;
            return res;
        }
        let order: Order = match http::read_json(&mut req).await {
            Ok(order) => order,
            Err(res) => return res,
        };
        let mut run = {
            let mut in_flight = self.in_flight();
            *in_flight += 1;
            let mut record = self.lock();
            record.peak = record.peak.max(*in_flight);
            record.starts.push(unix_time_ms());
            *record.runs.entry(order.order.clone()).or_default() += 1;
            Run {
                service: self,
                ended: false,
            }
        };
        Timer::after(self.service_time).await;
        run.ended = true;
        match action {
            FaultAction::LoseResponse => http::aborted(),
            _ => http::json(&json!({ "done": order.order })),
        }
    }

    fn report_load(&self) -> Response {
        let running = *self.in_flight();
        let incarnation = self.incarnation.load(Ordering::Relaxed);
        match self.reports_load {
            true => http::json(&json!({ "incarnation": incarnation, "running": running })),
            false => http::status(404),
        }
    }

    fn in_flight(&self) -> MutexGuard<'_, usize> {
        self.in_flight
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    fn lock(&self) -> MutexGuard<'_, PlainRecord> {
        self.record.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Handler for PlainService {
    async fn handle(&self, mut req: Request, _peer: SocketAddr) -> Response {
        let segments = http::path_segments(&req);
        let parts: Vec<&str> = segments.iter().map(String::as_str).collect();
        match (req.method(), parts.as_slice()) {
            (Method::Post, ["faults"]) => self.faults.update(&mut req).await,
            (Method::Get, ["record"]) => http::json(&*self.lock()),
            (Method::Get, ["load"]) => self.faults.announce(self.report_load()),
            (Method::Post, _) => self.faults.announce(self.run(req).await),
            _ => http::status(404),
        }
    }
}
