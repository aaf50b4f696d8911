//! Exchanges over loopback: a response is complete or an error, never truncated.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures_lite::{AsyncReadExt, AsyncWriteExt};
use http_types::{Method, Request, Response, StatusCode};
use smol::net::{TcpListener, TcpStream};
use wire::{Call, Client, Handler, Outcome, Problem, Server, ServerLimits, WireError};

const LIMIT: usize = 1 << 20;

/// Accepts one connection, reads the request's head and responds with raw bytes.
fn raw_server(response: &'static [u8]) -> SocketAddr {
    let listener = smol::block_on(TcpListener::bind("127.0.0.1:0")).unwrap();
    let addr = listener.local_addr().unwrap();
    smol::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        let mut head = [0; 1024];
        stream.read(&mut head).await.unwrap();
        stream.write_all(response).await.unwrap();
    })
    .detach();
    addr
}

fn fetch(addr: SocketAddr) -> Result<Vec<u8>, WireError> {
    smol::block_on(async {
        let call = Call::new(Method::Get, addr, "/").unwrap();
        Client::default().send(call).await?.bytes(LIMIT).await
    })
}

/// Responds with the length of the request body.
struct BodyLength;

impl Handler for BodyLength {
    async fn handle(&self, mut request: Request, _peer: SocketAddr) -> Response {
        let mut res = Response::new(StatusCode::Ok);
        match wire::read_limited(&mut request, 100).await {
            Ok(body) => res.set_body(body.len().to_string()),
            Err(e) => return Problem::not_run(413, "too long", e.to_string()).into(),
        }
        res
    }
}

fn body_length_server() -> (SocketAddr, async_channel::Sender<()>, smol::Task<()>) {
    let listener = smol::block_on(TcpListener::bind("127.0.0.1:0")).unwrap();
    let addr = listener.local_addr().unwrap();
    let (server, close) = Server::new(Arc::new(BodyLength), ServerLimits::default());
    let task = smol::spawn(server.run(listener, Duration::from_secs(10)));
    (addr, close, task)
}

/// Sends raw bytes and reads until the server closes the connection.
fn raw_call(addr: SocketAddr, bytes: &[u8]) -> String {
    smol::block_on(async {
        let mut stream = TcpStream::connect(addr).await.unwrap();
        stream.write_all(bytes).await.unwrap();
        let mut response = Vec::new();
        let _ = stream.read_to_end(&mut response).await;
        String::from_utf8_lossy(&response).into_owned()
    })
}

#[test]
fn body_shorter_than_content_length_is_an_error() {
    let addr = raw_server(b"HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\nhello");

    let error = fetch(addr).unwrap_err();

    assert!(error.to_string().contains("5 bytes short"), "{error}");
}

#[test]
fn truncated_chunked_body_is_an_error() {
    let addr = raw_server(b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\nhello\r\n");

    assert!(matches!(fetch(addr), Err(WireError::Aborted { .. })));
}

#[test]
fn response_without_framing_is_an_error() {
    let addr = raw_server(b"HTTP/1.1 200 OK\r\n\r\nhello");

    let error = fetch(addr).unwrap_err();

    assert!(
        error
            .to_string()
            .contains("neither content-length nor chunked"),
        "{error}"
    );
}

#[test]
fn repeated_content_length_in_response_is_an_error() {
    let addr =
        raw_server(b"HTTP/1.1 200 OK\r\ncontent-length: 5\r\ncontent-length: 2\r\n\r\nhello");

    assert!(
        fetch(addr)
            .unwrap_err()
            .to_string()
            .contains("repeated content-length")
    );
}

#[test]
fn refused_connection_means_nothing_was_sent() {
    let listener = smol::block_on(TcpListener::bind("127.0.0.1:0")).unwrap();
    let addr = listener.local_addr().unwrap();
    drop(listener);

    assert!(fetch(addr).unwrap_err().is_unsent());
}

#[test]
fn silent_peer_times_out() {
    let listener = smol::block_on(TcpListener::bind("127.0.0.1:0")).unwrap();
    let addr = listener.local_addr().unwrap();

    let error = smol::block_on(async {
        let call = Call::new(Method::Get, addr, "/").unwrap();
        let call = call.head_timeout(Duration::from_millis(20));
        Client::default().send(call).await.map(drop).unwrap_err()
    });

    assert!(matches!(error, WireError::Timeout { .. }));
    assert!(!error.is_unsent());
}

#[test]
fn connections_are_reused_after_complete_responses() {
    let (addr, _close, _task) = body_length_server();
    let client = Client::default();

    smol::block_on(async {
        for size in [0, 5, 100] {
            let call = Call::new(Method::Post, addr, "/")
                .unwrap()
                .body(vec![1; size]);
            let body = client.send(call).await.unwrap().bytes(LIMIT).await.unwrap();
            assert_eq!(body, size.to_string().as_bytes());
        }
    });
}

/// Guards against connections that are never reused: readers of a body with a
/// declared length stop at its last byte and don't read its end.
#[test]
fn connection_is_reused_after_last_byte_without_reading_the_end() {
    let (addr, _close, _task) = body_length_server();
    let client = Client::default();

    smol::block_on(async {
        let call = Call::new(Method::Post, addr, "/")
            .unwrap()
            .body(vec![1; 12]);
        let mut body = client.send(call).await.unwrap().into_body();
        let mut two = [0; 2];
        body.read_exact(&mut two).await.unwrap();

        assert_eq!(&two, b"12");
        assert!(body.is_complete());
        assert_eq!(client.idle_connections(addr), 1);
    });
}

#[test]
fn server_goes_on_after_refusing_a_long_body() {
    let (addr, _close, _task) = body_length_server();

    let call = || Call::new(Method::Post, addr, "/").unwrap();
    let (status, body) = smol::block_on(async {
        let response = Client::default()
            .send(call().body(vec![1; 5000]))
            .await
            .unwrap();
        let status = u16::from(response.status());
        (status, response.bytes(LIMIT).await.unwrap())
    });
    let problem: Problem = serde_json::from_slice(&body).unwrap();

    assert_eq!(status, 413);
    assert_eq!(problem.outcome, Outcome::NotRun);
    assert_eq!(fetch(addr).unwrap(), b"0");
}

#[test]
fn server_goes_on_after_malformed_heads_get_400() {
    let (addr, _close, _task) = body_length_server();
    let oversize = format!(
        "GET / HTTP/1.1\r\nhost: x\r\nfill: {}\r\n\r\n",
        "x".repeat(9000)
    );
    let cases: [&[u8]; 4] = [
        b"nonsense\r\n\r\n",
        b"GET / HTTP/1.1\r\n\r\n",
        b"POST / HTTP/1.1\r\nhost: x\r\ncontent-length: 1\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n",
        oversize.as_bytes(),
    ];

    for case in cases {
        let response = raw_call(addr, case);
        assert!(response.starts_with("HTTP/1.1 400"), "{response}");
    }

    assert_eq!(fetch(addr).unwrap(), b"0");
}

#[test]
fn repeated_content_length_in_request_gets_400() {
    let (addr, _close, _task) = body_length_server();
    let head = b"POST / HTTP/1.1\r\nhost: x\r\ncontent-length: 3\r\ncontent-length: 1\r\n\r\nabc";

    let response = raw_call(addr, head);

    assert!(response.starts_with("HTTP/1.1 400"), "{response}");
    assert!(response.contains("send it once"), "{response}");
}

#[test]
fn shutdown_completes_the_request_in_flight() {
    let (addr, close, task) = body_length_server();

    smol::block_on(async {
        let mut stream = TcpStream::connect(addr).await.unwrap();
        let head = b"POST / HTTP/1.1\r\nhost: x\r\ncontent-length: 4\r\n\r\nab";
        stream.write_all(head).await.unwrap();
        // The second request proves that the first one has been accepted.
        fetch_async(addr).await;
        close.close();
        stream.write_all(b"cd").await.unwrap();
        let mut response = Vec::new();
        stream.read_to_end(&mut response).await.unwrap();
        let response = String::from_utf8_lossy(&response).into_owned();
        assert!(response.starts_with("HTTP/1.1 200"), "{response}");
        assert!(response.contains("connection: close"), "{response}");
        task.await;
        assert!(TcpStream::connect(addr).await.is_err());
    });
}

async fn fetch_async(addr: SocketAddr) {
    let call = Call::new(Method::Get, addr, "/").unwrap();
    let response = Client::default().send(call).await.unwrap();
    response.bytes(LIMIT).await.unwrap();
}

/// Never responds, and notifies when its future is dropped.
struct NeverResponds(async_channel::Sender<()>);

struct NotifyOnDrop(async_channel::Sender<()>);

impl Drop for NotifyOnDrop {
    fn drop(&mut self) {
        let _ = self.0.try_send(());
    }
}

impl Handler for NeverResponds {
    async fn handle(&self, _request: Request, _peer: SocketAddr) -> Response {
        let _notify = NotifyOnDrop(self.0.clone());
        std::future::pending().await
    }
}

#[test]
fn closed_connection_cancels_the_handler() {
    let listener = smol::block_on(TcpListener::bind("127.0.0.1:0")).unwrap();
    let addr = listener.local_addr().unwrap();
    let (dropped, on_drop) = async_channel::bounded(1);
    let (server, _close) = Server::new(Arc::new(NeverResponds(dropped)), ServerLimits::default());
    smol::spawn(server.run(listener, Duration::ZERO)).detach();

    smol::block_on(async {
        let mut stream = TcpStream::connect(addr).await.unwrap();
        stream
            .write_all(b"GET / HTTP/1.1\r\nhost: x\r\n\r\n")
            .await
            .unwrap();
        drop(stream);

        on_drop.recv().await.unwrap();
    });
}

#[test]
fn problem_response_has_retry_after_in_whole_seconds() {
    let problem =
        Problem::not_run(503, "overloaded", "later").retry_after(Duration::from_millis(300));

    let res = Response::from(problem);

    assert_eq!(res.header("retry-after").unwrap().as_str(), "1");
    assert_eq!(res.header("outcome").unwrap().as_str(), "not-run");
    assert_eq!(
        res.content_type().unwrap().essence(),
        "application/problem+json"
    );
}

/// Guards against a false "not run": the first attempt may have crashed its
/// upstream and the second was refused.
#[test]
fn outcome_is_unknown_after_an_attempt_that_may_have_run() {
    let refused = || Problem::not_run(503, "full", "later");
    let failed = || Problem::unknown(502, "broken", "gone");

    assert_eq!(failed().followed_by(refused()).outcome, Outcome::Unknown);
    assert_eq!(refused().followed_by(failed()).outcome, Outcome::Unknown);
    assert_eq!(refused().followed_by(refused()).outcome, Outcome::NotRun);
}

/// Entries of the target size, before each agent.
const ENTRIES: usize = 390;

/// Each run that must not be repeated opens a connection that only others reuse; idle
/// ones of all entries exceeded the connections that an agent accepts.
#[test]
fn idle_connections_of_all_entries_fit_the_limit_of_an_agent() {
    let (addr, _close, _task) = body_length_server();
    let client = Client::default();

    smol::block_on(async {
        for _ in 0..40 {
            let call = Call::new(Method::Post, addr, "/").unwrap().new_connection();
            client.send(call).await.unwrap().bytes(100).await.unwrap();
        }
    });

    let idle = client.idle_connections(addr);
    assert!(
        idle * ENTRIES <= ServerLimits::default().connections,
        "{idle}"
    );
}
