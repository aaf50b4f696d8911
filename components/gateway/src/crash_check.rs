use std::sync::Arc;
use std::time::Duration;

use dispatch::{ExchangeEnd, NextCheck, StartId};
use domain::{Platform, Target, now};
use http::header;
use smol::Timer;
use transport::{Connection, spawn};

use crate::caller_request::CallerRequest;
use crate::dispatcher::Dispatcher;
use crate::lease::Lease;
use crate::scheduler::start_id;
use crate::send::CONNECT_TIMEOUT;

/// Pause before another check of an upstream.
const CHECK_PAUSE: Duration = Duration::from_millis(500);

/// An upstream that may have crashed.
struct Suspect {
    start: StartId,
    started_ms: u64,
    target: Target,
    max_idle: usize,
}

/// Finds out whether upstreams crashed on requests.
impl<P: Platform> Dispatcher<P> {
    /// Records how the exchange of a request ended, and finds out whether its upstream
    /// crashed.
    pub fn exchange_ended(
        self: &Arc<Self>,
        request: &CallerRequest,
        lease: &Lease<P>,
        end: ExchangeEnd,
    ) {
        let start = start_id(lease);
        if self.scheduler.exchange_ended(request, lease, end) == NextCheck::Connect {
            let suspect = Suspect {
                start,
                started_ms: lease.started_ms,
                target: lease.target.clone(),
                max_idle: self.scheduler.idle_share(lease),
            };
            let dispatcher = self.clone();
            spawn(async move { dispatcher.check_upstream(suspect).await }).detach();
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
            self.exchange_ended(request, lease, ExchangeEnd::Undelimited);
        } else {
            self.scheduler.request_completed(request, lease);
        }
    }

    /// Records that an exchange has no response: it is silent, or it was given up. An upstream
    /// that responds to others is only slow.
    pub fn exchange_silent(self: &Arc<Self>, request: &CallerRequest, lease: &Lease<P>) {
        let now = now();
        let is_heard = self.scheduler.with_upstream(lease, |u| u.is_heard(now));
        if is_heard != Some(true) {
            self.exchange_ended(request, lease, ExchangeEnd::Silent);
        }
    }

    /// Checks an upstream until it is known whether it crashed.
    async fn check_upstream(&self, suspect: Suspect) {
        let start = suspect.start;
        let mut next = NextCheck::Connect;
        let mut timed_out = false;
        loop {
            next = match self.check_once(&suspect, next, timed_out).await {
                Finding::Ended => {
                    return self.scheduler.start_ended(start, &suspect.target.id);
                }
                Finding::Accepts => self.scheduler.connection_accepted(start),
                Finding::TimedOut => {
                    timed_out = true;
                    self.scheduler.connection_timed_out(start)
                }
            };
            match next {
                NextCheck::None => return,
                NextCheck::Connect => timed_out = false,
                NextCheck::ConnectLater | NextCheck::AwaitStart => {
                    Timer::after(CHECK_PAUSE).await;
                }
            }
        }
    }

    /// Looks once whether the start of an upstream has ended. A connection that it accepts is
    /// kept for later requests.
    async fn check_once(&self, suspect: &Suspect, check: NextCheck, timed_out: bool) -> Finding {
        let addr = &suspect.target.addr;
        let started_ms = suspect.started_ms;
        if check == NextCheck::AwaitStart {
            return match self.scheduler.has_later_start(*addr, started_ms) {
                true => Finding::Ended,
                false => Finding::Accepts,
            };
        }
        let opened = Connection::open(*addr, CONNECT_TIMEOUT).await;
        let is_replaced = || self.scheduler.has_later_start(*addr, started_ms);
        match opened {
            Err(e) if e.is_refused() => Finding::Ended,
            // Its machine may have been down meanwhile.
            _ if timed_out && is_replaced() => Finding::Ended,
            Ok(connection) => {
                self.connections.put(connection, suspect.max_idle);
                Finding::Accepts
            }
            Err(e) => {
                log::debug!("gateway: {e}");
                Finding::TimedOut
            }
        }
    }
}

/// What a check of an upstream shows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Finding {
    /// Its start has ended.
    Ended,
    /// A process accepts connections at its address.
    Accepts,
    /// It opened no connection in time.
    TimedOut,
}

/// Whether only the end of the connection ends the body of a response.
fn is_undelimited(head: &http::response::Parts) -> bool {
    let headers = &head.headers;
    !headers.contains_key(header::CONTENT_LENGTH)
        && !headers.contains_key(header::TRANSFER_ENCODING)
}
