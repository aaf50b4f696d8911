use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

/// Whether an exchange is under way on a connection, from its request to the end of the
/// body of its response. Clones share the state.
#[derive(Debug, Clone, Default)]
pub(crate) struct OpenExchange(Arc<AtomicBool>);

impl OpenExchange {
    pub(crate) fn begin(&self) {
        self.0.store(true, Ordering::Relaxed);
    }

    pub(crate) fn end(&self) {
        self.0.store(false, Ordering::Relaxed);
    }

    pub(crate) fn is_open(&self) -> bool {
        self.0.load(Ordering::Relaxed)
    }
}
