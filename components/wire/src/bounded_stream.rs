use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::task::{Context, Poll};

use futures_lite::{AsyncRead, AsyncWrite};
use smol::net::TcpStream;

use crate::metered::Metered;

/// Most bytes that are read while neither the head of a response nor a part of its body
/// is complete: a head, which the library limits to 8 KiB, and what it reads ahead.
const MAX_UNDELIVERED: usize = 32 << 10;
/// Bytes that are read without a pause for other tasks.
const MAX_UNINTERRUPTED: usize = 256 << 10;

/// Bytes that may still be read from a connection until the next part of a response
/// is complete.
#[derive(Debug, Clone)]
pub(crate) struct ReadAllowance(Arc<AtomicUsize>);

impl ReadAllowance {
    pub(crate) fn new() -> Self {
        ReadAllowance(Arc::new(AtomicUsize::new(MAX_UNDELIVERED)))
    }

    /// Starts anew, because a part of a response is complete.
    pub(crate) fn renew(&self) {
        self.0.store(MAX_UNDELIVERED, Ordering::Relaxed);
    }
}

/// A connection on which reading fails once the allowance is used up. async-h1 checks
/// the length of a head at line breaks only and does not limit chunk sizes; it reads
/// both within one poll for as long as bytes are available, so that no timeout would
/// end it.
#[derive(Clone)]
pub(crate) struct BoundedStream {
    stream: Metered,
    allowance: ReadAllowance,
    uninterrupted: usize,
}

impl BoundedStream {
    pub(crate) fn new(stream: TcpStream, allowance: ReadAllowance) -> Self {
        BoundedStream {
            stream: Metered(stream),
            allowance,
            uninterrupted: 0,
        }
    }
}

impl AsyncRead for BoundedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let left = self.allowance.0.load(Ordering::Relaxed);
        if left == 0 {
            let text = format!("{MAX_UNDELIVERED} bytes contain no response");
            return Poll::Ready(Err(io::Error::new(io::ErrorKind::InvalidData, text)));
        }
        if self.uninterrupted >= MAX_UNINTERRUPTED {
            self.uninterrupted = 0;
            cx.waker().wake_by_ref();
            return Poll::Pending;
        }
        let len = buf.len().min(left);
        let read = Pin::new(&mut self.stream).poll_read(cx, &mut buf[..len]);
        match &read {
            Poll::Ready(Ok(n)) => {
                self.allowance.0.store(left - n, Ordering::Relaxed);
                self.uninterrupted += n;
            }
            _ => self.uninterrupted = 0,
        }
        read
    }
}

impl AsyncWrite for BoundedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_close(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_close(cx)
    }
}
