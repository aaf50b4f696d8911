use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

use futures_lite::{AsyncRead, AsyncReadExt};
use http_types::Body;
use smol::Timer;
use smol::net::TcpStream;

use crate::WireError;
use crate::bounded_stream::ReadAllowance;
use crate::pool::Pool;

/// The body of a response. Reaches its end only when all of it has arrived; a
/// short body or a read timeout is an error.
pub struct ResponseBody {
    pub(crate) inner: Body,
    pub(crate) remaining: Option<u64>,
    pub(crate) read_timeout: Duration,
    /// Latest moment for the last byte.
    pub(crate) deadline: Instant,
    pub(crate) timer: Option<Timer>,
    pub(crate) addr: SocketAddr,
    pub(crate) allowance: ReadAllowance,
    pub(crate) stream: Option<TcpStream>,
    pub(crate) pool: Arc<Pool>,
}

impl ResponseBody {
    /// Bytes still to come, where the peer declared a length.
    pub fn remaining_length(&self) -> Option<u64> {
        self.remaining
    }

    /// Whether the last byte of a declared length has arrived.
    pub fn is_complete(&self) -> bool {
        self.remaining == Some(0)
    }

    /// Returns the connection to the pool as soon as the last byte of a declared
    /// length has arrived, since readers may not read past that byte.
    pub(crate) fn release_if_complete(&mut self) {
        if self.remaining == Some(0)
            && let Some(stream) = self.stream.take()
        {
            self.pool.put(self.addr, stream);
        }
    }

    /// Closes the connection, which the inner body shares.
    fn close(&mut self) {
        self.stream = None;
        self.inner = Body::empty();
    }

    fn finish(&mut self) -> io::Result<usize> {
        if let Some(remaining) = self.remaining.filter(|&r| r > 0) {
            self.close();
            let text = format!("body ended {remaining} bytes short");
            return Err(io::Error::new(io::ErrorKind::UnexpectedEof, text));
        }
        if let Some(stream) = self.stream.take() {
            self.pool.put(self.addr, stream);
        }
        Ok(0)
    }

    fn check_read_timeout(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<usize>> {
        let (limit, deadline) = (self.read_timeout, self.deadline);
        let timer = self
            .timer
            .get_or_insert_with(|| Timer::at(deadline.min(Instant::now() + limit)));
        match Pin::new(timer).poll(cx) {
            Poll::Pending => Poll::Pending,
            Poll::Ready(_) if self.is_overdue() => Poll::Ready(Err(self.overdue())),
            Poll::Ready(_) => {
                self.close();
                let text = format!("no byte received for {} ms", limit.as_millis());
                Poll::Ready(Err(io::Error::new(io::ErrorKind::TimedOut, text)))
            }
        }
    }

    fn is_overdue(&self) -> bool {
        !self.is_complete() && Instant::now() >= self.deadline
    }

    fn overdue(&mut self) -> io::Error {
        self.close();
        let text = "the body did not end before its deadline";
        io::Error::new(io::ErrorKind::TimedOut, text)
    }
}

impl AsyncRead for ResponseBody {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        match Pin::new(&mut self.inner).poll_read(cx, buf) {
            Poll::Pending => self.check_read_timeout(cx),
            Poll::Ready(Ok(0)) if !buf.is_empty() => Poll::Ready(self.finish()),
            Poll::Ready(Ok(n)) => {
                self.timer = None;
                self.allowance.renew();
                self.remaining = self.remaining.map(|r| r.saturating_sub(n as u64));
                self.release_if_complete();
                if self.is_overdue() {
                    return Poll::Ready(Err(self.overdue()));
                }
                Poll::Ready(Ok(n))
            }
            Poll::Ready(Err(e)) => {
                self.close();
                Poll::Ready(Err(e))
            }
        }
    }
}

/// Reads a body to its end; an error if it is longer than `limit` bytes.
pub async fn read_limited<R: AsyncRead + Unpin>(
    body: &mut R,
    limit: usize,
) -> Result<Vec<u8>, WireError> {
    let mut bytes = Vec::new();
    let mut capped = body.take(limit as u64 + 1);
    capped
        .read_to_end(&mut bytes)
        .await
        .map_err(|e| WireError::Aborted {
            // Not known here; `CallResponse::bytes` sets it.
            addr: SocketAddr::from(([0, 0, 0, 0], 0)),
            reason: e.to_string(),
        })?;
    if bytes.len() > limit {
        return Err(WireError::BodyTooLong { limit });
    }
    Ok(bytes)
}
