use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use http_types::headers::{CONTENT_LENGTH, TRANSFER_ENCODING};
use http_types::{Method, Request, Response, StatusCode, Url};
use serde::Serialize;
use serde::de::DeserializeOwned;
use smol::net::TcpStream;

use crate::metered::Metered;
use crate::pool::Pool;
use crate::{ResponseBody, WireError, decode, encode, read_limited, with_timeout};

/// Longest silence between two bytes of a reply unless the call says otherwise.
const DEFAULT_GAP: Duration = Duration::from_secs(5);
/// Longest wait for a connection unless the call says otherwise.
const DEFAULT_CONNECT: Duration = Duration::from_secs(1);
/// Longest message between processes that is read whole.
const MESSAGE_LIMIT: usize = 8 << 20;

/// One exchange to be made: a request, where it goes and how long to wait.
pub struct Call {
    addr: SocketAddr,
    request: Request,
    connect: Duration,
    first: Duration,
    gap: Duration,
    fresh: bool,
}

impl Call {
    /// A call without a body.
    pub fn new(method: Method, addr: SocketAddr, path: &str) -> Result<Self, WireError> {
        let url = Url::parse(&format!("http://{addr}{path}")).map_err(|e| WireError::Aborted {
            addr,
            reason: e.to_string(),
        })?;
        Ok(Call {
            addr,
            request: Request::new(method, url),
            connect: DEFAULT_CONNECT,
            first: DEFAULT_GAP,
            gap: DEFAULT_GAP,
            fresh: false,
        })
    }

    /// Sets the body.
    pub fn body(mut self, bytes: Vec<u8>) -> Self {
        self.request.set_body(bytes);
        self
    }

    /// Sets a header.
    pub fn header(mut self, name: &str, value: &str) -> Self {
        self.request.insert_header(name, value);
        self
    }

    /// Limits the wait for the reply's head.
    pub fn head_timeout(mut self, limit: Duration) -> Self {
        self.first = limit;
        self
    }

    /// Limits the wait for a connection.
    pub fn connect_timeout(mut self, limit: Duration) -> Self {
        self.connect = limit;
        self
    }

    /// Limits the silence between two bytes of the reply's body.
    pub fn read_timeout(mut self, limit: Duration) -> Self {
        self.gap = limit;
        self
    }

    /// Uses a new connection, never an idle one.
    pub fn new_connection(mut self) -> Self {
        self.fresh = true;
        self
    }
}

/// The head of a reply and its body still to be read.
pub struct CallResponse {
    head: Response,
    body: ResponseBody,
}

impl CallResponse {
    /// Status code.
    pub fn status(&self) -> StatusCode {
        self.head.status()
    }

    /// Value of a header.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.head.header(name).map(|v| v.last().as_str())
    }

    /// Length of the body in bytes, where the peer declared one.
    pub fn body_len(&self) -> Option<u64> {
        self.body.remaining()
    }

    /// The body, to be streamed.
    pub fn into_body(self) -> ResponseBody {
        self.body
    }

    /// Reads the whole body, at most `limit` bytes.
    pub async fn bytes(mut self, limit: usize) -> Result<Vec<u8>, WireError> {
        let addr = self.body.addr;
        match read_limited(&mut self.body, limit).await {
            Err(WireError::Aborted { reason, .. }) => Err(WireError::Aborted { addr, reason }),
            other => other,
        }
    }
}

/// An HTTP client with idle connections kept for reuse.
#[derive(Clone, Default)]
pub struct Client {
    pool: Arc<Pool>,
}

impl Client {
    /// Sends a call and returns as soon as the reply's head has arrived.
    pub async fn send(&self, call: Call) -> Result<CallResponse, WireError> {
        let addr = call.addr;
        let stream = self.connect(&call).await?;
        let exchange = async_h1::connect(Metered(stream.clone()), call.request);
        let head = with_timeout(call.first, exchange)
            .await
            .ok_or(WireError::Timeout {
                addr,
                millis: call.first.as_millis(),
            })?
            .map_err(|e| WireError::Aborted {
                addr,
                reason: e.to_string(),
            })?;
        self.reply(head, stream, addr, call.gap)
    }

    /// Sends one message and decodes the message that answers it.
    pub async fn exchange<Q: Serialize, A: DeserializeOwned>(
        &self,
        addr: SocketAddr,
        path: &str,
        message: &Q,
        limit: Duration,
    ) -> Result<A, WireError> {
        let call = Call::new(Method::Post, addr, path)?
            .body(encode(message)?)
            .connect_timeout(limit)
            .head_timeout(limit)
            .read_timeout(limit);
        let reply = self.send(call).await?;
        let status = reply.status();
        let bytes = reply.bytes(MESSAGE_LIMIT).await?;
        if !status.is_success() {
            let reason = format!("status {status}");
            return Err(WireError::Aborted { addr, reason });
        }
        decode(&bytes)
    }

    /// Idle connections to `addr`.
    pub fn idle_connections(&self, addr: SocketAddr) -> usize {
        self.pool.len(addr)
    }

    async fn connect(&self, call: &Call) -> Result<TcpStream, WireError> {
        if !call.fresh
            && let Some(stream) = self.pool.take(call.addr).await
        {
            return Ok(stream);
        }
        let refused = |reason: String| WireError::Connect {
            addr: call.addr,
            reason,
        };
        let stream = with_timeout(call.connect, TcpStream::connect(call.addr))
            .await
            .ok_or_else(|| refused(format!("no answer in {} ms", call.connect.as_millis())))?
            .map_err(|e| refused(e.to_string()))?;
        stream
            .set_nodelay(true)
            .map_err(|e| refused(e.to_string()))?;
        Ok(stream)
    }

    fn reply(
        &self,
        mut head: Response,
        stream: TcpStream,
        addr: SocketAddr,
        gap: Duration,
    ) -> Result<CallResponse, WireError> {
        let broken = |reason: &str| WireError::Aborted {
            addr,
            reason: reason.to_owned(),
        };
        let chunked = head.header(TRANSFER_ENCODING).is_some();
        let left = match head.header(CONTENT_LENGTH) {
            Some(v) if v.iter().count() > 1 => return Err(broken("repeated content-length")),
            Some(v) => Some(
                v.last()
                    .as_str()
                    .parse()
                    .map_err(|_| broken("bad length"))?,
            ),
            None if chunked => None,
            None if head.status() == StatusCode::NoContent => Some(0),
            None => return Err(broken("neither content-length nor chunked coding")),
        };
        let close = head
            .header("connection")
            .is_some_and(|v| v.last().as_str().eq_ignore_ascii_case("close"));
        let mut body = ResponseBody {
            inner: head.take_body(),
            left,
            gap,
            timer: None,
            addr,
            stream: (!close).then_some(stream),
            pool: self.pool.clone(),
        };
        body.release_if_complete();
        Ok(CallResponse { head, body })
    }
}
