use std::sync::atomic::{AtomicBool, Ordering};

use event_listener::Event;

/// A signal that is set once. Waits end also if they begin after it was set.
#[derive(Debug, Default)]
pub struct CloseSignal {
    is_set: AtomicBool,
    event: Event,
}

impl CloseSignal {
    /// Sets the signal.
    pub fn set(&self) {
        self.is_set.store(true, Ordering::SeqCst);
        self.event.notify(usize::MAX);
    }

    /// Whether it is set.
    pub fn is_set(&self) -> bool {
        self.is_set.load(Ordering::SeqCst)
    }

    /// Waits until it is set.
    pub async fn wait(&self) {
        // Listening begins before the check, so that no signal falls between the two.
        let event = self.event.listen();
        if !self.is_set() {
            event.await;
        }
    }
}
