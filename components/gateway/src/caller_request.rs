use std::future::pending;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::time::{Duration, Instant};

use bytes::Bytes;
use dispatch::Feature;
use domain::{Account, Moment, RequestHead, Route, ServiceId};
use http::request;
use smol::Timer;
use transport::InputEnd;

use crate::body_buffers::Reservation;
use crate::deadline::Deadline;

/// Time for which a caller that has closed its sending side is assumed to wait for its
/// response. It may have left, and no upstream may work for long for a caller that left.
const HALF_CLOSE_GRACE: Duration = Duration::from_millis(250);

/// Time for which a response may be under way to its caller, and the request was before. A
/// caller that is told in time does not leave.
const TRANSIT_TIME: Duration = Duration::from_millis(50);
/// Largest part of a caller's time that is kept for that.
const MAX_TRANSIT_SHARE: u32 = 8;

/// A caller's request with its route, account and deadline.
pub struct CallerRequest {
    /// Number of the request within the process.
    pub id: u64,
    /// Request line and headers as the caller sent them.
    pub parts: request::Parts,
    /// Values read from them.
    pub head: RequestHead,
    /// Request body.
    pub body: Bytes,
    /// Memory that it takes.
    pub memory: Reservation,
    /// Route that matches the request.
    pub route: Route,
    /// Service chosen among the targets of the route.
    pub service: ServiceId,
    /// Account of the caller.
    pub account: Option<Account>,
    /// When the complete head was received.
    pub arrived: Moment,
    /// Latest moment for the end of the response.
    pub deadline: Deadline,
    /// Latest moment for the begin of the final response: before the caller leaves without
    /// one.
    pub answer_by: Moment,
    /// Estimated moment at which the caller sent its first attempt.
    pub first_attempt: Moment,
    /// What it may have in common with requests that crash upstreams.
    pub features: Vec<Feature>,
    /// Whether the caller has closed its sending side.
    pub input_end: InputEnd,
}

impl CallerRequest {
    /// Latest moment for the end of an attempt: a stream may go on until the deadline.
    pub fn end_by(&self) -> Moment {
        match self.route.kind.is_stream() {
            true => self.deadline.at(),
            false => self.answer_by,
        }
    }

    /// Latest moment for the next event of a stream, the last of which was passed on at
    /// `passed_at`: before the caller leaves.
    pub fn next_event_by(&self, passed_at: Moment) -> Moment {
        let by = self.route.max_gap.map(|gap| answer_by(passed_at, gap));
        by.map_or(self.end_by(), |by| by.min(self.end_by()))
    }

    /// Time until the latest end of an attempt.
    pub fn remaining(&self, now: Moment) -> Duration {
        self.end_by().saturating_sub(now)
    }

    /// Time that an upstream is given. A stream may outlast the present timeout of its route,
    /// if that is raised meanwhile.
    pub fn time_for_upstream(&self, now: Moment) -> Duration {
        match self.route.kind.is_stream() {
            true => self.deadline.of_caller().saturating_sub(now),
            false => self.remaining(now),
        }
    }

    /// Waits until the caller may be assumed to have left.
    pub async fn abandoned(&self) {
        let since = self.input_end.wait().await;
        Timer::at(since + HALF_CLOSE_GRACE).await;
    }

    /// Waits, from now on, until the caller may be assumed to have left within a response that
    /// began at `begun`, since nothing more was passed on. A caller that closed its sending
    /// side before only finished its request; the next write shows whether it has left.
    pub async fn left_since(&self, begun: Instant) {
        let waits = Instant::now();
        let since = self.input_end.wait().await;
        if since < begun {
            return pending().await;
        }
        Timer::at(since.max(waits) + HALF_CLOSE_GRACE).await;
    }

    /// Whether the caller may be assumed to have left.
    pub fn is_abandoned(&self) -> bool {
        let since = self.input_end.since();
        since.is_some_and(|at| at.elapsed() >= HALF_CLOSE_GRACE)
    }

    /// Whether its prompt has parts that other requests may share.
    pub fn has_shared_parts(&self) -> bool {
        self.features.iter().any(|f| matches!(f, Feature::Part(_)))
    }

    /// Ids of the parts of the prompt in hexadecimal, for the log.
    pub fn part_ids(&self) -> Vec<String> {
        let parts = self.head.prompt_parts.iter();
        parts.map(|p| format!("{:x}", p.id)).collect()
    }

    /// Regions that may serve the request; empty for all, `None` when the route
    /// and the account have no region in common.
    pub fn home_regions(&self) -> Option<Vec<domain::RegionId>> {
        let route = &self.route.home_regions;
        let account = self.account.as_ref().map_or(&[][..], |a| &a.home_regions);
        if route.is_empty() || account.is_empty() {
            return Some([route.as_slice(), account].concat());
        }
        let both: Vec<_> = route
            .iter()
            .filter(|r| account.contains(r))
            .cloned()
            .collect();
        (!both.is_empty()).then_some(both)
    }

    /// Priority of the request; 0 is the highest.
    pub fn priority(&self) -> u8 {
        let account = self.account.as_ref().and_then(|a| a.priority);
        account.unwrap_or(self.route.priority)
    }
}

/// Latest moment for the begin of a response, if the caller that arrived at `arrived` leaves
/// after `patience`.
pub fn answer_by(arrived: Moment, patience: Duration) -> Moment {
    arrived + patience - TRANSIT_TIME.min(patience / MAX_TRANSIT_SHARE)
}

/// Fingerprint of a request and the parts of its prompt that others may share: all but
/// the last.
pub fn features(head: &RequestHead, body: &[u8]) -> Vec<Feature> {
    let shared = head.prompt_parts.split_last().map_or(&[][..], |(_, s)| s);
    let parts = shared.iter().map(|p| Feature::Part(p.id));
    let request = Feature::Request(fingerprint(head, body));
    parts.chain([request]).collect()
}

/// Hash of host, path, key, body and prompt parts; equal for identical requests
/// of one caller.
pub fn fingerprint(head: &RequestHead, body: &[u8]) -> u64 {
    let mut hasher = DefaultHasher::new();
    head.host.hash(&mut hasher);
    head.path.hash(&mut hasher);
    head.api_key.hash(&mut hasher);
    body.hash(&mut hasher);
    for part in &head.prompt_parts {
        part.id.hash(&mut hasher);
    }
    hasher.finish()
}
