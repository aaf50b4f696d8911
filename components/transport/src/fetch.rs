use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Method, Request, header};
use http_body_util::Full;

use crate::{
    AbortCause, Connection, Exchange, ExchangeTimeouts, MAX_IDLE, Pool, TransportError,
    with_timeout,
};

/// A response with its complete body.
#[derive(Debug, Clone)]
pub struct FetchedResponse {
    /// HTTP status.
    pub status: u16,
    /// Headers.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
}

/// Sends a request and reads the complete response within `limit`; fails if the
/// body is longer than `max_bytes`. Reuses an idle connection of the pool if it
/// has one; without a pool, the connection is closed afterwards.
pub async fn fetch(
    pool: impl Into<Option<&Pool>>,
    addr: SocketAddr,
    method: Method,
    path: &str,
    body: Bytes,
    limit: Duration,
    max_bytes: usize,
) -> Result<FetchedResponse, TransportError> {
    let pool = pool.into();
    let request = Request::builder()
        .method(method)
        .uri(path)
        .header(header::HOST, addr.to_string())
        .header(header::CONTENT_TYPE, "application/json")
        .body(body)
        .map_err(|e| TransportError::Aborted {
            addr,
            cause: AbortCause::Malformed,
            reason: e.to_string(),
        })?;
    let response = async {
        let connection = match pool.and_then(|p| p.take(addr)) {
            Some(c) => c,
            None => Connection::open(addr, limit).await?,
        };
        let (response, connection) = fetch_on(connection, request, limit, max_bytes).await?;
        if let (Some(pool), Some(connection)) = (pool, connection) {
            pool.put(connection, MAX_IDLE);
        }
        Ok(response)
    };
    with_timeout(limit, response)
        .await
        .ok_or(TransportError::Timeout { addr, limit })?
}

/// Sends a request on an open connection and reads the complete response within `limit`;
/// fails if the body is longer than `max_bytes`. Returns the connection too, unless the
/// peer closes it.
pub async fn fetch_on(
    connection: Connection,
    request: Request<Bytes>,
    limit: Duration,
    max_bytes: usize,
) -> Result<(FetchedResponse, Option<Connection>), TransportError> {
    let addr = connection.addr;
    let response = async {
        let timeouts = ExchangeTimeouts {
            head: limit,
            read_timeout: limit,
        };
        let mut exchange = Exchange::begin(connection, request.map(Full::new), timeouts).await?;
        let body = exchange.body.collect(max_bytes).await?;
        let closing = exchange
            .head
            .headers
            .get(header::CONNECTION)
            .is_some_and(|v| v.as_bytes().eq_ignore_ascii_case(b"close"));
        let response = FetchedResponse {
            status: exchange.head.status.as_u16(),
            headers: exchange.head.headers,
            body,
        };
        let connection = (!closing).then(|| exchange.body.into_connection(None));
        Ok((response, connection))
    };
    with_timeout(limit, response)
        .await
        .ok_or(TransportError::Timeout { addr, limit })?
}
