use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use event_listener::Event;

use crate::InputEnd;

/// The request in flight on a connection, from its head to the end of its response.
#[derive(Debug, Default)]
pub(crate) struct InFlight {
    current: Mutex<Option<InputEnd>>,
    changed: Event,
}

/// Keeps a request in flight until it is dropped.
#[derive(Debug)]
pub(crate) struct InFlightGuard(Arc<InFlight>);

impl InFlight {
    /// Begins a request.
    pub(crate) fn begin(self: &Arc<Self>, input_end: InputEnd) -> InFlightGuard {
        self.set(Some(input_end));
        InFlightGuard(self.clone())
    }

    /// The request in flight.
    pub(crate) fn current(&self) -> Option<InputEnd> {
        self.lock().clone()
    }

    /// Waits until a request is in flight.
    pub(crate) async fn until_begin(&self) -> InputEnd {
        loop {
            let changed = self.changed.listen();
            if let Some(input_end) = self.current() {
                return input_end;
            }
            changed.await;
        }
    }

    /// Waits until no request is in flight.
    pub(crate) async fn until_end(&self) {
        loop {
            let changed = self.changed.listen();
            if self.current().is_none() {
                return;
            }
            changed.await;
        }
    }

    fn set(&self, request: Option<InputEnd>) {
        *self.lock() = request;
        self.changed.notify(usize::MAX);
    }

    fn lock(&self) -> MutexGuard<'_, Option<InputEnd>> {
        self.current.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.0.set(None);
    }
}
