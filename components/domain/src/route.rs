use std::time::Duration;

use compact_str::CompactString;

use crate::{RegionId, ServiceId};

/// What may be repeated of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestKind {
    /// Idempotent.
    Safe,
    /// Runs at most once.
    Unsafe,
    /// A series of events.
    Stream {
        /// A broken stream may go on at another upstream.
        resumable: bool,
    },
}

impl RequestKind {
    /// Whether an attempt that may have run may be sent again.
    pub fn is_repeatable(self) -> bool {
        matches!(
            self,
            RequestKind::Safe | RequestKind::Stream { resumable: true }
        )
    }

    /// Whether the answer is a series of events.
    pub fn is_stream(self) -> bool {
        matches!(self, RequestKind::Stream { .. })
    }
}

/// A rule that leads requests to a service.
#[derive(Debug, Clone, PartialEq)]
pub struct Route {
    /// Name of the route.
    pub name: CompactString,
    /// Host that it matches.
    pub host: CompactString,
    /// Start of the paths that it matches.
    pub path_prefix: CompactString,
    /// What may be repeated.
    pub kind: RequestKind,
    /// Longest time that a caller may be kept waiting.
    pub timeout: Duration,
    /// Time within which an answer, or its first event, is on time.
    pub target_latency: Duration,
    /// Rank, 0 first.
    pub priority: u8,
    /// Services and their weights.
    pub targets: Vec<(ServiceId, u32)>,
    /// Most upstreams that may run one attempt.
    pub max_attempts: u32,
    /// Needs no key.
    pub anonymous: bool,
    /// Regions that may serve it; empty for all.
    pub home_regions: Vec<RegionId>,
}
