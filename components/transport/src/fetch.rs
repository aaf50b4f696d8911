use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Method, Request, header};
use http_body_util::Full;

use crate::{Connection, Exchange, ExchangeTimeouts, Pool, TransportError, within};

/// A whole answer.
#[derive(Debug, Clone)]
pub struct FetchedResponse {
    /// HTTP status.
    pub status: u16,
    /// Headers.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
}

/// Makes one small exchange within `limit` and reads at most `max` bytes.
/// Uses an idle connection of the pool where there is one; without a pool the
/// connection is closed afterwards.
pub async fn fetch(
    pool: impl Into<Option<&Pool>>,
    addr: SocketAddr,
    method: Method,
    path: &str,
    body: Bytes,
    limit: Duration,
    max: usize,
) -> Result<FetchedResponse, TransportError> {
    let pool = pool.into();
    let broken = |reason: String| TransportError::Broken { addr, reason };
    let request = Request::builder()
        .method(method)
        .uri(path)
        .header(header::HOST, addr.to_string())
        .header(header::CONTENT_TYPE, "application/json")
        .body(Full::new(body))
        .map_err(|e| broken(e.to_string()))?;
    let work = async {
        let connection = match pool.and_then(|p| p.take(addr)) {
            Some(c) => c,
            None => Connection::open(addr, limit).await?,
        };
        let limits = ExchangeTimeouts {
            head: limit,
            idle: limit,
        };
        let mut exchange = Exchange::begin(connection, request, limits).await?;
        let body = exchange.body.collect(max).await?;
        let closing = exchange
            .head
            .headers
            .get(header::CONNECTION)
            .is_some_and(|v| v.as_bytes().eq_ignore_ascii_case(b"close"));
        if let Some(pool) = pool.filter(|_| !closing) {
            exchange.body.release(pool, None);
        }
        Ok(FetchedResponse {
            status: exchange.head.status.as_u16(),
            headers: exchange.head.headers,
            body,
        })
    };
    within(limit, work)
        .await
        .ok_or(TransportError::Timeout { addr, limit })?
}
