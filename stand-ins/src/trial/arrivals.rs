//! Open-loop arrivals: requests are sent without waiting for earlier ones.

use std::time::{Duration, Instant};

use smol::Timer;

/// Calls `arrive` at the times of a Poisson process with `rate` arrivals a
/// second, until `span` has passed.
pub async fn poisson(
    rate: f64,
    span: Duration,
    seed: u64,
    mut arrive: impl FnMut(usize, Duration, &mut fastrand::Rng),
) {
    let mut rng = fastrand::Rng::with_seed(seed);
    let start = Instant::now();
    let mut at = Duration::ZERO;
    for i in 0.. {
        at += Duration::from_secs_f64(-(1.0 - rng.f64()).ln() / rate);
        if at > span {
            return;
        }
        Timer::at(start + at).await;
        arrive(i, at, &mut rng);
    }
}
