use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::task::{Context, Poll};

use futures_lite::{AsyncRead, AsyncWrite};
use smol::net::TcpStream;

/// Whether bytes were read from a connection since its last response, or none was sent yet:
/// a request may be under way.
#[derive(Debug, Clone)]
pub(crate) struct UnansweredInput(Arc<AtomicBool>);

impl UnansweredInput {
    pub(crate) fn new() -> Self {
        UnansweredInput(Arc::new(AtomicBool::new(true)))
    }

    /// Records that the response to what was read is made.
    pub(crate) fn answered(&self) {
        self.0.store(false, Ordering::Relaxed);
    }

    pub(crate) fn is_set(&self) -> bool {
        self.0.load(Ordering::Relaxed)
    }
}

/// Connection of a client that records whether input is unanswered.
pub(crate) struct ServedStream {
    pub(crate) stream: TcpStream,
    pub(crate) input: UnansweredInput,
}

impl AsyncRead for ServedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let read = Pin::new(&mut self.stream).poll_read(cx, buf);
        if let Poll::Ready(Ok(1..)) = &read {
            self.input.0.store(true, Ordering::Relaxed);
        }
        read
    }
}

impl AsyncWrite for ServedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(cx, bufs)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_close(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_close(cx)
    }
}
