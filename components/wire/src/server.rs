use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use async_channel::{Receiver, Sender};
use futures_lite::FutureExt;
use http_types::{Request, Response};
use smol::net::{TcpListener, TcpStream};

use crate::connection::Connection;
use crate::request_stream::Unread;
use crate::{Caller, with_timeout};

/// Most connections above the limit that are refused at one time; further ones are closed
/// at once.
const MAX_REFUSALS: usize = 64;

/// What the end of a caller's input means for its request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum InputEnd {
    /// The caller has left: the request is cancelled.
    Cancel,
    /// The caller may still read the response: the handler is notified.
    Notify,
}

/// Handles the requests of a server.
pub trait Handler: Send + Sync + 'static {
    /// What happens when a caller closes its sending side.
    const INPUT_END: InputEnd = InputEnd::Cancel;

    /// Responds to one request; `peer` is the other end of the connection.
    fn handle(&self, request: Request, peer: SocketAddr) -> impl Future<Output = Response> + Send;

    /// Responds to one request of a caller whose input may end meanwhile.
    fn handle_caller(
        &self,
        request: Request,
        caller: Caller,
    ) -> impl Future<Output = Response> + Send {
        self.handle(request, caller.addr())
    }
}

/// Limits on the connections of a server.
#[derive(Debug, Clone)]
pub struct ServerLimits {
    /// Most open connections; requests on further ones are refused.
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

/// What is done with a new connection.
enum Accept {
    Serve,
    Refuse,
    Drop,
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

    /// Number of open connections.
    pub fn open_connections(&self) -> usize {
        self.open_connections.load(Ordering::Relaxed)
    }

    /// Serves until the shutdown starts, then until all connections are closed, for
    /// at most `drain`.
    pub async fn run(self: Arc<Self>, listener: TcpListener, drain: Duration) {
        let (guard, all_closed) = async_channel::bounded::<()>(1);
        loop {
            // Accepting goes first: connections that wait for it would be reset by a stop.
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
        let accept = self.next_accept();
        if matches!(accept, Accept::Drop) {
            log::debug!("wire: connection of {peer} closed: too many are open");
            self.open_connections.fetch_sub(1, Ordering::Relaxed);
            return;
        }
        let connection = Connection {
            stream,
            peer,
            handler: self.handler.clone(),
            limits: self.limits.clone(),
            shutdown: self.shutdown.clone(),
            unread: Unread::default(),
        };
        let server = self.clone();
        smol::spawn(async move {
            let _ = connection.stream.set_nodelay(true);
            match accept {
                Accept::Serve => connection.run().await,
                _ => connection.refuse().await,
            }
            server.open_connections.fetch_sub(1, Ordering::Relaxed);
            drop(guard);
        })
        .detach();
    }

    /// Counts a new connection and decides what is done with it.
    fn next_accept(&self) -> Accept {
        let open = self.open_connections.fetch_add(1, Ordering::Relaxed);
        let limit = self.limits.connections;
        match open {
            n if n < limit => Accept::Serve,
            n if n < limit + MAX_REFUSALS => Accept::Refuse,
            _ => Accept::Drop,
        }
    }
}
