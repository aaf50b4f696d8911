use std::time::Duration;

use domain::Moment;

/// Time constant of the moving average of the rate: bursts last seconds.
const AVERAGE_TIME: Duration = Duration::from_secs(2);
/// Factor by which the rate must change before a new one is announced, since each
/// announcement moves upstreams between entries.
const CHANGE_FACTOR: f64 = 1.35;

/// Requests a second that an entry receives, as it announces them to the others.
#[derive(Debug, Default)]
pub struct Demand {
    rate: f64,
    updated_at: Moment,
    announced: f64,
}

impl Demand {
    /// Counts a request that arrived at `now`.
    pub fn record_request(&mut self, now: Moment) {
        self.decay(now);
        self.rate += 1.0 / AVERAGE_TIME.as_secs_f64();
    }

    /// The rate to announce, in requests a second and at least 1.
    pub fn announced(&mut self, now: Moment) -> u16 {
        self.decay(now);
        let rate = self.rate.max(1.0);
        if rate > self.announced * CHANGE_FACTOR || rate < self.announced / CHANGE_FACTOR {
            self.announced = rate;
        }
        self.announced.round().min(f64::from(u16::MAX)) as u16
    }

    fn decay(&mut self, now: Moment) {
        let elapsed = now.saturating_sub(self.updated_at).as_secs_f64();
        self.rate *= (-elapsed / AVERAGE_TIME.as_secs_f64()).exp();
        self.updated_at = now;
    }
}
