//! Graceful shutdown of a listener with connections in each state.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use event_listener::Event;
use futures_lite::{AsyncReadExt, AsyncWriteExt};
use http::{Request, Response};
use http_body_util::Full;
use hyper::body::Incoming;
use smol::net::{TcpListener, TcpStream};
use transport::{Handler, Listener, ListenerLimits, block_on, spawn, with_timeout};

/// Responds to each request when `release` is notified.
#[derive(Default)]
struct HeldHandler {
    arrived: Event,
    release: Event,
}

impl Handler for HeldHandler {
    type Body = Full<Bytes>;
    type Error = Infallible;

    async fn handle(&self, _request: Request<Incoming>) -> Response<Full<Bytes>> {
        let released = self.release.listen();
        self.arrived.notify(usize::MAX);
        released.await;
        Response::new(Full::from("done"))
    }
}

fn new_listener(handler: Arc<HeldHandler>) -> Arc<Listener<HeldHandler>> {
    let limits = ListenerLimits {
        connections: 8,
        head_bytes: 8192,
        head_fields: 100,
        head_timeout: Duration::from_secs(5),
        idle_timeout: Duration::from_secs(10),
    };
    Arc::new(Listener::new(handler, limits))
}

async fn listener() -> (Arc<Listener<HeldHandler>>, Arc<HeldHandler>, SocketAddr) {
    let handler = Arc::new(HeldHandler::default());
    let listener = new_listener(handler.clone());
    let socket = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = socket.local_addr().unwrap();
    let accepting = listener.clone();
    spawn(async move { accepting.accept(socket).await }).detach();
    (listener, handler, addr)
}

async fn send(addr: SocketAddr) -> TcpStream {
    let mut stream = TcpStream::connect(addr).await.unwrap();
    stream
        .write_all(b"GET / HTTP/1.1\r\nhost: x\r\n\r\n")
        .await
        .unwrap();
    stream
}

#[test]
fn request_in_flight_is_answered_after_close() {
    block_on(async {
        let (listener, handler, addr) = listener().await;
        let arrived = handler.arrived.listen();
        let mut stream = send(addr).await;
        arrived.await;

        listener.close();
        handler.release.notify(usize::MAX);
        let mut response = String::new();
        stream.read_to_string(&mut response).await.unwrap();
        listener.wait_closed().await;

        assert!(response.ends_with("done"), "{response}");
    });
}

/// Clients learnt of the idle timeout by its end, and requests crossed the close.
#[test]
fn idle_timeout_is_not_announced() {
    block_on(async {
        let (_listener, handler, addr) = listener().await;
        let arrived = handler.arrived.listen();
        let mut stream = send(addr).await;
        arrived.await;

        handler.release.notify(usize::MAX);
        let mut bytes = [0; 1024];
        let len = stream.read(&mut bytes).await.unwrap();

        let response = String::from_utf8_lossy(&bytes[..len]).into_owned();
        // A second less than the timeout.
        assert!(response.contains("keep-alive: timeout=9\r\n"), "{response}");
    });
}

#[test]
fn idle_connection_is_closed_on_close() {
    block_on(async {
        let (listener, handler, addr) = listener().await;
        let mut idle = TcpStream::connect(addr).await.unwrap();
        let arrived = handler.arrived.listen();
        let mut busy = send(addr).await;
        arrived.await;

        listener.close();
        let read = idle.read(&mut [0; 1]).await.unwrap();
        handler.release.notify(usize::MAX);
        busy.read_to_end(&mut Vec::new()).await.unwrap();

        assert_eq!(read, 0);
    });
}

/// If the socket stayed open during a shutdown, callers could still connect, and
/// their requests would be aborted when the entry exits, for example while all
/// entries are restarted one after another.
/// A close before the first poll of `accept` was lost, and it accepted for ever.
#[test]
fn close_before_accept_is_lost() {
    block_on(async {
        let listener = new_listener(Arc::default());
        let socket = TcpListener::bind("127.0.0.1:0").await.unwrap();
        listener.close();

        let accepting = listener.accept(socket);

        let returned = with_timeout(Duration::from_secs(2), accepting).await;
        assert!(returned.is_some(), "accepts after close");
    });
}

#[test]
fn connect_fails_after_close() {
    block_on(async {
        let (listener, _handler, addr) = listener().await;
        drop(TcpStream::connect(addr).await.unwrap());

        listener.close();
        while TcpStream::connect(addr).await.is_ok() {
            smol::future::yield_now().await;
        }

        listener.wait_closed().await;
    });
}
