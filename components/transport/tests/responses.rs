//! Responses of peers that send many bytes or many small parts.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::sync::mpsc::{Receiver, channel};
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::Method;
use transport::{FetchedResponse, Pool, TransportError, block_on, fetch};

const LIMIT: Duration = Duration::from_secs(20);
const MAX_BODY: usize = 8 << 20;

/// Responds to one request with raw bytes, from a thread of its own.
fn raw_server(response: Vec<u8>) -> SocketAddr {
    let socket = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = socket.local_addr().unwrap();
    std::thread::spawn(move || {
        let (mut stream, _) = socket.accept().unwrap();
        let _ = stream.read(&mut [0; 1024]).unwrap();
        let _ = stream.write_all(&response);
    });
    addr
}

fn get(response: Vec<u8>) -> Result<FetchedResponse, TransportError> {
    let addr = raw_server(response);
    block_on(fetch(
        None,
        addr,
        Method::GET,
        "/",
        Bytes::new(),
        LIMIT,
        MAX_BODY,
    ))
}

#[test]
fn long_body_arrives_complete() {
    let mut response =
        format!("HTTP/1.1 200 OK\r\ncontent-length: {MAX_BODY}\r\n\r\n").into_bytes();
    response.resize(response.len() + MAX_BODY, b'x');

    let fetched = get(response).unwrap();

    assert_eq!(fetched.body.len(), MAX_BODY);
}

#[test]
fn body_in_small_chunks_arrives_complete() {
    let count = 100_000;
    let mut response = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n".to_vec();
    response.extend(b"1\r\nx\r\n".repeat(count));
    response.extend(b"0\r\n\r\n");

    let fetched = get(response).unwrap();

    assert_eq!(fetched.body.len(), count);
}

#[test]
fn response_after_interim_responses_is_returned() {
    let mut response = b"HTTP/1.1 103 Early Hints\r\nlink: x\r\n\r\n".repeat(100);
    response.extend(b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok");

    let fetched = get(response).unwrap();

    assert_eq!((fetched.status, &fetched.body[..]), (200, &b"ok"[..]));
}

/// Limit of a call to an endless server.
const SHORT_LIMIT: Duration = Duration::from_millis(600);
/// Time beyond the limit until the call has failed and the server sees the close.
const SLACK: Duration = Duration::from_millis(500);
/// Most bytes of a response that are accepted: the limit of the call, and the largest
/// receive buffer that the kernel grants.
const MAX_ACCEPTED: usize = MAX_BODY + (40 << 20);

/// Responds with `start` and then `unit` until the connection is closed; sends the
/// bytes written and the time until the close.
fn endless_server(
    start: &'static str,
    unit: &'static str,
    pause: Duration,
) -> (SocketAddr, Receiver<(usize, Duration)>) {
    let socket = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = socket.local_addr().unwrap();
    let (sender, closed) = channel();
    std::thread::spawn(move || {
        let (mut stream, _) = socket.accept().unwrap();
        let _ = stream.read(&mut [0; 1024]).unwrap();
        let started = Instant::now();
        let block = match pause {
            Duration::ZERO => unit.repeat((64 << 10) / unit.len()),
            _ => unit.to_owned(),
        };
        let mut written = start.len();
        let mut result = stream.write_all(start.as_bytes());
        while result.is_ok() && started.elapsed() < LIMIT {
            result = stream.write_all(block.as_bytes());
            written += block.len();
            std::thread::sleep(pause);
        }
        let _ = sender.send((written, started.elapsed()));
    });
    (addr, closed)
}

#[test]
fn response_without_end_is_an_error() {
    let drip = Duration::from_millis(20);
    let fast = Duration::ZERO;
    let chunked = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";
    for (start, unit, pause) in [
        ("", "junk", fast),
        ("HTTP/1.1 200 OK\r\nx: ", "junk", fast),
        ("", "HTTP/1.1 100 Continue\r\n\r\n", fast),
        (chunked, "0", fast),
        (chunked, "4\r\njunk\r\n", fast),
        ("HTTP/1.1 200 OK\r\n\r\n", "junk", fast),
        ("HTTP/1.1 200 OK\r\nx: ", "j", drip),
        ("", "HTTP/1.1 100 Continue\r\n\r\n", drip),
        (chunked, "1\r\nx\r\n", drip),
        ("HTTP/1.1 200 OK\r\n\r\n", "j", drip),
    ] {
        let (addr, closed) = endless_server(start, unit, pause);
        let pool = Pool::default();
        let (get, body) = (Method::GET, Bytes::new());
        let began = Instant::now();

        let call = fetch(&pool, addr, get, "/", body, SHORT_LIMIT, MAX_BODY);
        let error = block_on(call).map(|r| r.body.len()).unwrap_err();

        let took = began.elapsed();
        assert!(!error.is_unsent(), "{start:?} {unit:?}: {error}");
        assert!(took < SHORT_LIMIT + SLACK, "{start:?} {unit:?}: {took:?}");
        assert!(pool.take(addr).is_none(), "{start:?} {unit:?}: reused");
        // The task of the connection ends on the executor.
        block_on(smol::Timer::after(Duration::from_millis(50)));
        let (written, after) = closed.recv_timeout(LIMIT).unwrap();
        assert!(after < SHORT_LIMIT + SLACK, "{start:?} {unit:?}: {after:?}");
        assert!(written < MAX_ACCEPTED, "{start:?} {unit:?}: {written}");
    }
}
