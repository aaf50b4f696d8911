use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;

use futures_lite::{AsyncRead, AsyncReadExt};
use http_types::Body;
use smol::Timer;
use smol::net::TcpStream;

use crate::WireError;
use crate::pool::Pool;

/// The body of a reply. Ends cleanly only when the whole body arrived;
/// a short or silent source is an error, never a clean end.
pub struct ResponseBody {
    pub(crate) inner: Body,
    pub(crate) left: Option<u64>,
    pub(crate) gap: Duration,
    pub(crate) timer: Option<Timer>,
    pub(crate) addr: SocketAddr,
    pub(crate) stream: Option<TcpStream>,
    pub(crate) pool: Arc<Pool>,
}

impl ResponseBody {
    /// Bytes still to come, where the peer declared a length.
    pub fn remaining(&self) -> Option<u64> {
        self.left
    }

    /// Whether the last byte of a declared length has arrived.
    pub fn is_complete(&self) -> bool {
        self.left == Some(0)
    }

    /// Gives the connection back as soon as the last byte of a declared length
    /// has arrived: readers of such a body need not look for its end.
    pub(crate) fn release_if_complete(&mut self) {
        if self.left == Some(0)
            && let Some(stream) = self.stream.take()
        {
            self.pool.put(self.addr, stream);
        }
    }

    fn end(&mut self) -> io::Result<usize> {
        if let Some(left) = self.left.filter(|&l| l > 0) {
            self.stream = None;
            let text = format!("body ended {left} bytes short");
            return Err(io::Error::new(io::ErrorKind::UnexpectedEof, text));
        }
        if let Some(stream) = self.stream.take() {
            self.pool.put(self.addr, stream);
        }
        Ok(0)
    }

    fn check_gap(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<usize>> {
        let gap = self.gap;
        let timer = self.timer.get_or_insert_with(|| Timer::after(gap));
        match Pin::new(timer).poll(cx) {
            Poll::Pending => Poll::Pending,
            Poll::Ready(_) => {
                self.stream = None;
                let text = format!("no byte for {} ms", gap.as_millis());
                Poll::Ready(Err(io::Error::new(io::ErrorKind::TimedOut, text)))
            }
        }
    }
}

impl AsyncRead for ResponseBody {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        match Pin::new(&mut self.inner).poll_read(cx, buf) {
            Poll::Pending => self.check_gap(cx),
            Poll::Ready(Ok(0)) if !buf.is_empty() => Poll::Ready(self.end()),
            Poll::Ready(Ok(n)) => {
                self.timer = None;
                self.left = self.left.map(|l| l.saturating_sub(n as u64));
                self.release_if_complete();
                Poll::Ready(Ok(n))
            }
            Poll::Ready(Err(e)) => {
                self.stream = None;
                Poll::Ready(Err(e))
            }
        }
    }
}

/// Reads a body to its end, refusing more than `limit` bytes.
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
            addr: SocketAddr::from(([0, 0, 0, 0], 0)),
            reason: e.to_string(),
        })?;
    if bytes.len() > limit {
        return Err(WireError::TooLong { limit });
    }
    Ok(bytes)
}
