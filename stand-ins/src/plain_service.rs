//! A plain service, which uses no model; it records the runs of each order.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use http_types::{Method, Request, Response};
use serde::{Deserialize, Serialize};
use serde_json::json;
use smol::Timer;
use wire::Handler;

use crate::engine::unix_time_ms;
use crate::faults::{FaultAction, FaultInjector};
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
}

/// Stand-in of a plain service.
pub struct PlainService {
    record: Mutex<PlainRecord>,
    in_flight: Mutex<usize>,
    faults: FaultInjector,
    service_time: Duration,
    incarnation: u64,
    reports_load: bool,
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
            incarnation: fastrand::u64(1..),
            reports_load,
        }
    }

    async fn run(&self, mut req: Request) -> Response {
        let action = self.faults.next_action().await;
        if action == FaultAction::Refuse {
            return http::status(503);
        }
        let order: Order = match http::read_json(&mut req).await {
            Ok(order) => order,
            Err(res) => return res,
        };
        {
            let mut in_flight = self
                .in_flight
                .lock()
                .unwrap_or_else(PoisonError::into_inner);
            *in_flight += 1;
            let mut record = self.lock();
            record.peak = record.peak.max(*in_flight);
            record.starts.push(unix_time_ms());
            *record.runs.entry(order.order.clone()).or_default() += 1;
        }
        Timer::after(self.service_time).await;
        *self
            .in_flight
            .lock()
            .unwrap_or_else(PoisonError::into_inner) -= 1;
        match action {
            FaultAction::LoseResponse => http::aborted(),
            _ => http::json(&json!({ "done": order.order })),
        }
    }

    fn report_load(&self) -> Response {
        let running = *self
            .in_flight
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        match self.reports_load {
            true => http::json(&json!({ "incarnation": self.incarnation, "running": running })),
            false => http::status(404),
        }
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
            (Method::Get, ["load"]) => self.report_load(),
            (Method::Post, _) => self.run(req).await,
            _ => http::status(404),
        }
    }
}
