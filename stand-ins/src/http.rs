//! HTTP helpers shared by the stand-ins.

use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};

use futures_lite::{AsyncBufRead, AsyncRead};
use http_types::{Body, Request, Response, StatusCode};
use serde::Serialize;
use serde::de::DeserializeOwned;
use smol::net::TcpListener;
use wire::{Handler, Server, ServerLimits, read_limited};

/// Longest request body that a stand-in reads, in bytes.
const MAX_BODY: usize = 16 << 20;

/// Serves HTTP at an address until the process ends.
pub async fn serve<H: Handler>(addr: SocketAddr, handler: Arc<H>) -> anyhow::Result<()> {
    let listener = TcpListener::bind(addr).await?;
    let (server, _close) = Server::new(handler, ServerLimits::default());
    server.run(listener, std::time::Duration::ZERO).await;
    Ok(())
}

/// A JSON response with status 200.
pub fn json(value: &impl Serialize) -> Response {
    let mut res = Response::new(StatusCode::Ok);
    res.set_body(serde_json::to_vec(value).unwrap_or_default());
    res.insert_header("content-type", "application/json");
    res
}

/// An empty response with a status.
pub fn status(code: u16) -> Response {
    Response::new(StatusCode::try_from(code).unwrap_or(StatusCode::InternalServerError))
}

/// A response whose body fails, so that the connection closes after the head.
pub fn aborted() -> Response {
    let mut res = Response::new(StatusCode::Ok);
    res.set_body(Body::from_reader(FailingReader, Some(1)));
    res
}

/// Reads a JSON request body; the error is a response with status 400.
pub async fn read_json<T: DeserializeOwned>(req: &mut Request) -> Result<T, Response> {
    let bytes = read_limited(req, MAX_BODY).await.map_err(|_| status(400))?;
    serde_json::from_slice(&bytes).map_err(|e| {
        let mut res = status(400);
        res.set_body(e.to_string());
        res
    })
}

/// A numeric parameter of the query.
pub fn query_param(req: &Request, name: &str) -> Option<u64> {
    req.url()
        .query_pairs()
        .find(|(k, _)| k == name)
        .and_then(|(_, v)| v.parse().ok())
}

/// Non-empty segments of the path.
pub fn path_segments(req: &Request) -> Vec<String> {
    req.url()
        .path()
        .split('/')
        .filter(|s| !s.is_empty())
        .map(str::to_owned)
        .collect()
}

/// A reader that fails at the first read.
struct FailingReader;

impl AsyncRead for FailingReader {
    fn poll_read(
        self: Pin<&mut Self>,
        _: &mut Context<'_>,
        _: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        Poll::Ready(Err(io::ErrorKind::BrokenPipe.into()))
    }
}

impl AsyncBufRead for FailingReader {
    fn poll_fill_buf(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<&[u8]>> {
        Poll::Ready(Err(io::ErrorKind::BrokenPipe.into()))
    }

    fn consume(self: Pin<&mut Self>, _: usize) {}
}
