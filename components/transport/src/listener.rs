use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use event_listener::Event;
use futures_lite::FutureExt;
use http::{Request, Response};
use http_body::Body;
use hyper::body::Incoming;
use hyper::server::conn::http1::Builder;
use hyper::service::service_fn;
use smol::Timer;
use smol::net::{TcpListener, TcpStream};
use smol_hyper::rt::{FuturesIo, SmolTimer};

use crate::connection::tune;
use crate::spawn;

/// Pause after a failed accept, for example with too many open files.
const ACCEPT_PAUSE: Duration = Duration::from_millis(10);
/// Pause between two looks whether all connections have ended.
const END_CHECK: Duration = Duration::from_millis(20);

/// Answers the requests of one listener.
pub trait Handler: Send + Sync + 'static {
    /// Body of the answers.
    type Body: Body<Data = bytes::Bytes, Error = Self::Error> + Send + 'static;
    /// Why a body ends early; the caller's connection is then reset.
    type Error: std::error::Error + Send + Sync + 'static;

    /// Answers one request.
    fn handle(
        &self,
        request: Request<Incoming>,
    ) -> impl Future<Output = Response<Self::Body>> + Send;
}

/// Bounds on what peers can hold.
#[derive(Debug, Clone, Copy)]
pub struct ListenerLimits {
    /// Open connections; further ones are closed at once.
    pub connections: usize,
    /// Longest head in bytes.
    pub head_bytes: usize,
    /// Longest time without a complete head, also between two requests.
    pub idle_timeout: Duration,
}

/// A listener with graceful shutdown.
pub struct Listener<H> {
    handler: Arc<H>,
    limits: ListenerLimits,
    open: Arc<AtomicUsize>,
    closing: Arc<Event>,
}

impl<H: Handler> Listener<H> {
    /// A listener that passes requests to `handler`.
    pub fn new(handler: Arc<H>, limits: ListenerLimits) -> Self {
        Listener {
            handler,
            limits,
            open: Arc::default(),
            closing: Arc::default(),
        }
    }

    /// Accepts connections until the listener is closed. Then the socket is
    /// gone, so that nobody waits in its queue for a process that ends.
    pub async fn accept(&self, socket: TcpListener) {
        let closing = self.closing.listen();
        let mut closing = std::pin::pin!(closing);
        loop {
            let next = async { Some(socket.accept().await) }.or(async {
                closing.as_mut().await;
                None
            });
            match next.await {
                None => return,
                Some(Ok((stream, peer))) => self.serve(stream, peer),
                Some(Err(e)) => {
                    log::warn!("transport: accept failed: {e}");
                    Timer::after(ACCEPT_PAUSE).await;
                }
            }
        }
    }

    /// Accepts nothing more, closes idle connections and lets the others end
    /// after their answer.
    pub fn close(&self) {
        self.closing.notify(usize::MAX);
    }

    /// Open connections.
    pub fn open_connections(&self) -> usize {
        self.open.load(Ordering::Relaxed)
    }

    /// Resolves when every connection has ended.
    pub async fn wait_closed(&self) {
        while self.open_connections() > 0 {
            Timer::after(END_CHECK).await;
        }
    }

    fn serve(&self, stream: TcpStream, peer: SocketAddr) {
        if self.open.load(Ordering::Relaxed) >= self.limits.connections {
            log::warn!("transport: connection of {peer} closed: too many are open");
            return;
        }
        if let Err(e) = tune(&stream) {
            log::debug!("transport: connection of {peer} closed: {e}");
            return;
        }
        self.open.fetch_add(1, Ordering::Relaxed);
        let (handler, open, limits) = (self.handler.clone(), self.open.clone(), self.limits);
        let closing = self.closing.listen();
        spawn(async move {
            let service = service_fn(move |request| {
                let handler = handler.clone();
                async move { Ok::<_, std::convert::Infallible>(handler.handle(request).await) }
            });
            let connection = Builder::new()
                .timer(SmolTimer::new())
                .header_read_timeout(limits.idle_timeout)
                .max_buf_size(limits.head_bytes.max(8192))
                .serve_connection(FuturesIo::new(stream), service);
            let mut connection = std::pin::pin!(connection);
            let first = async { Some(connection.as_mut().await) }
                .or(async {
                    closing.await;
                    None
                })
                .await;
            let result = match first {
                Some(result) => result,
                None => {
                    connection.as_mut().graceful_shutdown();
                    connection.await
                }
            };
            if let Err(e) = result {
                log::debug!("transport: connection of {peer} ended: {e}");
            }
            open.fetch_sub(1, Ordering::Relaxed);
        })
        .detach();
    }
}
