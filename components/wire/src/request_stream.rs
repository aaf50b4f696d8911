use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicU8, AtomicU64, Ordering};
use std::task::{Context, Poll};

use futures_lite::{AsyncRead, AsyncWrite};
use smol::net::TcpStream;

use crate::metered::Metered;

/// How far the exchange of one request has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
#[repr(u8)]
pub(crate) enum Stage {
    /// No byte of the request was read.
    Waiting,
    /// A part of its head was read.
    Reading,
    /// The handler has the request.
    Handling,
    /// The response is being sent.
    Responding,
}

/// The stage of an exchange, shared by the parts of its connection.
#[derive(Debug, Clone)]
pub(crate) struct SharedStage(Arc<AtomicU8>);

impl Default for SharedStage {
    fn default() -> Self {
        SharedStage(Arc::new(AtomicU8::new(Stage::Waiting as u8)))
    }
}

impl SharedStage {
    /// Advances to `stage`, unless the exchange has come further.
    pub(crate) fn reach(&self, stage: Stage) {
        self.0.fetch_max(stage as u8, Ordering::Relaxed);
    }

    /// Whether the exchange has come to `stage` or further.
    pub(crate) fn has_reached(&self, stage: Stage) -> bool {
        self.0.load(Ordering::Relaxed) >= stage as u8
    }
}

/// Number of writes to a connection.
#[derive(Debug, Clone, Default)]
pub(crate) struct WriteCount(Arc<AtomicU64>);

impl WriteCount {
    pub(crate) fn get(&self) -> u64 {
        self.0.load(Ordering::Relaxed)
    }
}

/// A connection that notes when the first byte of a request is read, and what is written.
#[derive(Clone)]
pub(crate) struct RequestStream {
    stream: Metered,
    stage: SharedStage,
    writes: WriteCount,
}

impl RequestStream {
    pub(crate) fn new(stream: TcpStream, stage: SharedStage, writes: WriteCount) -> Self {
        RequestStream {
            stream: Metered(stream),
            stage,
            writes,
        }
    }
}

impl AsyncRead for RequestStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let read = Pin::new(&mut self.stream).poll_read(cx, buf);
        if matches!(read, Poll::Ready(Ok(n)) if n > 0) {
            self.stage.reach(Stage::Reading);
        }
        read
    }
}

impl AsyncWrite for RequestStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(cx, buf);
        if written.is_ready() {
            self.writes.0.fetch_add(1, Ordering::Relaxed);
        }
        written
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_close(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_close(cx)
    }
}
