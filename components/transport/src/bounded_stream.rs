use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::task::{Context, Poll};
use std::time::Duration;

use futures_lite::{AsyncRead, AsyncWrite};
use rustix::net::sockopt;
use smol::net::TcpStream;

use crate::open_exchange::OpenExchange;
use crate::write_limit::WriteLimit;

/// Bytes that may still be read from a connection until the next part of a response
/// is complete: its head, or a part of its body.
#[derive(Debug, Clone)]
pub(crate) struct ReadAllowance {
    left: Arc<AtomicUsize>,
    limit: usize,
}

impl ReadAllowance {
    pub(crate) fn new(limit: usize) -> Self {
        ReadAllowance {
            left: Arc::new(AtomicUsize::new(limit)),
            limit,
        }
    }

    /// Starts anew, because a part of a response is complete.
    pub(crate) fn renew(&self) {
        self.left.store(self.limit, Ordering::Relaxed);
    }
}

/// A connection on which reading fails once the allowance is used up. hyper does not
/// limit interim responses and chunk sizes, and reads them within one poll for as long
/// as bytes are available, so that no timeout would end it. Writing fails after its limit.
/// Dropping it during an exchange resets the connection: the peer gets no more of a request
/// that is cancelled, and does not take the end for that of the request.
pub(crate) struct BoundedStream {
    stream: TcpStream,
    allowance: ReadAllowance,
    write_limit: WriteLimit,
    exchange: OpenExchange,
}

impl BoundedStream {
    pub(crate) fn new(
        stream: TcpStream,
        allowance: ReadAllowance,
        write_limit: WriteLimit,
        exchange: OpenExchange,
    ) -> Self {
        BoundedStream {
            stream,
            allowance,
            write_limit,
            exchange,
        }
    }
}

impl Drop for BoundedStream {
    fn drop(&mut self) {
        if !self.exchange.is_open() {
            return;
        }
        if let Err(e) = sockopt::set_socket_linger(&self.stream, Some(Duration::ZERO)) {
            log::warn!("transport: cannot reset a connection, it is closed instead: {e}");
        }
    }
}

impl AsyncRead for BoundedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let left = self.allowance.left.load(Ordering::Relaxed);
        if left == 0 {
            let text = format!("{} bytes contain no response", self.allowance.limit);
            return Poll::Ready(Err(io::Error::new(io::ErrorKind::InvalidData, text)));
        }
        let len = buf.len().min(left);
        let read = Pin::new(&mut self.stream).poll_read(cx, &mut buf[..len]);
        if let Poll::Ready(Ok(n)) = &read {
            self.allowance.left.store(left - n, Ordering::Relaxed);
        }
        read
    }
}

impl AsyncWrite for BoundedStream {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let this = self.get_mut();
        let stream = Pin::new(&mut this.stream);
        this.write_limit.write(|| stream.poll_write(cx, buf))
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let this = self.get_mut();
        let stream = Pin::new(&mut this.stream);
        this.write_limit
            .write(|| stream.poll_write_vectored(cx, bufs))
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_close(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        // hyper also closes when it notices that an exchange was given up: no FIN may
        // precede the reset.
        if self.exchange.is_open() {
            return Poll::Ready(Ok(()));
        }
        Pin::new(&mut self.stream).poll_close(cx)
    }
}
