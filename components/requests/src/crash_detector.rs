/// Decides from broken exchanges and looks at the upstream when it has crashed.
///
/// However many requests a crash breaks, it counts once.
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

/// What a look at the upstream showed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Probe {
    /// Whether it answered.
    pub reachable: bool,
    /// Its incarnation, where it reports one.
    pub incarnation: Option<u64>,
}

impl CrashDetector {
    /// Records a broken exchange with the requests that were in flight, while
    /// the upstream was last seen as `incarnation`.
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

    /// Records a look; returns the fingerprints in flight at a crash that it shows.
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
