use std::time::{Duration, Instant};

use bytes::Bytes;
use http::{Request, response};
use http_body::Body;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;

use crate::{AbortCause, Connection, Pool, TransportError, WriteTerms, with_timeout};

/// Timeouts of an exchange.
#[derive(Debug, Clone, Copy)]
pub struct ExchangeTimeouts {
    /// Longest wait for the head of the response.
    pub head: Duration,
    /// Longest wait for the next chunk of the body.
    pub read_timeout: Duration,
}

/// A response whose body has not been read yet.
pub struct Exchange {
    /// Head of the response.
    pub head: response::Parts,
    /// Body of the response.
    pub body: UpstreamBody,
}

impl Exchange {
    /// Sends a request and waits for the head of the response.
    pub async fn begin(
        connection: Connection,
        request: Request<Full<Bytes>>,
        timeouts: ExchangeTimeouts,
    ) -> Result<Self, TransportError> {
        Exchange::start(connection, request, timeouts, WriteTerms::default()).await
    }

    /// The same for a request that is written under `terms` or not at all. A request of
    /// which only a part was written by the latest moment stays incomplete.
    pub async fn begin_by(
        connection: Connection,
        request: Request<Full<Bytes>>,
        timeouts: ExchangeTimeouts,
        terms: impl Into<WriteTerms>,
    ) -> Result<Self, TransportError> {
        Exchange::start(connection, request, timeouts, terms.into()).await
    }

    async fn start(
        mut connection: Connection,
        request: Request<Full<Bytes>>,
        timeouts: ExchangeTimeouts,
        terms: WriteTerms,
    ) -> Result<Self, TransportError> {
        let addr = connection.addr;
        connection.allowance.renew();
        connection.write_limit.start(terms);
        connection.exchange.begin();
        let response = with_timeout(timeouts.head, connection.sender.try_send_request(request))
            .await
            .ok_or_else(|| no_head(&connection, timeouts.head))?
            .map_err(|e| TransportError::Aborted {
                addr,
                cause: match connection.write_limit.withdraw() {
                    true => AbortCause::Unsent,
                    false => AbortCause::before_head(e.error()),
                },
                reason: reason_of(e.error()),
            })?;
        connection.allowance.renew();
        let (head, incoming) = response.into_parts();
        Ok(Exchange {
            head,
            body: UpstreamBody {
                incoming,
                connection,
                read_timeout: timeouts.read_timeout,
            },
        })
    }
}

/// Body of a response together with its connection. Dropping it before the end
/// of the body resets the connection, so that the peer cancels the request.
pub struct UpstreamBody {
    incoming: Incoming,
    connection: Connection,
    read_timeout: Duration,
}

impl UpstreamBody {
    /// Reads the next chunk of the body; `None` at its end.
    pub async fn next(&mut self) -> Result<Option<Bytes>, TransportError> {
        let addr = self.connection.addr;
        loop {
            let frame = with_timeout(self.read_timeout, self.incoming.frame())
                .await
                .ok_or(TransportError::Timeout {
                    addr,
                    limit: self.read_timeout,
                })?;
            match frame {
                None => {
                    self.connection.exchange.end();
                    return Ok(None);
                }
                Some(Err(e)) => {
                    return Err(TransportError::Aborted {
                        addr,
                        cause: AbortCause::Truncated,
                        reason: reason_of(&e),
                    });
                }
                Some(Ok(frame)) => {
                    if let Ok(data) = frame.into_data() {
                        self.connection.allowance.renew();
                        return Ok(Some(data));
                    }
                }
            }
        }
    }

    /// Bytes that are left of the declared length, if a length is declared.
    pub fn remaining_length(&self) -> Option<u64> {
        self.incoming.size_hint().exact()
    }

    /// Reads the rest of the body. Fails if it is longer than `limit` bytes.
    pub async fn collect(&mut self, limit: usize) -> Result<Bytes, TransportError> {
        self.collect_while(|len| len <= limit).await
    }

    /// Reads the rest of the body. Fails as soon as `accept` returns false for the
    /// number of bytes that have arrived.
    pub async fn collect_while(
        &mut self,
        mut accept: impl FnMut(usize) -> bool,
    ) -> Result<Bytes, TransportError> {
        let mut body = Vec::new();
        while let Some(chunk) = self.next().await? {
            if !accept(body.len() + chunk.len()) {
                return Err(TransportError::BodyTooLong {
                    addr: self.connection.addr,
                    read: body.len(),
                });
            }
            body.extend_from_slice(&chunk);
        }
        Ok(body.into())
    }

    /// Returns the connection to the pool after the end of the body; `keep_alive`
    /// is the idle time that the peer allows, if it announces one. The pool keeps at
    /// most `max_idle` connections to the peer.
    pub fn release(self, pool: &Pool, keep_alive: Option<Duration>, max_idle: usize) {
        pool.put(self.into_connection(keep_alive), max_idle);
    }

    /// The connection, for reuse after the end of the body.
    pub(crate) fn into_connection(self, keep_alive: Option<Duration>) -> Connection {
        let mut connection = self.connection;
        connection.idle_since = Instant::now();
        connection.keep_alive = keep_alive;
        connection
    }
}

/// No head arrived within `limit`. A request that was not written yet is withdrawn.
fn no_head(connection: &Connection, limit: Duration) -> TransportError {
    let addr = connection.addr;
    if !connection.write_limit.withdraw() {
        return TransportError::Timeout { addr, limit };
    }
    TransportError::Aborted {
        addr,
        cause: AbortCause::Unsent,
        reason: format!("nothing was written for {limit:?}"),
    }
}

/// Joins the messages of all causes; hyper's own message omits its source.
pub fn reason_of(error: &dyn std::error::Error) -> String {
    let mut text = error.to_string();
    let mut source = error.source();
    while let Some(cause) = source {
        text.push_str(": ");
        text.push_str(&cause.to_string());
        source = cause.source();
    }
    text
}
