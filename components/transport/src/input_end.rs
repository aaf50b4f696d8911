use std::sync::{Arc, OnceLock};
use std::time::Instant;

use crate::close_signal::CloseSignal;

/// Tells a request that its client has closed the sending side of the connection: either
/// it only waits for the response, or it has left. It is in the extensions of requests.
#[derive(Debug, Clone, Default)]
pub struct InputEnd(Arc<State>);

#[derive(Debug, Default)]
struct State {
    since: OnceLock<Instant>,
    signal: CloseSignal,
}

impl InputEnd {
    pub(crate) fn set(&self) {
        self.0.since.get_or_init(Instant::now);
        self.0.signal.set();
    }

    /// Whether both are of the same request.
    pub(crate) fn is_same(&self, other: &InputEnd) -> bool {
        Arc::ptr_eq(&self.0, &other.0)
    }

    /// When the end of the input was noticed.
    pub fn since(&self) -> Option<Instant> {
        self.0.since.get().copied()
    }

    /// Waits until the end of the input is noticed; returns when it was.
    pub async fn wait(&self) -> Instant {
        self.0.signal.wait().await;
        *self.0.since.get_or_init(Instant::now)
    }
}
