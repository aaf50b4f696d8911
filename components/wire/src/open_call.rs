use std::sync::Arc;
use std::time::Instant;

use smol::net::TcpStream;

use crate::bounded_stream::{BoundedStream, ReadAllowance};
use crate::client::response;
use crate::pool::Pool;
use crate::{Call, CallResponse, ResponseBody, WireError, with_timeout};

/// A call with a connection, of which nothing was sent.
pub struct OpenCall {
    pub(crate) call: Call,
    pub(crate) stream: TcpStream,
    pub(crate) deadline: Instant,
    pub(crate) pool: Arc<Pool>,
}

impl OpenCall {
    /// Sends the call and returns as soon as the head of the response has arrived.
    pub async fn send(self) -> Result<CallResponse, WireError> {
        let OpenCall {
            call,
            stream,
            deadline,
            pool,
        } = self;
        let addr = call.addr;
        let allowance = ReadAllowance::new();
        let bounded = BoundedStream::new(stream.clone(), allowance.clone());
        let exchange = async_h1::connect(bounded, call.request);
        let limit = deadline.saturating_duration_since(Instant::now());
        let limit = limit.min(call.head_timeout);
        let mut head = with_timeout(limit, exchange)
            .await
            .ok_or(WireError::Timeout {
                addr,
                millis: limit.as_millis(),
            })?
            .map_err(|e| WireError::Aborted {
                addr,
                reason: e.to_string(),
            })?;
        allowance.renew();
        let body = ResponseBody {
            inner: head.take_body(),
            remaining: None,
            read_timeout: call.read_timeout,
            deadline,
            timer: None,
            addr,
            allowance,
            stream: Some(stream),
            pool,
        };
        response(head, body)
    }

    /// Gives up the call; the connection may be reused.
    pub fn cancel(self) {
        self.pool.put(self.call.addr, self.stream);
    }
}
