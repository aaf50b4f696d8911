use std::io::ErrorKind;
use std::net::SocketAddr;
use std::os::fd::AsFd;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1::{Builder, SendRequest};
use rustix::net::sockopt;
use smol::Task;
use smol::net::TcpStream;
use smol_hyper::rt::FuturesIo;

use crate::bounded_stream::{BoundedStream, ReadAllowance};
use crate::open_exchange::OpenExchange;
use crate::write_limit::WriteLimit;
use crate::{TransportError, spawn, with_timeout};

/// TCP user timeout: a connection fails when sent bytes stay unacknowledged for
/// this long. It is several times the retransmission timeout of a healthy path.
const USER_TIMEOUT: Duration = Duration::from_millis(2500);
/// Longest head of a response, in bytes.
const MAX_HEAD: usize = 64 << 10;
/// Most bytes that are read while neither the head of a response nor a part of its body
/// is complete: a head, interim responses, and what the client reads ahead.
const MAX_UNDELIVERED: usize = 4 * MAX_HEAD;

/// An open HTTP/1.1 connection. Dropping it closes the socket at once; during an exchange it
/// resets the connection.
pub struct Connection {
    pub(crate) sender: SendRequest<Full<Bytes>>,
    pub(crate) addr: SocketAddr,
    /// When it was opened, or its last response was read to the end.
    pub(crate) idle_since: Instant,
    /// Idle time after which the peer closes it, if the peer announces it.
    pub(crate) keep_alive: Option<Duration>,
    pub(crate) allowance: ReadAllowance,
    pub(crate) write_limit: WriteLimit,
    pub(crate) exchange: OpenExchange,
    _driver: Task<()>,
}

impl Connection {
    /// Connects within `limit`.
    pub async fn open(addr: SocketAddr, limit: Duration) -> Result<Self, TransportError> {
        let failed = |reason: String| TransportError::Connect {
            addr,
            reason,
            refused: false,
        };
        let stream = with_timeout(limit, TcpStream::connect(addr))
            .await
            .ok_or_else(|| failed(format!("timed out after {} ms", limit.as_millis())))?
            .map_err(|e| TransportError::Connect {
                addr,
                reason: e.to_string(),
                refused: e.kind() == ErrorKind::ConnectionRefused,
            })?;
        set_socket_options(&stream, USER_TIMEOUT).map_err(|e| failed(e.to_string()))?;
        let allowance = ReadAllowance::new(MAX_UNDELIVERED);
        let write_limit = WriteLimit::default();
        let exchange = OpenExchange::default();
        let (allowed, limit) = (allowance.clone(), write_limit.clone());
        let bounded = BoundedStream::new(stream, allowed, limit, exchange.clone());
        let (sender, driver) = Builder::new()
            .max_buf_size(MAX_HEAD)
            .handshake(FuturesIo::new(bounded))
            .await
            .map_err(|e| failed(e.to_string()))?;
        let driver = spawn(async move {
            if let Err(e) = driver.await {
                log::debug!("transport: connection to {addr} ended: {e}");
            }
        });
        Ok(Connection {
            sender,
            addr,
            idle_since: Instant::now(),
            keep_alive: None,
            allowance,
            write_limit,
            exchange,
            _driver: driver,
        })
    }

    /// Waits until a request can be sent; false if the connection has ended.
    pub async fn ready(&mut self) -> bool {
        self.sender.ready().await.is_ok()
    }

    /// Address of the peer.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }
}

/// Disables Nagle's algorithm, so that small writes are sent at once, and sets
/// the TCP user timeout, so that unreachable peers are detected. It also ends the
/// connections of peers that do not read for so long.
pub(crate) fn set_socket_options(
    stream: &TcpStream,
    user_timeout: Duration,
) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let millis = u32::try_from(user_timeout.as_millis()).unwrap_or(u32::MAX);
    sockopt::set_tcp_user_timeout(stream.as_fd(), millis)?;
    Ok(())
}
