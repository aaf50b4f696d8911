use std::io::ErrorKind;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use http_types::headers::{CONTENT_LENGTH, TRANSFER_ENCODING};
use http_types::{Method, Request, Response, StatusCode, Url};
use serde::Serialize;
use serde::de::DeserializeOwned;
use smol::net::TcpStream;

use crate::pool::Pool;
use crate::{OpenCall, ResponseBody, WireError, decode, encode, read_limited, with_timeout};

/// Default of [`Call::head_timeout`] and [`Call::read_timeout`].
const DEFAULT_RESPONSE_TIMEOUT: Duration = Duration::from_secs(5);
/// Default of [`Call::total_timeout`].
const DEFAULT_TOTAL_TIMEOUT: Duration = Duration::from_secs(60);
/// Default of [`Call::connect_timeout`].
const DEFAULT_CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Longest response of [`Client::exchange`].
const MAX_MESSAGE_BYTES: usize = 8 << 20;

/// A request to an address, with its timeouts.
pub struct Call {
    pub(crate) addr: SocketAddr,
    pub(crate) request: Request,
    connect_timeout: Duration,
    pub(crate) head_timeout: Duration,
    pub(crate) read_timeout: Duration,
    total_timeout: Duration,
    new_connection: bool,
}

impl Call {
    /// A call without a body; an error if the path is not valid in a URL.
    pub fn new(method: Method, addr: SocketAddr, path: &str) -> Result<Self, WireError> {
        let url = Url::parse(&format!("http://{addr}{path}")).map_err(|e| WireError::Aborted {
            addr,
            reason: e.to_string(),
        })?;
        Ok(Call {
            addr,
            request: Request::new(method, url),
            connect_timeout: DEFAULT_CONNECT_TIMEOUT,
            head_timeout: DEFAULT_RESPONSE_TIMEOUT,
            read_timeout: DEFAULT_RESPONSE_TIMEOUT,
            total_timeout: DEFAULT_TOTAL_TIMEOUT,
            new_connection: false,
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

    /// Limits the wait for the head of the response.
    pub fn head_timeout(mut self, limit: Duration) -> Self {
        self.head_timeout = limit;
        self
    }

    /// Limits the wait for a connection.
    pub fn connect_timeout(mut self, limit: Duration) -> Self {
        self.connect_timeout = limit;
        self
    }

    /// Limits the wait between two bytes of the response's body.
    pub fn read_timeout(mut self, limit: Duration) -> Self {
        self.read_timeout = limit;
        self
    }

    /// Limits the time until the last byte of the response has arrived, however steadily
    /// it arrives.
    pub fn total_timeout(mut self, limit: Duration) -> Self {
        self.total_timeout = limit;
        self
    }

    /// Uses a new connection, never an idle one.
    pub fn new_connection(mut self) -> Self {
        self.new_connection = true;
        self
    }
}

/// The head of a response, with its body yet to be read.
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

    /// All values of a header.
    pub fn header_values(&self, name: &str) -> impl Iterator<Item = &str> {
        let values = self.head.header(name).into_iter().flatten();
        values.map(|v| v.as_str())
    }

    /// Length of the body in bytes, where the peer declared one.
    pub fn body_len(&self) -> Option<u64> {
        self.body.remaining_length()
    }

    /// The body as a stream.
    pub fn into_body(self) -> ResponseBody {
        self.body
    }

    /// Reads the body to its end; an error if it is longer than `limit` bytes.
    pub async fn bytes(mut self, limit: usize) -> Result<Vec<u8>, WireError> {
        let addr = self.body.addr;
        match read_limited(&mut self.body, limit).await {
            Err(WireError::Aborted { reason, .. }) => Err(WireError::Aborted { addr, reason }),
            other => other,
        }
    }
}

/// An HTTP client that reuses idle connections.
#[derive(Clone, Default)]
pub struct Client {
    pool: Arc<Pool>,
}

impl Client {
    /// Sends a call and returns as soon as the head of the response has arrived.
    pub async fn send(&self, call: Call) -> Result<CallResponse, WireError> {
        self.open(call).await?.send().await
    }

    /// Opens a connection for a call, of which nothing is sent yet.
    pub async fn open(&self, call: Call) -> Result<OpenCall, WireError> {
        let deadline = Instant::now() + call.total_timeout;
        let stream = self.connect(&call).await?;
        Ok(OpenCall {
            call,
            stream,
            deadline,
            pool: self.pool.clone(),
        })
    }

    /// Sends a MessagePack message with POST and decodes the response, which has to
    /// arrive within `limit`; a status other than success is an error.
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
            .read_timeout(limit)
            .total_timeout(limit);
        let response = self.send(call).await?;
        let status = response.status();
        let bytes = response.bytes(MAX_MESSAGE_BYTES).await?;
        if !status.is_success() {
            let reason = format!("status {status}");
            return Err(WireError::Aborted { addr, reason });
        }
        decode(&bytes)
    }

    /// Number of idle connections to `addr`.
    pub fn idle_connections(&self, addr: SocketAddr) -> usize {
        self.pool.len(addr)
    }

    async fn connect(&self, call: &Call) -> Result<TcpStream, WireError> {
        if !call.new_connection
            && let Some(stream) = self.pool.take(call.addr).await
        {
            return Ok(stream);
        }
        let connect_error = |reason: String, refused: bool| WireError::Connect {
            addr: call.addr,
            reason,
            refused,
        };
        let limit = call.connect_timeout.min(call.total_timeout);
        let stream = with_timeout(limit, TcpStream::connect(call.addr))
            .await
            .ok_or_else(|| {
                let reason = format!("no connection within {} ms", limit.as_millis());
                connect_error(reason, false)
            })?
            .map_err(|e| connect_error(e.to_string(), e.kind() == ErrorKind::ConnectionRefused))?;
        stream
            .set_nodelay(true)
            .map_err(|e| connect_error(e.to_string(), false))?;
        Ok(stream)
    }
}

/// Checks how the body is framed.
pub(crate) fn response(head: Response, mut body: ResponseBody) -> Result<CallResponse, WireError> {
    let aborted = |reason: &str| WireError::Aborted {
        addr: body.addr,
        reason: reason.to_owned(),
    };
    if head.status().is_informational() {
        return Err(aborted("interim response"));
    }
    let chunked = head.header(TRANSFER_ENCODING).is_some();
    let remaining = match head.header(CONTENT_LENGTH) {
        Some(v) if v.iter().count() > 1 => return Err(aborted("repeated content-length")),
        Some(v) => Some(
            v.last()
                .as_str()
                .parse()
                .map_err(|_| aborted("invalid content-length"))?,
        ),
        None if chunked => None,
        None if head.status() == StatusCode::NoContent => Some(0),
        None => return Err(aborted("neither content-length nor chunked coding")),
    };
    let close = head
        .header("connection")
        .is_some_and(|v| v.last().as_str().eq_ignore_ascii_case("close"));
    if close {
        body.stream = None;
    }
    body.remaining = remaining;
    body.release_if_complete();
    Ok(CallResponse { head, body })
}
