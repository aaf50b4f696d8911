use std::time::Duration;

use domain::Moment;

/// Time over which requests are averaged: bursts last seconds.
const MEMORY: Duration = Duration::from_secs(2);
/// Factor by which the rate has to change before another one is told: each time
/// upstreams change hands.
const STEP: f64 = 1.35;

/// Requests a second that an entry gets, as it tells the others.
#[derive(Debug, Default)]
pub struct Demand {
    rate: f64,
    at: Moment,
    announced: f64,
}

impl Demand {
    /// Counts a request.
    pub fn record_request(&mut self, now: Moment) {
        self.decay(now);
        self.rate += 1.0 / MEMORY.as_secs_f64();
    }

    /// The rate to be told, at least 1.
    pub fn announced(&mut self, now: Moment) -> u16 {
        self.decay(now);
        let rate = self.rate.max(1.0);
        if rate > self.announced * STEP || rate < self.announced / STEP {
            self.announced = rate;
        }
        self.announced.round().min(f64::from(u16::MAX)) as u16
    }

    fn decay(&mut self, now: Moment) {
        let passed = now.saturating_sub(self.at).as_secs_f64();
        self.rate *= (-passed / MEMORY.as_secs_f64()).exp();
        self.at = now;
    }
}
