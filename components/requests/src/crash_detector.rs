/// Decides from broken exchanges and looks at the upstream when it has crashed.
///
/// However many requests a crash breaks, it counts once.
#[derive(Debug, Default)]
pub struct CrashDetector {
    broke: Option<Break>,
    crashed: bool,
}

#[derive(Debug)]
struct Break {
    incarnation: Option<u64>,
    fingerprints: Vec<u64>,
}

/// What a look at the upstream showed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Look {
    /// Whether it answered.
    pub reachable: bool,
    /// Its incarnation, where it reports one.
    pub incarnation: Option<u64>,
}

impl CrashDetector {
    /// Records a broken exchange with the requests that were in flight, while
    /// the upstream was last seen as `incarnation`.
    pub fn broke(&mut self, incarnation: Option<u64>, in_flight: impl Iterator<Item = u64>) {
        if self.broke.is_none() && !self.crashed {
            self.broke = Some(Break {
                incarnation,
                fingerprints: in_flight.collect(),
            });
        }
    }

    /// Records a look; returns the fingerprints in flight at a crash that it shows.
    pub fn look(&mut self, look: Look) -> Option<Vec<u64>> {
        let broke = self.broke.take();
        if look.reachable {
            self.crashed = false;
        }
        let broke = broke?;
        if look.reachable && look.incarnation == broke.incarnation {
            return None;
        }
        self.crashed = !look.reachable;
        Some(broke.fingerprints)
    }
}
