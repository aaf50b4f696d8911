use std::time::Duration;

use compact_str::CompactString;

use crate::{RegionId, ServiceId};

/// Whether a request may run more than once.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestKind {
    /// Idempotent; may be retried.
    Safe,
    /// Not idempotent; runs at most once.
    Unsafe,
    /// The response is a stream of events.
    Stream {
        /// A broken stream may be resumed at another upstream.
        resumable: bool,
    },
}

impl RequestKind {
    /// Whether a request that may have run may be sent again.
    pub fn is_retryable(self) -> bool {
        matches!(
            self,
            RequestKind::Safe | RequestKind::Stream { resumable: true }
        )
    }

    /// Whether the response is a stream of events.
    pub fn is_stream(self) -> bool {
        matches!(self, RequestKind::Stream { .. })
    }
}

/// Rule that maps requests to services.
#[derive(Debug, Clone, PartialEq)]
pub struct Route {
    /// Name of the route.
    pub name: CompactString,
    /// Host that it matches.
    pub host: CompactString,
    /// Prefix of the paths that it matches.
    pub path_prefix: CompactString,
    /// Whether requests may run more than once.
    pub kind: RequestKind,
    /// Upper limit of a caller's timeout.
    pub timeout: Duration,
    /// Latency target for the response, or for its first event.
    pub target_latency: Duration,
    /// Gap before the first or the next event of a stream after which its caller leaves;
    /// `None` if callers wait until their deadlines, or if it is not known.
    pub max_gap: Option<Duration>,
    /// Priority; 0 is served first.
    pub priority: u8,
    /// Services with their shares of the traffic, as relative weights.
    pub targets: Vec<(ServiceId, u32)>,
    /// Most upstreams that may run one request.
    pub max_attempts: u32,
    /// Requests need no API key.
    pub anonymous: bool,
    /// Regions that may serve the requests; empty for all.
    pub home_regions: Vec<RegionId>,
}
