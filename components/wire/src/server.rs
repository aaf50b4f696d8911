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

/// Pause between two looks whether the peer of a busy connection is still there.
const PEER_CHECK: Duration = Duration::from_millis(100);

/// Answers the requests of one listener.
pub trait Handler: Send + Sync + 'static {
    /// Answers one request; `peer` is the other end of the connection.
    fn handle(&self, request: Request, peer: SocketAddr) -> impl Future<Output = Response> + Send;
}

/// Bounds on what callers can hold.
#[derive(Debug, Clone)]
pub struct ServerLimits {
    /// Open connections; further ones are closed at once.
    pub connections: usize,
    /// Longest time without a complete request head.
    pub idle: Duration,
    /// After a stop: how long idle connections may still begin a request.
    pub linger: Duration,
}

impl Default for ServerLimits {
    fn default() -> Self {
        ServerLimits {
            connections: 4096,
            idle: Duration::from_secs(60),
            linger: Duration::from_millis(300),
        }
    }
}

/// An HTTP server on one listener, with graceful shutdown.
pub struct Server<H> {
    handler: Arc<H>,
    limits: ServerLimits,
    open: AtomicUsize,
    closing: Receiver<()>,
}

enum Turn {
    Next,
    Done,
}

impl<H: Handler> Server<H> {
    /// Makes a server; closing the returned sender's channel begins the shutdown.
    pub fn new(handler: Arc<H>, limits: ServerLimits) -> (Arc<Self>, Sender<()>) {
        let (close, closing) = async_channel::bounded(1);
        let server = Server {
            handler,
            limits,
            open: AtomicUsize::new(0),
            closing,
        };
        (Arc::new(server), close)
    }

    /// Serves until the shutdown begins, then until all connections have ended
    /// or `drain` has passed.
    pub async fn run(self: Arc<Self>, listener: TcpListener, drain: Duration) {
        let (alive, ended) = async_channel::bounded::<()>(1);
        loop {
            let next = async { listener.accept().await.ok() }
                .or(async {
                    self.closed().await;
                    None
                })
                .await;
            match next {
                Some((stream, peer)) => self.accept(stream, peer, alive.clone()),
                None if self.closing.is_closed() => break,
                // Transient accept errors (for example too many open files).
                None => drop(smol::Timer::after(Duration::from_millis(10)).await),
            }
        }
        drop(listener);
        drop(alive);
        let _ = with_timeout(drain, ended.recv()).await;
    }

    async fn closed(&self) {
        let _ = self.closing.recv().await;
    }

    fn accept(self: &Arc<Self>, stream: TcpStream, peer: SocketAddr, alive: Sender<()>) {
        if self.open.fetch_add(1, Ordering::Relaxed) >= self.limits.connections {
            self.open.fetch_sub(1, Ordering::Relaxed);
            return;
        }
        let server = self.clone();
        smol::spawn(async move {
            let _ = stream.set_nodelay(true);
            while let Turn::Next = server.turn(&stream, peer).await {}
            server.open.fetch_sub(1, Ordering::Relaxed);
            drop(alive);
        })
        .detach();
    }

    /// Answers one request on a connection.
    async fn turn(&self, stream: &TcpStream, peer: SocketAddr) -> Turn {
        let busy = AtomicBool::new(false);
        let answer = |req: Request| {
            busy.store(true, Ordering::Relaxed);
            self.answer(req, peer)
        };
        let mut server = async_h1::server::Server::new(Metered(stream.clone()), answer);
        let idle = async {
            self.idle_end(&busy).await;
            Ok(ConnectionStatus::Close)
        };
        let gone = async {
            self.peer_gone(stream, &busy).await;
            Ok(ConnectionStatus::Close)
        };
        match server.accept_one().or(idle).or(gone).await {
            Ok(ConnectionStatus::KeepAlive) if !self.closing.is_closed() => Turn::Next,
            Ok(_) => Turn::Done,
            Err(e) if !busy.load(Ordering::Relaxed) => {
                refuse_head(stream, &e).await;
                Turn::Done
            }
            Err(_) => Turn::Done,
        }
    }

    /// Resolves when a connection without a request has to be closed.
    async fn idle_end(&self, busy: &AtomicBool) {
        self.closed()
            .or(async {
                smol::Timer::after(self.limits.idle).await;
            })
            .await;
        if self.closing.is_closed() {
            smol::Timer::after(self.limits.linger).await;
        }
        if busy.load(Ordering::Relaxed) {
            std::future::pending::<()>().await;
        }
    }

    /// Resolves when the peer has closed its side while its request is being
    /// answered; the answer is then given up, and with it what it waits for.
    async fn peer_gone(&self, stream: &TcpStream, busy: &AtomicBool) {
        let mut byte = [0u8; 1];
        loop {
            smol::Timer::after(PEER_CHECK).await;
            if !busy.load(Ordering::Relaxed) {
                continue;
            }
            match stream.peek(&mut byte).await {
                Ok(0) | Err(_) => return,
                // The body or the next request is on its way.
                Ok(_) => {}
            }
        }
    }

    async fn answer(&self, req: Request, peer: SocketAddr) -> http_types::Result<Response> {
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
        if self.closing.is_closed() {
            res.insert_header("connection", "close");
        }
        Ok(res)
    }
}

/// Answers a request whose head could not be read.
async fn refuse_head(stream: &TcpStream, error: &http_types::Error) {
    let text = format!("{error}; send a well-formed HTTP/1.1 head of at most 8 KiB");
    let mut res = Response::from(Problem::not_run(400, "bad request", text));
    res.insert_header("connection", "close");
    let mut out = stream.clone();
    let _ = smol::io::copy(Encoder::new(res, Method::Get), &mut out).await;
    let _ = stream.shutdown(std::net::Shutdown::Write);
}
