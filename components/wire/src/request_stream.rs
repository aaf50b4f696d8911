use std::io;
use std::pin::Pin;
use std::sync::atomic::{AtomicU8, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll, ready};

use futures_lite::{AsyncRead, AsyncWrite};
use smol::net::TcpStream;

use crate::metered::Metered;
use crate::request_framing::RequestFraming;

/// Bytes that are read at a time.
const READ_BYTES: usize = 8 << 10;

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
    /// The response was sent; the rest of the request is read and discarded.
    Discarding,
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

/// Bytes that were read from a connection after the end of a request.
pub(crate) type Unread = Arc<Mutex<Vec<u8>>>;

/// Number of writes to a connection.
#[derive(Debug, Clone, Default)]
pub(crate) struct WriteCount(Arc<AtomicU64>);

impl WriteCount {
    pub(crate) fn get(&self) -> u64 {
        self.0.load(Ordering::Relaxed)
    }
}

/// A connection from which one request is read: the bytes after its end are kept for the
/// next one. Notes when the first byte is read, and what is written.
#[derive(Clone)]
pub(crate) struct RequestStream {
    stream: Metered,
    stage: SharedStage,
    unread: Unread,
    framing: Arc<Mutex<RequestFraming>>,
    writes: WriteCount,
}

impl RequestStream {
    pub(crate) fn new(
        stream: TcpStream,
        stage: SharedStage,
        unread: Unread,
        writes: WriteCount,
    ) -> Self {
        RequestStream {
            stream: Metered(stream),
            stage,
            unread,
            framing: Arc::default(),
            writes,
        }
    }

    /// Moves bytes of the request from those that were read to `buf`.
    fn take_unread(&self, buf: &mut [u8]) -> io::Result<usize> {
        let mut unread = lock(&self.unread);
        let mut framing = lock(&self.framing);
        let count = buf.len().min(unread.len());
        let taken = framing.take(&unread[..count]);
        if framing.is_overlong() {
            let text = "a line of the request is longer than 8 KiB";
            return Err(io::Error::new(io::ErrorKind::InvalidData, text));
        }
        buf[..taken].copy_from_slice(&unread[..taken]);
        unread.drain(..taken);
        Ok(taken)
    }
}

pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl AsyncRead for RequestStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        if lock(&self.unread).is_empty() {
            let mut bytes = [0; READ_BYTES];
            match ready!(Pin::new(&mut self.stream).poll_read(cx, &mut bytes)) {
                Ok(n) => lock(&self.unread).extend_from_slice(&bytes[..n]),
                Err(e) => return Poll::Ready(Err(e)),
            }
        }
        let taken = self.take_unread(buf);
        if matches!(taken, Ok(n) if n > 0) {
            self.stage.reach(Stage::Reading);
        }
        Poll::Ready(taken)
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
        let flushed = Pin::new(&mut self.stream).poll_flush(cx);
        // The library flushes a response at its end only.
        if flushed.is_ready() && self.stage.has_reached(Stage::Responding) {
            self.stage.reach(Stage::Discarding);
        }
        flushed
    }

    fn poll_close(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_close(cx)
    }
}
