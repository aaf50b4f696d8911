use std::sync::atomic::{AtomicBool, Ordering};

use event_listener::Event;

/// A signal that is set once. Waits end also if they begin after it was set.
#[derive(Debug, Default)]
pub(crate) struct CloseSignal {
    is_set: AtomicBool,
    event: Event,
}

impl CloseSignal {
    pub(crate) fn set(&self) {
        self.is_set.store(true, Ordering::SeqCst);
        self.event.notify(usize::MAX);
    }

    pub(crate) fn is_set(&self) -> bool {
        self.is_set.load(Ordering::SeqCst)
    }

    pub(crate) async fn wait(&self) {
        // Listening begins before the check, so that no signal falls between the two.
        let event = self.event.listen();
        if !self.is_set() {
            event.await;
        }
    }
}
