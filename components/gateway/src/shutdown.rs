use std::sync::Arc;
use std::time::Duration;

use domain::{Moment, Platform, now};
use smol::Timer;
use transport::{Listener, with_timeout};

use crate::dispatcher::Dispatcher;
use crate::front::Front;
use crate::readiness::Readiness;
use crate::scheduler::StopOrder;

/// Time until the load balancer takes an entry that is not ready out of rotation:
/// two checks one second apart.
const BALANCER_LAG: Duration = Duration::from_millis(2200);
/// Longest time for which an entry accepts all requests after its stop. What it accepts later
/// could be cut at its end.
const LONGEST_ACCEPT: Duration = Duration::from_millis(2900);
/// Interval between checks of the other entries.
const ORDER_CHECK: Duration = Duration::from_millis(20);
/// Time before the close of callers' connections in which their next response announces it.
const CLOSE_NOTICE: Duration = Duration::from_secs(1);
/// Time for the last responses, to requests that are still in flight at the end.
const LAST_RESPONSES: Duration = Duration::from_millis(200);

/// The steps by which an entry stops.
pub struct Shutdown<'a, P: Platform> {
    /// When the last requests in flight are ended.
    pub(crate) end: Moment,
    pub(crate) readiness: &'a Readiness<P>,
    pub(crate) dispatcher: &'a Dispatcher<P>,
    pub(crate) listener: &'a Arc<Listener<Front<P>>>,
}

impl<P: Platform> Shutdown<'_, P> {
    /// Takes the entry out of rotation and ends its connections; false if requests were still
    /// in flight at the end.
    ///
    /// While requests that were accepted in rotation are in flight, the listener stays open:
    /// a load balancer without a ready entry uses all of them.
    pub(crate) async fn run(self) -> bool {
        self.readiness.start_draining();
        self.dispatcher.scheduler.start_stopping();
        self.leave_rotation().await;
        let accepted = self.listener.close_accepted();
        let draining = async {
            accepted.wait_closed().await;
            self.listener.close();
            self.listener.wait_closed().await;
        };
        let drained = with_timeout(self.end.saturating_sub(now()), draining).await;
        if drained.is_none() {
            self.listener.close();
            self.dispatcher.ending.set();
            with_timeout(LAST_RESPONSES, self.listener.wait_closed()).await;
        }
        drained.is_some()
    }

    /// Accepts all requests until the load balancer uses other entries. If all entries are
    /// stopping, some end early and the others accept requests until those are back.
    async fn leave_rotation(&self) {
        let stopped_at = now();
        let lag_end = stopped_at + BALANCER_LAG;
        let mut accept_end = lag_end;
        while now() < accept_end {
            Timer::after(ORDER_CHECK).await;
            accept_end = match self.dispatcher.scheduler.stop_order() {
                StopOrder::Single => lag_end,
                StopOrder::Earlier => now(),
                StopOrder::Later => (stopped_at + LONGEST_ACCEPT).min(self.end),
            };
            if now() + CLOSE_NOTICE >= accept_end {
                self.listener.end_keep_alive();
            }
        }
        self.dispatcher.accept_until(self.end);
        Timer::after(lag_end.saturating_sub(now()).min(CLOSE_NOTICE)).await;
    }
}
