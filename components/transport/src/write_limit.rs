use std::io;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Instant;

/// Latest moment for writing to a connection, which each request sets anew.
#[derive(Debug, Clone, Default)]
pub(crate) struct WriteLimit(Arc<Mutex<State>>);

#[derive(Debug, Default)]
struct State {
    latest: Option<Instant>,
    /// Bytes of the request that were written.
    written: usize,
}

impl WriteLimit {
    /// Starts a request that is written by `latest` or not at all.
    pub(crate) fn start(&self, latest: Option<Instant>) {
        *self.lock() = State { latest, written: 0 };
    }

    /// Fails after the latest moment. It is checked before each write: between the start
    /// of a request and the write the process may have stood still.
    pub(crate) fn check(&self) -> io::Result<()> {
        match self.lock().latest {
            Some(latest) if Instant::now() > latest => Err(io::Error::new(
                io::ErrorKind::TimedOut,
                "the request is too late to be written",
            )),
            _ => Ok(()),
        }
    }

    pub(crate) fn record(&self, bytes: usize) {
        self.lock().written += bytes;
    }

    /// Whether any byte of the request was written.
    pub(crate) fn has_written(&self) -> bool {
        self.lock().written > 0
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
