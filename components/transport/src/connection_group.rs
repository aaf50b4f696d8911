use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use smol::Timer;

use crate::close_signal::CloseSignal;

/// Interval between checks whether all connections are closed.
const CLOSE_CHECK: Duration = Duration::from_millis(20);

/// Connections of clients that are closed together.
#[derive(Debug, Clone, Default)]
pub struct ConnectionGroup {
    open: Arc<AtomicUsize>,
    pub(crate) closing: Arc<CloseSignal>,
}

/// Counts a connection as open until it is dropped.
#[derive(Debug)]
pub(crate) struct OpenGuard(Arc<AtomicUsize>);

impl ConnectionGroup {
    /// Adds a connection.
    pub(crate) fn begin(&self) -> OpenGuard {
        self.open.fetch_add(1, Ordering::Relaxed);
        OpenGuard(self.open.clone())
    }

    /// Number of open connections.
    pub fn open_count(&self) -> usize {
        self.open.load(Ordering::Relaxed)
    }

    /// Waits until every connection is closed.
    pub async fn wait_closed(&self) {
        while self.open_count() > 0 {
            Timer::after(CLOSE_CHECK).await;
        }
    }
}

impl Drop for OpenGuard {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}
