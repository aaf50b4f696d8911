//! Requests that meet the close of a connection: at the end of the process, after a
//! refusal before their body was read, and above the limit on connections.

use std::convert::Infallible;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use futures_lite::AsyncReadExt;
use http::{Request, Response};
use http_body_util::Full;
use hyper::body::Incoming;
use smol::net::TcpListener;
use transport::{Handler, Listener, ListenerLimits, block_on, spawn, with_timeout};

const READ_LIMIT: Duration = Duration::from_secs(3);
const REQUEST: &[u8] = b"GET / HTTP/1.1\r\nhost: x\r\n\r\n";

/// Held while a test runs: the thread of another one would drive its listener as well.
static RUNNING: Mutex<()> = Mutex::new(());

/// Runs a test, and nothing of its listener while the test does not wait.
fn alone(test: impl Future<Output = ()>) {
    let _running = RUNNING.lock().unwrap_or_else(PoisonError::into_inner);
    block_on(test);
}

/// Responds at once, without reading the body.
#[derive(Default)]
struct Refusing {
    failed: AtomicUsize,
}

impl Handler for Refusing {
    type Body = Full<Bytes>;
    type Error = Infallible;

    async fn handle(&self, request: Request<Incoming>) -> Response<Full<Bytes>> {
        assert!(request.uri() != "/panic");
        let mut response = Response::new(Full::from("refused"));
        *response.status_mut() = http::StatusCode::NOT_FOUND;
        response
    }

    fn connection_failed(&self, _peer: SocketAddr, _error: &hyper::Error) {
        self.failed.fetch_add(1, Ordering::Relaxed);
    }
}

async fn listener(connections: usize) -> (Arc<Listener<Refusing>>, SocketAddr) {
    let limits = ListenerLimits {
        connections,
        head_bytes: 8192,
        head_fields: 100,
        head_timeout: Duration::from_secs(5),
        idle_timeout: Duration::from_secs(10),
    };
    let listener = Arc::new(Listener::new(Arc::<Refusing>::default(), limits));
    let socket = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = socket.local_addr().unwrap();
    let accepting = listener.clone();
    spawn(async move { accepting.accept(socket).await }).detach();
    (listener, addr)
}

/// Reads a response while the listener runs; what arrived until its end, an error or
/// `READ_LIMIT`.
async fn response(stream: &TcpStream) -> String {
    let stream = stream.try_clone().unwrap();
    let mut stream = smol::net::TcpStream::try_from(stream).unwrap();
    let mut text = String::new();
    let mut buf = [0; 1024];
    while let Some(Ok(len)) = with_timeout(READ_LIMIT, stream.read(&mut buf)).await {
        if len == 0 {
            break;
        }
        text.push_str(&String::from_utf8_lossy(&buf[..len]));
        if text.ends_with("refused") {
            break;
        }
    }
    text
}

/// Connects; the listener does not run before the test waits.
fn connect(addr: SocketAddr) -> TcpStream {
    let stream = TcpStream::connect(addr).unwrap();
    stream.set_nodelay(true).unwrap();
    stream
}

async fn write(mut stream: &TcpStream, bytes: &[u8]) {
    stream.write_all(bytes).unwrap();
    // Lets the listener read them.
    smol::Timer::after(Duration::from_millis(50)).await;
}

/// A request that waited in the receive buffer of an idle connection when the listener was
/// closed got no answer.
#[test]
fn request_in_the_receive_buffer_is_lost_on_close() {
    alone(async {
        let (listener, addr) = listener(8).await;
        let mut stream = connect(addr);
        write(&stream, REQUEST).await;
        let first = response(&stream).await;

        // Nothing else runs between the two.
        stream.write_all(REQUEST).unwrap();
        listener.close();
        let second = response(&stream).await;

        assert!(first.ends_with("refused"), "{first}");
        assert!(second.ends_with("refused"), "{second}");
        assert!(second.contains("connection: close"), "{second}");
        listener.wait_closed().await;
    });
}

/// A request whose head had arrived in part when the listener was closed got no answer.
#[test]
fn partly_read_request_is_lost_on_close() {
    alone(async {
        let (listener, addr) = listener(8).await;
        let stream = connect(addr);
        write(&stream, REQUEST).await;
        response(&stream).await;
        write(&stream, &REQUEST[..10]).await;

        listener.close();
        write(&stream, &REQUEST[10..20]).await;
        write(&stream, &REQUEST[20..]).await;
        let text = response(&stream).await;

        assert!(text.ends_with("refused"), "{text}");
        listener.wait_closed().await;
    });
}

/// A connection that had not been accepted when the listener was closed was reset.
#[test]
fn connection_in_the_backlog_is_reset_on_close() {
    alone(async {
        let (listener, addr) = listener(8).await;
        let pause = smol::Timer::after(Duration::from_millis(50));
        pause.await;

        let mut streams: Vec<_> = (0..4).map(|_| connect(addr)).collect();
        for stream in &mut streams {
            stream.write_all(REQUEST).unwrap();
        }
        listener.close();

        for stream in &streams {
            let text = response(stream).await;
            assert!(text.ends_with("refused"), "{text}");
        }
        listener.wait_closed().await;
    });
}

/// The wait for the end of all connections did not wait for those in the backlog; a process
/// that ended then reset them.
#[test]
fn wait_for_the_close_ends_before_the_backlog_is_served() {
    let mut stream = block_on(async {
        let (listener, addr) = listener(8).await;
        smol::Timer::after(Duration::from_millis(50)).await;

        let mut stream = connect(addr);
        stream.write_all(REQUEST).unwrap();
        listener.close();
        listener.wait_closed().await;
        stream
    });

    // Nothing is served any more.
    stream.set_read_timeout(Some(READ_LIMIT)).unwrap();
    let mut text = String::new();
    let read = stream.read_to_string(&mut text);
    assert!(text.ends_with("refused"), "{read:?} {text}");
}

/// The caller writes its request only after the connection was accepted and the listener
/// was closed.
#[test]
fn first_request_of_a_new_connection_is_lost_on_close() {
    alone(async {
        let (listener, addr) = listener(8).await;
        let stream = connect(addr);
        smol::Timer::after(Duration::from_millis(50)).await;

        listener.close();
        smol::Timer::after(Duration::from_millis(50)).await;
        write(&stream, REQUEST).await;
        let text = response(&stream).await;

        assert!(text.ends_with("refused"), "{text}");
        listener.wait_closed().await;
    });
}

/// The refusal of a request whose body was still being sent was overtaken by a reset: the
/// caller's next write failed, or the answer was lost.
#[test]
fn refusal_is_lost_while_the_body_is_sent() {
    for pause in [0, 5, 60] {
        alone(async {
            let (_listener, addr) = listener(8).await;
            let stream = connect(addr);
            let head = b"POST / HTTP/1.1\r\nhost: x\r\ncontent-length: 65536\r\n\r\n";

            let mut failed = (&stream).write_all(head).err();
            for _ in 0..16 {
                smol::Timer::after(Duration::from_millis(pause)).await;
                failed = failed.or((&stream).write_all(&[b'x'; 4096]).err());
            }
            let text = response(&stream).await;

            assert!(failed.is_none(), "pause {pause} ms: {failed:?}, {text}");
            assert!(text.ends_with("refused"), "pause {pause} ms: {text}");
        });
    }
}

/// A caller that sends without end after a refusal does not keep its connection.
#[test]
fn refused_sender_without_end_keeps_its_connection() {
    alone(async {
        let (listener, addr) = listener(8).await;
        let stream = connect(addr);
        let head = b"POST / HTTP/1.1\r\nhost: x\r\ncontent-length: 1099511627776\r\n\r\n";
        write(&stream, head).await;
        stream.set_nonblocking(true).unwrap();

        let sending = async {
            // Fails once the connection is closed.
            loop {
                match (&stream).write(&[b'x'; 65536]) {
                    Err(e) if e.kind() != std::io::ErrorKind::WouldBlock => return,
                    _ => smol::Timer::after(Duration::from_millis(1)).await,
                };
            }
        };

        let ended = with_timeout(READ_LIMIT, sending).await;
        assert!(ended.is_some(), "still open");
        listener.close();
        listener.wait_closed().await;
    });
}

/// A connection above the limit was closed without an answer.
#[test]
fn connection_above_the_limit_gets_no_answer() {
    alone(async {
        let (_listener, addr) = listener(1).await;
        let first = connect(addr);
        write(&first, REQUEST).await;

        let mut second = connect(addr);
        second.write_all(REQUEST).unwrap();
        smol::Timer::after(Duration::from_millis(50)).await;
        second.set_read_timeout(Some(READ_LIMIT)).unwrap();
        let mut text = String::new();
        let read = smol::unblock(move || {
            let result = second.read_to_string(&mut text);
            (result, text)
        });
        let (result, text) = read.await;

        assert!(result.is_ok(), "{result:?}");
        assert!(text.starts_with("HTTP/1.1 503 "), "{text}");
        assert!(text.contains("connection: close"), "{text}");
    });
}

/// Connections that were idle for long enough were logged as failed.
#[test]
fn idle_connection_is_reported_as_failed() {
    alone(async {
        let handler = Arc::<Refusing>::default();
        let limits = ListenerLimits {
            connections: 8,
            head_bytes: 8192,
            head_fields: 100,
            head_timeout: Duration::from_secs(5),
            idle_timeout: Duration::from_secs(1),
        };
        let listener = Arc::new(Listener::new(handler.clone(), limits));
        let socket = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let addr = socket.local_addr().unwrap();
        spawn(async move { listener.accept(socket).await }).detach();

        let idle = connect(addr);
        write(&idle, REQUEST).await;
        response(&idle).await;
        let partial = connect(addr);
        write(&partial, REQUEST).await;
        response(&partial).await;
        write(&partial, &REQUEST[..10]).await;
        until_closed(&idle).await;
        until_closed(&partial).await;

        assert_eq!(handler.failed.load(Ordering::Relaxed), 1);
    });
}

async fn until_closed(stream: &TcpStream) {
    let mut stream = smol::net::TcpStream::try_from(stream.try_clone().unwrap()).unwrap();
    let read = with_timeout(READ_LIMIT, stream.read_to_end(&mut Vec::new())).await;
    assert!(read.is_some(), "still open");
}

/// A panic while a request was handled ended the executor, and so the process.
#[test]
fn panic_of_a_handler_ends_other_connections() {
    alone(async {
        let (listener, addr) = listener(8).await;
        let (panicking, other) = (connect(addr), connect(addr));

        write(&panicking, b"GET /panic HTTP/1.1\r\nhost: x\r\n\r\n").await;
        until_closed(&panicking).await;
        write(&other, REQUEST).await;
        let text = response(&other).await;

        assert!(text.ends_with("refused"), "{text}");
        listener.close();
        listener.wait_closed().await;
    });
}
