use std::time::Duration;

/// How far an upstream is from the entry.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum Distance {
    /// In the entry's failure domain.
    #[default]
    SameDomain,
    /// In the entry's region.
    SameRegion,
    /// In another region.
    OtherRegion,
}

impl Distance {
    /// Network round trip between the entry and the upstream.
    pub fn round_trip(self) -> Duration {
        match self {
            Distance::SameDomain => Duration::ZERO,
            Distance::SameRegion => Duration::from_millis(1),
            Distance::OtherRegion => Duration::from_millis(4),
        }
    }
}

/// State of an upstream as an entry sees it when it chooses.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Candidate {
    /// Hash of the VM's id; identifies the upstream.
    pub key: u64,
    /// Concurrency limit, as last reported.
    pub limit: u32,
    /// Requests of other entries in flight, as last reported.
    pub others_outstanding: u32,
    /// Requests of this entry in flight.
    pub outstanding: u32,
    /// Typical service time, as last reported.
    pub service_time: Duration,
    /// Distance from the entry.
    pub distance: Distance,
    /// Whether the upstream accepts new requests.
    pub open: bool,
    /// Time until which the upstream is avoided after failures.
    pub avoid_until: Duration,
}

impl Candidate {
    /// Requests that can be added before the limit is reached.
    pub fn spare_capacity(&self) -> u32 {
        self.limit
            .saturating_sub(self.others_outstanding + self.outstanding)
    }

    /// Whether a request may be sent at `now`.
    pub fn is_available(&self, now: Duration) -> bool {
        self.open && self.avoid_until <= now && self.spare_capacity() > 0
    }

    /// Expected time to a response, which grows with the share of the limit in use.
    pub fn expected_latency(&self) -> Duration {
        let used = self.others_outstanding + self.outstanding + 1;
        let load = self.service_time * used / self.limit.max(1);
        self.service_time + load + self.distance.round_trip()
    }
}
