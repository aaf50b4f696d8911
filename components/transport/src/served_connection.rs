use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use futures_lite::FutureExt;
use http::{HeaderName, HeaderValue, Request, header};
use hyper::body::Incoming;
use hyper::server::conn::http1::Builder;
use hyper::service::service_fn;
use smol::Timer;
use smol::net::TcpStream;
use smol_hyper::rt::{FuturesIo, SmolTimer};

use crate::client_addr::ClientAddr;
use crate::close_signal::CloseSignal;
use crate::connection_group::ConnectionGroup;
use crate::in_flight::InFlight;
use crate::linger::linger;
use crate::peer_watch::PeerWatch;
use crate::served_stream::{ServedStream, UnansweredInput};
use crate::socket_state::has_unread_input;
use crate::tracked_body::TrackedBody;
use crate::{Handler, InputEnd, ListenerLimits};

/// Shortest limit on request heads that hyper accepts, in bytes.
const MIN_HEAD: usize = 8192;
/// Most header fields that hyper accepts unless another limit is set.
const DEFAULT_FIELDS: usize = 100;
/// Longest wait for a request that may be under way when the listener is closed.
const REQUEST_WAIT: Duration = Duration::from_secs(1);

/// Interval between two checks of whether a head is overdue.
const HEAD_CHECK: Duration = Duration::from_secs(1);

/// Response header with the time for which the connection may be idle.
const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");
/// Time from the announced end of an idle connection to its close, for requests under way.
const IDLE_MARGIN: Duration = Duration::from_secs(1);

/// Announces how long a connection that is closed after `idle_timeout` may be reused; `None`
/// if that is less than a second, the unit of the header.
fn keep_alive(idle_timeout: Duration) -> Option<HeaderValue> {
    let seconds = idle_timeout.saturating_sub(IDLE_MARGIN).as_secs();
    let value = HeaderValue::try_from(format!("timeout={seconds}"));
    value.ok().filter(|_| seconds > 0)
}

/// How a connection ended without an error.
enum End {
    /// After its last response, or by its client.
    Served,
    /// While no request was in flight, by the listener.
    Idle,
}

/// Why a connection is no longer served.
enum Cause {
    /// hyper has ended it.
    Finished(Result<(), hyper::Error>),
    /// The listener is closed.
    Closing,
    /// A limit was exceeded while no request was in flight.
    Limit(&'static str),
}

/// A client's connection, whose requests are passed to a handler.
pub(crate) struct ServedConnection<H> {
    pub(crate) stream: TcpStream,
    pub(crate) peer: SocketAddr,
    pub(crate) handler: Arc<H>,
    pub(crate) limits: ListenerLimits,
    /// All connections of the listener.
    pub(crate) connections: ConnectionGroup,
    pub(crate) closing: Arc<CloseSignal>,
    pub(crate) last_responses: Arc<CloseSignal>,
}

impl<H: Handler> ServedConnection<H> {
    /// Serves requests until the connection ends, or the listener is closed and no request
    /// is in flight.
    pub(crate) async fn serve(self) {
        let requests = Arc::new(InFlight::default());
        let half_close = self.handler.serves_half_closed();
        let watch = PeerWatch {
            stream: self.stream.clone(),
            requests: &requests,
        };
        let reset = async {
            match half_close {
                true => watch.until_reset().await,
                // hyper notices it.
                false => std::future::pending().await,
            }
            None
        };
        let handling = async { Some(self.handle_requests(&requests, half_close).await) };
        match handling.or(reset).await {
            Some(Ok(End::Served)) => linger(self.stream).await,
            Some(Ok(End::Idle)) => {}
            Some(Err(e)) => {
                self.handler.connection_failed(self.peer, &e);
                // Such a request was answered.
                if e.is_parse() {
                    linger(self.stream).await;
                }
            }
            None => log::debug!("transport: connection from {} was reset", self.peer),
        }
    }

    /// Lets hyper serve the connection until its end.
    async fn handle_requests(
        &self,
        requests: &Arc<InFlight>,
        half_close: bool,
    ) -> Result<End, hyper::Error> {
        let input = UnansweredInput::new();
        let service = service_fn(|mut request: Request<Incoming>| {
            let input_end = InputEnd::default();
            request.extensions_mut().insert(input_end.clone());
            request.extensions_mut().insert(ClientAddr(self.peer));
            let in_flight = requests.begin(input_end);
            let input = input.clone();
            let keep_alive = keep_alive(self.limits.idle_timeout);
            async move {
                let mut response = self.handler.handle(request).await;
                let headers = response.headers_mut();
                if self.last_responses.is_set() {
                    headers.insert(header::CONNECTION, HeaderValue::from_static("close"));
                } else if let Some(keep_alive) = &keep_alive {
                    headers.insert(KEEP_ALIVE, keep_alive.clone());
                }
                input.answered();
                Ok::<_, Infallible>(response.map(|body| TrackedBody {
                    body,
                    _request: in_flight,
                }))
            }
        });
        let stream = ServedStream {
            stream: self.stream.clone(),
            input: input.clone(),
        };
        let mut builder = Builder::new();
        builder
            .timer(SmolTimer::new())
            .half_close(half_close)
            .header_read_timeout(self.limits.idle_timeout)
            .max_buf_size(self.limits.head_bytes.max(MIN_HEAD));
        if self.limits.head_fields != DEFAULT_FIELDS {
            // hyper then allocates memory for the fields of each request.
            builder.max_headers(self.limits.head_fields);
        }
        let connection = builder.serve_connection(FuturesIo::new(stream), service);
        let mut connection = std::pin::pin!(connection);
        let closed = async {
            self.closing.wait().await;
            self.until_closable(requests, &input).await;
            Cause::Closing
        };
        let overdue = async { Cause::Limit(self.until_overdue(requests, &input).await) };
        let finished = async { Cause::Finished(connection.as_mut().await) };
        match finished.or(closed).or(overdue).await {
            Cause::Limit(reason) => {
                self.handler.connection_limited(self.peer, reason);
                Ok(End::Idle)
            }
            // No request came within the idle timeout.
            Cause::Finished(Err(e)) if e.is_timeout() && !input.is_set() => Ok(End::Idle),
            Cause::Finished(result) => result.map(|()| End::Served),
            Cause::Closing => {
                let end = match requests.current() {
                    Some(_) => End::Served,
                    None => End::Idle,
                };
                connection.as_mut().graceful_shutdown();
                connection.await.map(|()| end)
            }
        }
    }

    /// Waits until a head is overdue; returns the reason for which the connection is closed.
    async fn until_overdue(&self, requests: &InFlight, input: &UnansweredInput) -> &'static str {
        let opened = Instant::now();
        let limit = self.limits.head_timeout;
        let mut was_overdue = false;
        loop {
            Timer::after(HEAD_CHECK).await;
            let is_late = input.since().is_some_and(|at| at.elapsed() >= limit);
            let is_overdue = is_late && requests.current().is_none();
            // A head that arrived during a response is read at its end.
            if is_overdue && was_overdue {
                return "slow head";
            }
            was_overdue = is_overdue;
            if input.is_new() && opened.elapsed() >= limit && self.is_crowded() {
                return "nothing sent";
            }
        }
    }

    /// Whether most of the connections that the listener accepts are open.
    fn is_crowded(&self) -> bool {
        self.connections.open_count() >= self.limits.connections / 8 * 7
    }

    /// Waits until the connection may be closed after its current response, or at once if
    /// no request can be under way. hyper would drop one that it has read in part.
    async fn until_closable(&self, requests: &InFlight, input: &UnansweredInput) {
        let unread = has_unread_input(&self.stream).unwrap_or_else(|e| {
            log::warn!("transport: cannot check a connection: {e}");
            false
        });
        if requests.current().is_some() || !(unread || input.is_set()) {
            return;
        }
        let began = async {
            requests.until_begin().await;
        };
        let waited = async {
            Timer::after(REQUEST_WAIT).await;
        };
        began.or(waited).await;
    }
}
