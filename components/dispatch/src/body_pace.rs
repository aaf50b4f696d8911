use std::time::Duration;

use domain::Moment;

/// Least progress of a body that is being received.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LeastPace {
    /// Longest time without a byte.
    pub pause: Duration,
    /// Bytes a second on average, after the first pause.
    pub rate: u64,
}

/// Progress of one body: a body that stops short of its end does not hold its memory for the
/// whole time of its request.
#[derive(Debug, Clone, Copy)]
pub struct BodyPace {
    least: LeastPace,
    began: Moment,
    last: Moment,
    received: u64,
}

impl BodyPace {
    /// The head of the request was complete at `began`.
    pub fn new(least: LeastPace, began: Moment) -> Self {
        BodyPace {
            least,
            began,
            last: began,
            received: 0,
        }
    }

    /// Records that `bytes` arrived.
    pub fn receive(&mut self, bytes: usize, now: Moment) {
        let bytes = u64::try_from(bytes).unwrap_or(u64::MAX);
        self.received = self.received.saturating_add(bytes);
        self.last = now;
    }

    /// Latest moment for the next bytes, or the end of the body.
    pub fn next_by(&self) -> Moment {
        let millis = self.received.saturating_mul(1000) / self.least.rate.max(1);
        let due = self.began + self.least.pause + Duration::from_millis(millis);
        due.min(self.last + self.least.pause)
    }
}
