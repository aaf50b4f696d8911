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
pub(crate) struct InFlightGuard {
    requests: Arc<InFlight>,
    request: InputEnd,
}

impl InFlight {
    /// Begins a request.
    pub(crate) fn begin(self: &Arc<Self>, input_end: InputEnd) -> InFlightGuard {
        self.set(Some(input_end.clone()));
        InFlightGuard {
            requests: self.clone(),
            request: input_end,
        }
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

    /// Waits until a request has ended. The next one may begin in the same moment.
    pub(crate) async fn until_end(&self, request: &InputEnd) {
        loop {
            let changed = self.changed.listen();
            if !self.is_current(request) {
                return;
            }
            changed.await;
        }
    }

    fn is_current(&self, request: &InputEnd) -> bool {
        self.current().is_some_and(|c| c.is_same(request))
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
        if self.requests.is_current(&self.request) {
            self.requests.set(None);
        }
    }
}
