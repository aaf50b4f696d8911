use std::future::Future;
use std::net::SocketAddr;
use std::panic::AssertUnwindSafe;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use futures_lite::FutureExt;
use futures_lite::future::poll_once;
use http::{Request, Response};
use http_body::Body;
use hyper::body::Incoming;
use smol::Timer;
use smol::net::{TcpListener, TcpStream};

use crate::close_signal::CloseSignal;
use crate::connection::set_socket_options;
use crate::connection_group::ConnectionGroup;
use crate::served_connection::ServedConnection;
use crate::spawn;
use crate::surplus_connection::refuse;

/// Pause after a failed accept, for example when too many files are open.
const ACCEPT_PAUSE: Duration = Duration::from_millis(10);
/// Most connections above the limit on which requests are refused; further ones are closed
/// at once.
const MAX_SURPLUS: usize = 64;
/// Their largest part of the limit, which counts against the process's descriptors too.
const SURPLUS_PART: usize = 8;

/// Handles the requests of one listener.
pub trait Handler: Send + Sync + 'static {
    /// Body of the responses.
    type Body: Body<Data = bytes::Bytes, Error = Self::Error> + Send + Unpin + 'static;
    /// Error that ends a body early; the connection is then reset.
    type Error: std::error::Error + Send + Sync + 'static;

    /// Handles one request.
    fn handle(
        &self,
        request: Request<Incoming>,
    ) -> impl Future<Output = Response<Self::Body>> + Send;

    /// Whether a client that has closed its sending side gets a response. The handler then
    /// decides with [`InputEnd`] for how long it works for a client that may have left;
    /// otherwise its request is dropped.
    fn serves_half_closed(&self) -> bool {
        false
    }

    /// Is told of a connection that was closed or refused because of a limit.
    fn connection_limited(&self, peer: SocketAddr, reason: &'static str) {
        log::debug!("transport: connection from {peer} closed: {reason}");
    }

    /// Is told of a connection that failed, also after a response was passed to it.
    fn connection_failed(&self, peer: SocketAddr, error: &hyper::Error) {
        log::debug!("transport: connection from {peer} failed: {error}");
    }
}

/// Limits on connections and request heads.
#[derive(Debug, Clone, Copy)]
pub struct ListenerLimits {
    /// Most open connections; on further ones, requests are refused.
    pub connections: usize,
    /// Longest request head in bytes; values below 8192 count as 8192.
    pub head_bytes: usize,
    /// Most header fields of a request.
    pub head_fields: usize,
    /// Longest time from the first byte of a head to its end. While most connections are in
    /// use, also longest time until a new connection sends something.
    pub head_timeout: Duration,
    /// Longest time until a complete head has arrived, also between two requests; and
    /// longest time for which a client does not read what is sent to it.
    pub idle_timeout: Duration,
}

/// HTTP server on one socket, with graceful shutdown.
pub struct Listener<H> {
    handler: Arc<H>,
    limits: ListenerLimits,
    /// Sockets that are accepted from.
    sockets: ConnectionGroup,
    /// All open connections.
    connections: ConnectionGroup,
    /// Those that were accepted since [`Listener::close_accepted`].
    accepted: Mutex<ConnectionGroup>,
    surplus_connections: Arc<AtomicUsize>,
    closing: CloseSignal,
    /// Set when connections end with their next response.
    last_responses: Arc<CloseSignal>,
}

impl<H: Handler> Listener<H> {
    /// Creates a listener that passes requests to `handler`.
    pub fn new(handler: Arc<H>, limits: ListenerLimits) -> Self {
        Listener {
            handler,
            limits,
            sockets: ConnectionGroup::default(),
            connections: ConnectionGroup::default(),
            accepted: Mutex::default(),
            surplus_connections: Arc::default(),
            closing: CloseSignal::default(),
            last_responses: Arc::default(),
        }
    }

    /// Accepts connections until the listener is closed. The socket is then closed
    /// too, so that no client waits in its backlog for a process that is stopping.
    pub async fn accept(&self, socket: TcpListener) {
        let _socket = self.sockets.begin();
        let mut closing = std::pin::pin!(self.closing.wait());
        loop {
            let next = async { Some(socket.accept().await) }.or(async {
                closing.as_mut().await;
                None
            });
            match next.await {
                None => return self.serve_backlog(&socket).await,
                Some(Ok((stream, peer))) => self.serve(stream, peer),
                Some(Err(e)) => {
                    log::warn!("transport: accept failed: {e}");
                    Timer::after(ACCEPT_PAUSE).await;
                }
            }
        }
    }

    /// Serves the clients that are connected already: the close of the socket would reset
    /// their connections.
    async fn serve_backlog(&self, socket: &TcpListener) {
        while let Some(Ok((stream, peer))) = poll_once(socket.accept()).await {
            self.serve(stream, peer);
        }
    }

    /// Starts a graceful shutdown: stops accepting, closes idle connections, and closes
    /// each other connection after its current response or that to a request under way.
    pub fn close(&self) {
        self.closing.set();
        self.close_accepted();
    }

    /// Closes the connections accepted so far in the same way and goes on accepting. Each
    /// further connection ends with its first response.
    pub fn close_accepted(&self) -> ConnectionGroup {
        self.end_keep_alive();
        let accepted = match self.closing.is_set() {
            // Those of the backlog belong to the same group.
            true => self.accepted().clone(),
            false => std::mem::take(&mut *self.accepted()),
        };
        accepted.closing.set();
        accepted
    }

    fn accepted(&self) -> MutexGuard<'_, ConnectionGroup> {
        self.accepted.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Announces the close: each connection ends with its next response, so that clients in
    /// use of theirs do not send a request while it is closed.
    pub fn end_keep_alive(&self) {
        self.last_responses.set();
    }

    /// Number of open connections.
    pub fn open_connections(&self) -> usize {
        self.connections.open_count()
    }

    /// Waits until no socket is accepted from and every connection is closed.
    pub async fn wait_closed(&self) {
        self.sockets.wait_closed().await;
        self.connections.wait_closed().await;
    }

    /// Refuses the request on a connection above the limit.
    fn refuse(&self, stream: TcpStream, peer: SocketAddr) {
        self.handler
            .connection_limited(peer, "too many connections");
        let surplus = self.surplus_connections.clone();
        let most = MAX_SURPLUS.min(self.limits.connections.div_ceil(SURPLUS_PART));
        if surplus.load(Ordering::Relaxed) >= most {
            return;
        }
        surplus.fetch_add(1, Ordering::Relaxed);
        spawn(async move {
            refuse(stream).await;
            surplus.fetch_sub(1, Ordering::Relaxed);
        })
        .detach();
    }

    fn serve(&self, stream: TcpStream, peer: SocketAddr) {
        if self.open_connections() >= self.limits.connections {
            return self.refuse(stream, peer);
        }
        if let Err(e) = set_socket_options(&stream, self.limits.idle_timeout) {
            log::debug!("transport: connection from {peer} closed: {e}");
            return;
        }
        let accepted = self.accepted().clone();
        let counted = (self.connections.begin(), accepted.begin());
        let connection = ServedConnection {
            stream,
            peer,
            handler: self.handler.clone(),
            limits: self.limits,
            connections: self.connections.clone(),
            closing: accepted.closing,
            last_responses: self.last_responses.clone(),
        };
        spawn(async move {
            // A panic would end the executor, and the process with all its requests.
            let served = AssertUnwindSafe(connection.serve()).catch_unwind();
            if served.await.is_err() {
                log::error!("transport: connection from {peer} ended by a panic");
            }
            drop(counted);
        })
        .detach();
    }
}
