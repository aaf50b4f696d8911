use std::time::Duration;

use compact_str::CompactString;
use protocol::{RunId, RunRequest};

use crate::caller_request::CallerRequest;
use crate::interrupt::Interrupt;
use crate::placement::Target;
use crate::schedulers::SharedScheduler;

/// Time for which an answer may be under way to its caller, and the request was before. A
/// caller that is told in time does not leave.
const TRANSIT_TIME: Duration = Duration::from_millis(50);
/// Largest part of a caller's time that is kept for that.
const MAX_TRANSIT_SHARE: u32 = 8;

/// A request on its way.
pub struct Job<'a> {
    /// Scheduler of its service.
    pub scheduler: &'a SharedScheduler,
    /// The request.
    pub request: &'a CallerRequest,
    /// What ends it before its answer.
    pub interrupt: &'a Interrupt,
    /// Number of the request, unique within the entry.
    pub id: u64,
    /// Id with which the ids of its runs begin.
    pub name: CompactString,
    /// Hash of the request's content.
    pub fingerprint: u64,
    /// Its deadline on the entry's clock.
    pub deadline: Duration,
    /// Latest moment on the same clock for the begin of its answer: before its caller leaves.
    pub answer_by: Duration,
}

/// Latest moment for the begin of an answer, if the caller leaves after `patience` from `now`.
pub fn answer_by(now: Duration, patience: Duration) -> Duration {
    now + patience - TRANSIT_TIME.min(patience / MAX_TRANSIT_SHARE)
}

/// One attempt at a request.
#[derive(Debug, Clone, Copy)]
pub struct Attempt<'a> {
    /// Number of earlier runs sent for the request.
    pub sent: usize,
    /// Whether the request was in flight when an upstream crashed.
    pub suspect: bool,
    /// Keys of the upstreams that failed to run the request.
    pub tried: &'a [u64],
}

impl Job<'_> {
    /// The run of one attempt, whose deadline is `timeout` from now.
    pub fn new_run(&self, target: &Target, attempt: Attempt<'_>, timeout: Duration) -> RunRequest {
        let request = self.request;
        RunRequest {
            id: RunId::from(format!("{}-{}", self.name, attempt.sent)),
            ticket: target.ticket,
            method: request.method.clone(),
            path: request.path.clone(),
            media_type: request.media_type.clone(),
            account: request.account.clone(),
            idempotent: request.idempotent,
            priority: request.priority,
            remaining: timeout,
            fingerprint: self.fingerprint,
            suspect: attempt.suspect,
            body: request.body.clone(),
        }
    }
}
