//! Responses of peers that send many bytes or many small parts.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::time::Duration;

use bytes::Bytes;
use http::Method;
use transport::{FetchedResponse, TransportError, block_on, fetch};

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
