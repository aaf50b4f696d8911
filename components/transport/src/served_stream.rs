use std::io;
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll};
use std::time::Instant;

use futures_lite::{AsyncRead, AsyncWrite};
use smol::net::TcpStream;

/// Whether bytes were read from a connection since its last response, or none was sent yet:
/// a request may be under way.
#[derive(Debug, Clone)]
pub(crate) struct UnansweredInput(Arc<Mutex<Input>>);

/// What was read since the last response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Input {
    /// Nothing, on a new connection.
    New,
    /// Bytes, the first at this moment.
    Since(Instant),
    /// Nothing; there was a response.
    Answered,
}

impl UnansweredInput {
    pub(crate) fn new() -> Self {
        UnansweredInput(Arc::new(Mutex::new(Input::New)))
    }

    /// Records that the response to what was read is made.
    pub(crate) fn answered(&self) {
        *self.lock() = Input::Answered;
    }

    pub(crate) fn is_set(&self) -> bool {
        *self.lock() != Input::Answered
    }

    /// Whether nothing was ever read.
    pub(crate) fn is_new(&self) -> bool {
        *self.lock() == Input::New
    }

    /// When the first of the bytes that have no response was read.
    pub(crate) fn since(&self) -> Option<Instant> {
        match *self.lock() {
            Input::Since(at) => Some(at),
            _ => None,
        }
    }

    /// Records that bytes were read.
    fn received(&self) {
        let mut input = self.lock();
        if !matches!(*input, Input::Since(_)) {
            *input = Input::Since(Instant::now());
        }
    }

    fn lock(&self) -> MutexGuard<'_, Input> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
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
            self.input.received();
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
