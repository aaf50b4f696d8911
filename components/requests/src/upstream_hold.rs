use std::time::Duration;

use derive_more::Display;

/// What an upstream announced in one response.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Notice {
    /// It leaves and wants no further requests.
    pub leaving: bool,
    /// Time for which it wants no requests.
    pub retry_after: Option<Duration>,
}

/// Why an upstream gets no requests now.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum Hold {
    /// It leaves.
    #[display("it leaves")]
    Leaving,
    /// It wants no requests for some time.
    #[display("it wants no requests for {remaining:?}")]
    Paused {
        /// Time until it wants requests again.
        remaining: Duration,
    },
}

/// What one start of an upstream has announced about further requests.
#[derive(Debug, Default)]
pub struct UpstreamHold {
    start: u64,
    leaving: bool,
    paused_until: Option<Duration>,
}

impl UpstreamHold {
    /// Number of the upstream's present start.
    pub fn start(&self) -> u64 {
        self.start
    }

    /// Records the response to a request that was sent during `start`; one of an earlier
    /// start says nothing about the present one.
    pub fn record(&mut self, now: Duration, start: u64, notice: Notice) {
        if start != self.start {
            return;
        }
        self.leaving |= notice.leaving;
        if let Some(wait) = notice.retry_after.filter(|w| !w.is_zero()) {
            self.paused_until = self.paused_until.max(Some(now.saturating_add(wait)));
        }
    }

    /// Records a new start, which is not bound by what the last one announced.
    pub fn restart(&mut self) {
        *self = UpstreamHold {
            start: self.start + 1,
            ..UpstreamHold::default()
        };
    }

    /// Why the upstream gets no requests at `now`; `None` if it does.
    pub fn check(&self, now: Duration) -> Option<Hold> {
        if self.leaving {
            return Some(Hold::Leaving);
        }
        let remaining = self.paused_until?.checked_sub(now)?;
        (!remaining.is_zero()).then_some(Hold::Paused { remaining })
    }
}
