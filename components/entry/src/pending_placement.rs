use async_channel::Receiver;

use crate::caller_request::CallerRequest;
use crate::placement::Placement;
use crate::schedulers::{SharedScheduler, lock};

/// A submitted request that waits for its placement. Dropping it, as when the caller
/// disconnects, removes the request from the queue and releases an upstream that was
/// assigned but not used.
pub struct PendingPlacement<'a> {
    /// Scheduler to which it was submitted.
    pub scheduler: &'a SharedScheduler,
    /// The request.
    pub request: &'a CallerRequest,
    /// Its id.
    pub id: u64,
    /// Receives its placement.
    pub receiver: Receiver<Placement>,
}

impl Drop for PendingPlacement<'_> {
    fn drop(&mut self) {
        lock(self.scheduler).remove(&self.request.account, self.id, &self.receiver);
    }
}
