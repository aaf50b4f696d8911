//! The platform's list of VMs, in which changes appear after a lag.

use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use fleet::Member;
use http_types::{Method, Request, Response};
use platform::VmListing;
use wire::Handler;

use crate::faults::{FaultAction, FaultInjector};
use crate::http;

#[derive(Default)]
struct State {
    published: VmListing,
    pending: Vec<(Instant, Change)>,
}

enum Change {
    Put(Box<Member>),
    Remove(String),
}

/// Stand-in of the platform's list of VMs.
pub struct VmList {
    state: Mutex<State>,
    faults: FaultInjector,
    lag: Duration,
}

impl VmList {
    /// Creates an empty list in which changes appear after `lag`.
    pub fn new(lag: Duration) -> Self {
        VmList {
            state: Mutex::default(),
            faults: FaultInjector::default(),
            lag,
        }
    }

    fn schedule(&self, change: Change) -> Response {
        self.lock()
            .pending
            .push((Instant::now() + self.lag, change));
        http::status(204)
    }

    fn list(&self, since: u64) -> Response {
        let mut state = self.lock();
        let now = Instant::now();
        while state.pending.first().is_some_and(|(due, _)| *due <= now) {
            let (_, change) = state.pending.remove(0);
            state.published.version += 1;
            let vms = &mut state.published.vms;
            match change {
                Change::Put(m) => {
                    vms.retain(|v| v.vm != m.vm);
                    vms.push(*m);
                }
                Change::Remove(id) => vms.retain(|v| v.vm != id),
            }
        }
        match state.published.version == since && since > 0 {
            true => http::status(204),
            false => http::json(&state.published),
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Handler for VmList {
    async fn handle(&self, mut req: Request, _peer: SocketAddr) -> Response {
        let segments = http::path_segments(&req);
        let parts: Vec<&str> = segments.iter().map(String::as_str).collect();
        match (req.method(), parts.as_slice()) {
            (Method::Post, ["faults"]) => self.faults.update(&mut req).await,
            (Method::Post, ["vms"]) => match http::read_json(&mut req).await {
                Ok(member) => self.schedule(Change::Put(Box::new(member))),
                Err(res) => res,
            },
            (Method::Delete, ["vms", id]) => self.schedule(Change::Remove((*id).to_owned())),
            (Method::Get, ["vms"]) => match self.faults.next_action().await {
                FaultAction::Refuse => http::status(503),
                _ => self.list(http::query_param(&req, "since").unwrap_or(0)),
            },
            _ => http::status(404),
        }
    }
}
