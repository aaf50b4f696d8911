use std::io;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Instant;

use crate::WriteTerms;

/// Terms for writing to a connection, which each request sets anew.
#[derive(Debug, Clone, Default)]
pub(crate) struct WriteLimit(Arc<Mutex<State>>);

#[derive(Debug, Default)]
struct State {
    terms: WriteTerms,
    /// Bytes of the request that were written.
    written: usize,
}

impl WriteLimit {
    /// Starts a request that is written under these terms or not at all.
    pub(crate) fn start(&self, terms: WriteTerms) {
        *self.lock() = State { terms, written: 0 };
    }

    /// Fails if the terms do not hold. It is checked before each write: between the start
    /// of a request and the write the process may have stood still.
    pub(crate) fn check(&self) -> io::Result<()> {
        let state = self.lock();
        let State { terms, written } = &*state;
        if terms.latest.is_some_and(|latest| Instant::now() > latest) {
            return Err(io::Error::new(
                io::ErrorKind::TimedOut,
                "the request is too late to be written",
            ));
        }
        let gate = terms.gate.as_ref().filter(|_| *written == 0);
        if gate.is_some_and(|g| !g.is_open(domain::now())) {
            return Err(io::Error::new(
                io::ErrorKind::ConnectionRefused,
                "the peer accepts no further requests",
            ));
        }
        Ok(())
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
