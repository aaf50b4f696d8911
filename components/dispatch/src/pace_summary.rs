use domain::Moment;

use crate::PooledUpstream;

/// Pace of the upstreams of a service.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PaceSummary {
    /// Number of upstreams.
    pub listed: u32,
    /// Number of slow ones.
    pub slow: u32,
    /// Largest slowdown of an upstream; 1 is usual.
    pub slowest: f64,
    /// Mean slowdown.
    pub mean: f64,
}

impl PaceSummary {
    /// Summary of `upstreams` at `now`.
    pub fn new<'a>(now: Moment, upstreams: impl Iterator<Item = &'a PooledUpstream>) -> Self {
        let (mut listed, mut slow, mut slowest, mut sum) = (0_u32, 0, 1.0_f64, 0.0);
        for pooled in upstreams {
            let slowdown = pooled.pace.slowdown(now);
            listed += 1;
            slow += u32::from(pooled.pace.is_slow(now));
            slowest = slowest.max(slowdown);
            sum += slowdown;
        }
        let mean = match listed {
            0 => 1.0,
            listed => sum / f64::from(listed),
        };
        PaceSummary {
            listed,
            slow,
            slowest,
            mean,
        }
    }
}
