//! Exchanges over loopback: whole answers or visible breaks, never short ones.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures_lite::{AsyncReadExt, AsyncWriteExt};
use http_types::{Method, Request, Response, StatusCode};
use smol::net::{TcpListener, TcpStream};
use wire::{Call, Client, Handler, Outcome, Problem, Server, ServerLimits, WireError};

const LIMIT: usize = 1 << 20;

/// Accepts one connection, reads the request's head and answers with raw bytes.
fn raw_server(answer: &'static [u8]) -> SocketAddr {
    let listener = smol::block_on(TcpListener::bind("127.0.0.1:0")).unwrap();
    let addr = listener.local_addr().unwrap();
    smol::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        let mut head = [0; 1024];
        stream.read(&mut head).await.unwrap();
        stream.write_all(answer).await.unwrap();
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

/// Answers with the length of the body that it was sent.
struct Counter;

impl Handler for Counter {
    async fn handle(&self, mut request: Request, _peer: SocketAddr) -> Response {
        let mut res = Response::new(StatusCode::Ok);
        match wire::read_limited(&mut request, 100).await {
            Ok(body) => res.set_body(body.len().to_string()),
            Err(e) => return Problem::not_run(413, "too long", e.to_string()).into(),
        }
        res
    }
}

fn counter() -> (SocketAddr, async_channel::Sender<()>, smol::Task<()>) {
    let listener = smol::block_on(TcpListener::bind("127.0.0.1:0")).unwrap();
    let addr = listener.local_addr().unwrap();
    let (server, close) = Server::new(Arc::new(Counter), ServerLimits::default());
    let task = smol::spawn(server.run(listener, Duration::from_secs(10)));
    (addr, close, task)
}

/// Sends raw bytes and reads until the server closes.
fn raw_call(addr: SocketAddr, bytes: &[u8]) -> String {
    smol::block_on(async {
        let mut stream = TcpStream::connect(addr).await.unwrap();
        stream.write_all(bytes).await.unwrap();
        let mut answer = Vec::new();
        let _ = stream.read_to_end(&mut answer).await;
        String::from_utf8_lossy(&answer).into_owned()
    })
}

#[test]
fn a_short_body_is_an_error() {
    let addr = raw_server(b"HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\nhello");

    let error = fetch(addr).unwrap_err();

    assert!(error.to_string().contains("5 bytes short"), "{error}");
}

#[test]
fn a_cut_chunked_body_is_an_error() {
    let addr = raw_server(b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\nhello\r\n");

    assert!(matches!(fetch(addr), Err(WireError::Aborted { .. })));
}

#[test]
fn an_answer_without_framing_is_an_error() {
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
fn repeated_lengths_in_an_answer_are_an_error() {
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
fn a_refused_connection_proves_that_nothing_was_sent() {
    let listener = smol::block_on(TcpListener::bind("127.0.0.1:0")).unwrap();
    let addr = listener.local_addr().unwrap();
    drop(listener);

    assert!(fetch(addr).unwrap_err().is_unsent());
}

#[test]
fn a_silent_peer_is_given_up() {
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
fn connections_are_used_again_after_whole_answers() {
    let (addr, _close, _task) = counter();
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

/// Failed before: readers of a body with a declared length stop at its last
/// byte, and the connection was never used again.
#[test]
fn a_whole_body_gives_its_connection_back_without_a_look_for_its_end() {
    let (addr, _close, _task) = counter();
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
fn long_bodies_are_refused_and_the_server_goes_on() {
    let (addr, _close, _task) = counter();

    let call = || Call::new(Method::Post, addr, "/").unwrap();
    let (status, body) = smol::block_on(async {
        let reply = Client::default()
            .send(call().body(vec![1; 5000]))
            .await
            .unwrap();
        let status = u16::from(reply.status());
        (status, reply.bytes(LIMIT).await.unwrap())
    });
    let problem: Problem = serde_json::from_slice(&body).unwrap();

    assert_eq!(status, 413);
    assert_eq!(problem.outcome, Outcome::NotRun);
    assert_eq!(fetch(addr).unwrap(), b"0");
}

#[test]
fn malformed_heads_get_400_and_the_server_goes_on() {
    let (addr, _close, _task) = counter();
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
        let answer = raw_call(addr, case);
        assert!(answer.starts_with("HTTP/1.1 400"), "{answer}");
    }

    assert_eq!(fetch(addr).unwrap(), b"0");
}

#[test]
fn repeated_lengths_in_a_request_get_400() {
    let (addr, _close, _task) = counter();
    let head = b"POST / HTTP/1.1\r\nhost: x\r\ncontent-length: 3\r\ncontent-length: 1\r\n\r\nabc";

    let answer = raw_call(addr, head);

    assert!(answer.starts_with("HTTP/1.1 400"), "{answer}");
    assert!(answer.contains("send it once"), "{answer}");
}

#[test]
fn a_stop_completes_the_request_in_flight() {
    let (addr, close, task) = counter();

    smol::block_on(async {
        let mut stream = TcpStream::connect(addr).await.unwrap();
        let head = b"POST / HTTP/1.1\r\nhost: x\r\ncontent-length: 4\r\n\r\nab";
        stream.write_all(head).await.unwrap();
        // The second request proves that the first one has been accepted.
        fetch_async(addr).await;
        close.close();
        stream.write_all(b"cd").await.unwrap();
        let mut answer = Vec::new();
        stream.read_to_end(&mut answer).await.unwrap();
        let answer = String::from_utf8_lossy(&answer).into_owned();
        assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
        assert!(answer.contains("connection: close"), "{answer}");
        task.await;
        assert!(TcpStream::connect(addr).await.is_err());
    });
}

async fn fetch_async(addr: SocketAddr) {
    let call = Call::new(Method::Get, addr, "/").unwrap();
    let reply = Client::default().send(call).await.unwrap();
    reply.bytes(LIMIT).await.unwrap();
}

/// Never answers, and tells when it is given up.
struct Endless(async_channel::Sender<()>);

struct TellWhenDropped(async_channel::Sender<()>);

impl Drop for TellWhenDropped {
    fn drop(&mut self) {
        let _ = self.0.try_send(());
    }
}

impl Handler for Endless {
    async fn handle(&self, _request: Request, _peer: SocketAddr) -> Response {
        let _tell = TellWhenDropped(self.0.clone());
        std::future::pending().await
    }
}

#[test]
fn a_peer_that_has_gone_cancels_its_answer() {
    let listener = smol::block_on(TcpListener::bind("127.0.0.1:0")).unwrap();
    let addr = listener.local_addr().unwrap();
    let (tell, told) = async_channel::bounded(1);
    let (server, _close) = Server::new(Arc::new(Endless(tell)), ServerLimits::default());
    smol::spawn(server.run(listener, Duration::ZERO)).detach();

    smol::block_on(async {
        let mut stream = TcpStream::connect(addr).await.unwrap();
        stream
            .write_all(b"GET / HTTP/1.1\r\nhost: x\r\n\r\n")
            .await
            .unwrap();
        drop(stream);

        told.recv().await.unwrap();
    });
}

#[test]
fn problems_say_when_to_come_back() {
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

/// Failed before: a request whose first attempt crashed its upstream and whose
/// second was refused was told "not run".
#[test]
fn not_run_is_never_told_after_an_attempt_that_may_have_run() {
    let refused = || Problem::not_run(503, "full", "later");
    let broken = || Problem::unknown(502, "broken", "gone");

    assert_eq!(broken().followed_by(refused()).outcome, Outcome::Unknown);
    assert_eq!(refused().followed_by(broken()).outcome, Outcome::Unknown);
    assert_eq!(refused().followed_by(refused()).outcome, Outcome::NotRun);
}
