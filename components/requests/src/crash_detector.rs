/// Detects crashes of an upstream from failed exchanges and probes.
///
/// A crash counts once, however many requests fail with it.
#[derive(Debug, Default)]
pub struct CrashDetector {
    failure: Option<Failure>,
    crashed: bool,
}

#[derive(Debug)]
struct Failure {
    incarnation: Option<u64>,
    fingerprints: Vec<u64>,
}

/// Result of a probe of the upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Probe {
    /// Whether it responded.
    pub reachable: bool,
    /// Its incarnation, if it reports one.
    pub incarnation: Option<u64>,
}

impl CrashDetector {
    /// Records a failed exchange: the incarnation last reported by the upstream, and
    /// the fingerprints of the requests in flight.
    pub fn record_failure(
        &mut self,
        incarnation: Option<u64>,
        in_flight: impl Iterator<Item = u64>,
    ) {
        if self.failure.is_none() && !self.crashed {
            self.failure = Some(Failure {
                incarnation,
                fingerprints: in_flight.collect(),
            });
        }
    }

    /// Records a probe. If it shows a crash, returns the fingerprints of the requests
    /// that were in flight.
    pub fn record_probe(&mut self, probe: Probe) -> Option<Vec<u64>> {
        let failure = self.failure.take();
        if probe.reachable {
            self.crashed = false;
        }
        let failure = failure?;
        if probe.reachable && probe.incarnation == failure.incarnation {
            return None;
        }
        self.crashed = !probe.reachable;
        Some(failure.fingerprints)
    }
}
