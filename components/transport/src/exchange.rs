use std::time::{Duration, Instant};

use bytes::Bytes;
use http::{Request, response};
use http_body::Body;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;

use crate::{Connection, Pool, TransportError, within};

/// How long an exchange may take.
#[derive(Debug, Clone, Copy)]
pub struct ExchangeTimeouts {
    /// Wait for the head of the answer.
    pub head: Duration,
    /// Silence between two parts of the body.
    pub idle: Duration,
}

/// An answer whose body is still to be read.
pub struct Exchange {
    /// Head of the answer.
    pub head: response::Parts,
    /// Its body.
    pub body: UpstreamBody,
}

impl Exchange {
    /// Sends a request and waits for the head of the answer.
    pub async fn begin(
        mut connection: Connection,
        request: Request<Full<Bytes>>,
        limits: ExchangeTimeouts,
    ) -> Result<Self, TransportError> {
        let addr = connection.addr;
        let answer = within(limits.head, connection.sender.send_request(request))
            .await
            .ok_or(TransportError::Timeout {
                addr,
                limit: limits.head,
            })?
            .map_err(|e| TransportError::Broken {
                addr,
                reason: reason_of(&e),
            })?;
        let (head, incoming) = answer.into_parts();
        Ok(Exchange {
            head,
            body: UpstreamBody {
                incoming,
                connection,
                gap: limits.idle,
            },
        })
    }
}

/// The body of an answer together with its connection; dropping it before its
/// end closes the connection, so that the peer stops working.
pub struct UpstreamBody {
    incoming: Incoming,
    connection: Connection,
    gap: Duration,
}

impl UpstreamBody {
    /// Next part of the body; `None` at its proper end.
    pub async fn next(&mut self) -> Result<Option<Bytes>, TransportError> {
        let addr = self.connection.addr;
        loop {
            let frame =
                within(self.gap, self.incoming.frame())
                    .await
                    .ok_or(TransportError::Timeout {
                        addr,
                        limit: self.gap,
                    })?;
            match frame {
                None => return Ok(None),
                Some(Err(e)) => {
                    return Err(TransportError::Broken {
                        addr,
                        reason: reason_of(&e),
                    });
                }
                Some(Ok(frame)) => {
                    if let Ok(data) = frame.into_data() {
                        return Ok(Some(data));
                    }
                }
            }
        }
    }

    /// Declared length that is left, where there is one.
    pub fn remaining_length(&self) -> Option<u64> {
        self.incoming.size_hint().exact()
    }

    /// Reads the whole body, at most `limit` bytes.
    pub async fn collect(&mut self, limit: usize) -> Result<Bytes, TransportError> {
        let mut parts = Vec::new();
        while let Some(part) = self.next().await? {
            if parts.len() + part.len() > limit {
                let addr = self.connection.addr;
                return Err(TransportError::BodyTooLong { addr, limit });
            }
            parts.extend_from_slice(&part);
        }
        Ok(parts.into())
    }

    /// Returns the connection for reuse after the body's end.
    pub fn release(self, pool: &Pool, keep: Option<Duration>) {
        let mut connection = self.connection;
        connection.idle_since = Instant::now();
        connection.keep = keep;
        pool.put(connection);
    }
}

/// The whole chain of causes, since hyper's own text names only its part.
fn reason_of(error: &dyn std::error::Error) -> String {
    let mut text = error.to_string();
    let mut source = error.source();
    while let Some(cause) = source {
        text.push_str(": ");
        text.push_str(&cause.to_string());
        source = cause.source();
    }
    text
}
