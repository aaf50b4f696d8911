use std::sync::Arc;

use dispatch::{ConnectionEnd, NextCheck, StartId};
use domain::{Platform, Target};
use http::header;
use transport::{Connection, spawn};

use crate::caller_request::CallerRequest;
use crate::dispatcher::Dispatcher;
use crate::lease::Lease;
use crate::scheduler::start_id;
use crate::send::CONNECT_TIMEOUT;

/// Finds out whether upstreams crashed on requests.
impl<P: Platform> Dispatcher<P> {
    /// Records that the connection of a request ended, and finds out whether its upstream
    /// crashed.
    pub fn exchange_ended(
        self: &Arc<Self>,
        request: &CallerRequest,
        lease: &Lease<P>,
        end: ConnectionEnd,
    ) {
        let start = start_id(lease);
        if self.scheduler.exchange_ended(request, lease, end) == NextCheck::Connect {
            let (dispatcher, target) = (self.clone(), lease.target.clone());
            let max_idle = self.scheduler.idle_share(lease);
            spawn(async move { dispatcher.check_upstream(start, &target, max_idle).await })
                .detach();
        }
    }

    /// Records that a request was answered. A response without a length may have ended
    /// in a crash.
    pub fn request_completed(
        self: &Arc<Self>,
        request: &CallerRequest,
        lease: &Lease<P>,
        head: &http::response::Parts,
    ) {
        if request.has_shared_parts() && is_undelimited(head) {
            self.exchange_ended(request, lease, ConnectionEnd::Undelimited);
        } else {
            self.scheduler.request_completed(request, lease);
        }
    }

    /// Connects to an upstream to learn whether it crashed. A connection that it accepts
    /// is kept for later requests.
    async fn check_upstream(&self, start: StartId, target: &Target, max_idle: usize) {
        loop {
            match Connection::open(target.addr, CONNECT_TIMEOUT).await {
                Ok(connection) => self.connections.put(connection, max_idle),
                Err(e) => {
                    log::debug!("gateway: {e}");
                    return self.scheduler.connection_refused(start, &target.id);
                }
            }
            if self.scheduler.connection_accepted(start) == NextCheck::None {
                return;
            }
        }
    }
}

/// Whether only the end of the connection ends the body of a response.
fn is_undelimited(head: &http::response::Parts) -> bool {
    let headers = &head.headers;
    !headers.contains_key(header::CONTENT_LENGTH)
        && !headers.contains_key(header::TRANSFER_ENCODING)
}
