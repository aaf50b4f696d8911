use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::Duration;

use async_channel::{Receiver, Sender};
use async_h1::server::{ConnectionStatus, Encoder};
use futures_lite::FutureExt;
use http_types::headers::CONTENT_LENGTH;
use http_types::{Method, Request, Response};
use smol::net::{TcpListener, TcpStream};

use crate::metered::Metered;
use crate::{Problem, with_timeout};

/// Interval of checks for a closed connection while its request is handled.
const PEER_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Handles the requests of a server.
pub trait Handler: Send + Sync + 'static {
    /// Responds to one request; `peer` is the other end of the connection.
    fn handle(&self, request: Request, peer: SocketAddr) -> impl Future<Output = Response> + Send;
}

/// Limits on the connections of a server.
#[derive(Debug, Clone)]
pub struct ServerLimits {
    /// Most open connections; further ones are closed at once.
    pub connections: usize,
    /// Longest wait for a complete request head.
    pub idle_timeout: Duration,
    /// Time after a stop in which idle connections may still start a request.
    pub close_delay: Duration,
}

impl Default for ServerLimits {
    fn default() -> Self {
        ServerLimits {
            connections: 4096,
            idle_timeout: Duration::from_secs(60),
            close_delay: Duration::from_millis(300),
        }
    }
}

/// An HTTP server on one listener, with graceful shutdown.
pub struct Server<H> {
    handler: Arc<H>,
    limits: ServerLimits,
    open_connections: AtomicUsize,
    shutdown: Receiver<()>,
}

enum NextStep {
    ReadRequest,
    Close,
}

impl<H: Handler> Server<H> {
    /// Creates a server; closing the returned channel starts the shutdown.
    pub fn new(handler: Arc<H>, limits: ServerLimits) -> (Arc<Self>, Sender<()>) {
        let (close, shutdown) = async_channel::bounded(1);
        let server = Server {
            handler,
            limits,
            open_connections: AtomicUsize::new(0),
            shutdown,
        };
        (Arc::new(server), close)
    }

    /// Serves until the shutdown starts, then until all connections are closed, for
    /// at most `drain`.
    pub async fn run(self: Arc<Self>, listener: TcpListener, drain: Duration) {
        let (guard, all_closed) = async_channel::bounded::<()>(1);
        loop {
            let next = async { listener.accept().await.ok() }
                .or(async {
                    self.shutdown_started().await;
                    None
                })
                .await;
            match next {
                Some((stream, peer)) => self.accept(stream, peer, guard.clone()),
                None if self.shutdown.is_closed() => break,
                // Waits before a retry: errors such as too many open files are transient.
                None => drop(smol::Timer::after(Duration::from_millis(10)).await),
            }
        }
        drop(listener);
        drop(guard);
        let _ = with_timeout(drain, all_closed.recv()).await;
    }

    async fn shutdown_started(&self) {
        let _ = self.shutdown.recv().await;
    }

    fn accept(self: &Arc<Self>, stream: TcpStream, peer: SocketAddr, guard: Sender<()>) {
        if self.open_connections.fetch_add(1, Ordering::Relaxed) >= self.limits.connections {
            self.open_connections.fetch_sub(1, Ordering::Relaxed);
            return;
        }
        let server = self.clone();
        smol::spawn(async move {
            let _ = stream.set_nodelay(true);
            while let NextStep::ReadRequest = server.serve_request(&stream, peer).await {}
            server.open_connections.fetch_sub(1, Ordering::Relaxed);
            drop(guard);
        })
        .detach();
    }

    /// Serves one request on a connection.
    async fn serve_request(&self, stream: &TcpStream, peer: SocketAddr) -> NextStep {
        let busy = AtomicBool::new(false);
        let handle = |req: Request| {
            busy.store(true, Ordering::Relaxed);
            self.handle_request(req, peer)
        };
        let mut server = async_h1::server::Server::new(Metered(stream.clone()), handle);
        let idle = async {
            self.idle_expired(&busy).await;
            Ok(ConnectionStatus::Close)
        };
        let peer_closed = async {
            self.peer_closed(stream, &busy).await;
            Ok(ConnectionStatus::Close)
        };
        match server.accept_one().or(idle).or(peer_closed).await {
            Ok(ConnectionStatus::KeepAlive) if !self.shutdown.is_closed() => NextStep::ReadRequest,
            Ok(_) => NextStep::Close,
            Err(e) if !busy.load(Ordering::Relaxed) => {
                refuse_head(stream, &e).await;
                NextStep::Close
            }
            Err(_) => NextStep::Close,
        }
    }

    /// Resolves when a connection without a request is due to be closed.
    async fn idle_expired(&self, busy: &AtomicBool) {
        self.shutdown_started()
            .or(async {
                smol::Timer::after(self.limits.idle_timeout).await;
            })
            .await;
        if self.shutdown.is_closed() {
            smol::Timer::after(self.limits.close_delay).await;
        }
        if busy.load(Ordering::Relaxed) {
            std::future::pending::<()>().await;
        }
    }

    /// Resolves when the peer closes the connection while its request is handled,
    /// which cancels the handler and everything it waits for.
    async fn peer_closed(&self, stream: &TcpStream, busy: &AtomicBool) {
        let mut byte = [0u8; 1];
        loop {
            smol::Timer::after(PEER_CHECK_INTERVAL).await;
            if !busy.load(Ordering::Relaxed) {
                continue;
            }
            match stream.peek(&mut byte).await {
                Ok(0) | Err(_) => return,
                // The rest of the body or the next request can be read.
                Ok(_) => {}
            }
        }
    }

    async fn handle_request(&self, req: Request, peer: SocketAddr) -> http_types::Result<Response> {
        let repeated = req
            .header(CONTENT_LENGTH)
            .is_some_and(|v| v.iter().count() > 1);
        let mut res = if repeated {
            let text = "content-length is repeated; send it once";
            let mut res = Response::from(Problem::not_run(400, "bad request", text));
            res.insert_header("connection", "close");
            res
        } else {
            self.handler.handle(req, peer).await
        };
        if self.shutdown.is_closed() {
            res.insert_header("connection", "close");
        }
        Ok(res)
    }
}

/// Responds with status 400 to a request whose head could not be read.
async fn refuse_head(stream: &TcpStream, error: &http_types::Error) {
    let text = format!("{error}; send a well-formed HTTP/1.1 head of at most 8 KiB");
    let mut res = Response::from(Problem::not_run(400, "bad request", text));
    res.insert_header("connection", "close");
    let mut out = stream.clone();
    let _ = smol::io::copy(Encoder::new(res, Method::Get), &mut out).await;
    let _ = stream.shutdown(std::net::Shutdown::Write);
}
