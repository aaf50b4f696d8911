use std::io;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::Poll;

use crate::WriteTerms;

/// Terms for writing to a connection, which each request sets anew.
#[derive(Debug, Clone, Default)]
pub(crate) struct WriteLimit(Arc<Mutex<WriteTerms>>);

impl WriteLimit {
    /// Starts a request that is written under these terms or not at all.
    pub(crate) fn start(&self, terms: WriteTerms) {
        *self.lock() = terms;
    }

    /// Writes a part of the request, unless the terms do not hold. They are checked before
    /// each write: between the start of a request and the write the process may have stood
    /// still.
    pub(crate) fn write(
        &self,
        write: impl FnOnce() -> Poll<io::Result<usize>>,
    ) -> Poll<io::Result<usize>> {
        let terms = self.lock();
        terms.ticket.write(|is_first| {
            terms.check(is_first)?;
            write()
        })
    }

    /// Withdraws the request if no byte of it was written; returns whether it is withdrawn.
    pub(crate) fn withdraw(&self) -> bool {
        self.lock().ticket.withdraw()
    }

    fn lock(&self) -> MutexGuard<'_, WriteTerms> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
