use std::sync::Arc;

use domain::Platform;

use crate::caller_request::CallerRequest;
use crate::dispatcher::Dispatcher;
use crate::lease::Lease;

/// An exchange that waits for a response. If it is dropped, as its caller leaves or its time
/// is over, nothing else would tell that the upstream was silent.
pub struct Unanswered<'a, P: Platform> {
    dispatcher: &'a Arc<Dispatcher<P>>,
    request: &'a CallerRequest,
    lease: &'a Lease<P>,
    is_settled: bool,
}

impl<'a, P: Platform> Unanswered<'a, P> {
    /// Watches the exchange of a request with the leased upstream.
    pub fn new(
        dispatcher: &'a Arc<Dispatcher<P>>,
        request: &'a CallerRequest,
        lease: &'a Lease<P>,
    ) -> Self {
        Unanswered {
            dispatcher,
            request,
            lease,
            is_settled: false,
        }
    }

    /// Records that the exchange has ended in a way that is recorded elsewhere.
    pub fn settle(mut self) {
        self.is_settled = true;
    }
}

impl<P: Platform> Drop for Unanswered<'_, P> {
    fn drop(&mut self) {
        // Nothing reached the upstream if the ticket can still be withdrawn.
        if !self.is_settled && !self.lease.ticket.withdraw() {
            self.dispatcher.exchange_silent(self.request, self.lease);
        }
    }
}
