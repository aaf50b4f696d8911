//! Clients that do not finish their heads, or send nothing.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures_lite::{AsyncReadExt, AsyncWriteExt};
use http::{Request, Response};
use http_body_util::Full;
use hyper::body::Incoming;
use smol::Timer;
use smol::net::{TcpListener, TcpStream};
use transport::{Handler, Listener, ListenerLimits, block_on, spawn, with_timeout};

const REQUEST: &[u8] = b"GET / HTTP/1.1\r\nhost: x\r\n\r\n";
const HEAD_TIMEOUT: Duration = Duration::from_millis(500);
/// Longer than the timeout of a head and two checks of it.
const WAIT: Duration = Duration::from_secs(4);

struct Greeter;

impl Handler for Greeter {
    type Body = Full<Bytes>;
    type Error = Infallible;

    async fn handle(&self, _request: Request<Incoming>) -> Response<Full<Bytes>> {
        Response::new(Full::from("hello"))
    }
}

/// Starts a listener that accepts `connections`.
async fn start(connections: usize) -> SocketAddr {
    let limits = ListenerLimits {
        connections,
        head_bytes: 8192,
        head_fields: 40,
        head_timeout: HEAD_TIMEOUT,
        idle_timeout: Duration::from_secs(20),
    };
    let listener = Listener::new(Arc::new(Greeter), limits);
    let socket = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = socket.local_addr().unwrap();
    spawn(async move { listener.accept(socket).await }).detach();
    addr
}

async fn connect(addr: SocketAddr, bytes: &[u8]) -> TcpStream {
    let mut stream = TcpStream::connect(addr).await.unwrap();
    stream.write_all(bytes).await.unwrap();
    stream
}

/// Reads once; `None` if nothing arrives in time, and an empty text at the end.
async fn read(stream: &mut TcpStream) -> Option<String> {
    let mut bytes = [0; 1024];
    let read = with_timeout(WAIT, stream.read(&mut bytes)).await?;
    let len = read.unwrap_or_default();
    Some(String::from_utf8_lossy(&bytes[..len]).into_owned())
}

/// A client that sent half of a head kept its connection for the idle timeout.
#[test]
fn unfinished_head_keeps_its_connection() {
    block_on(async {
        let addr = start(8).await;
        let mut stream = connect(addr, &REQUEST[..10]).await;

        let answer = read(&mut stream).await;

        assert_eq!(answer.as_deref(), Some(""));
    });
}

/// The limit on heads must not end a connection that is idle between two requests, or one
/// that was opened ahead of its first.
#[test]
fn idle_connection_is_taken_for_a_slow_head() {
    block_on(async {
        let addr = start(8).await;
        let mut used = connect(addr, REQUEST).await;
        let first = read(&mut used).await;
        let mut fresh = connect(addr, b"").await;

        Timer::after(WAIT).await;
        used.write_all(REQUEST).await.unwrap();
        fresh.write_all(REQUEST).await.unwrap();

        for answer in [first, read(&mut used).await, read(&mut fresh).await] {
            assert!(answer.is_some_and(|a| a.starts_with("HTTP/1.1 200 ")));
        }
    });
}

/// Connections on which nothing is sent kept others out for the idle timeout.
#[test]
fn silent_connections_keep_others_out() {
    block_on(async {
        let addr = start(8).await;
        let mut silent = Vec::new();
        for _ in 0..8 {
            silent.push(connect(addr, b"").await);
        }

        Timer::after(WAIT).await;
        let answer = read(&mut connect(addr, REQUEST).await).await;

        assert!(answer.is_some_and(|a| a.starts_with("HTTP/1.1 200 ")));
    });
}

/// Each field of a head takes memory beside its bytes.
#[test]
fn head_with_too_many_fields_is_accepted() {
    block_on(async {
        let addr = start(8).await;
        let fields = "a: b\r\n".repeat(50);
        let head = format!("GET / HTTP/1.1\r\nhost: x\r\n{fields}\r\n");

        let answer = read(&mut connect(addr, head.as_bytes()).await).await;

        assert!(answer.is_some_and(|a| a.starts_with("HTTP/1.1 431 ")));
    });
}
