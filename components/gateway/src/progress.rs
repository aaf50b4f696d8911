use dispatch::Attempts;
use domain::{Moment, now};
use http::Response;

use crate::ResponseBody;
use crate::refusal::Refusal;
use crate::shortage::Shortage;

/// How far a request has come.
pub struct Progress {
    /// Attempts so far.
    pub attempts: Attempts,
    /// When a slot for another attempt is looked for at the earliest.
    pub search_at: Moment,
    /// Number of bodies that are being read; no other attempt starts meanwhile.
    pub bodies: usize,
    /// Final response if no further attempt succeeds.
    refusal: Option<Refusal>,
    /// Response with status 5xx, returned if no further attempt succeeds.
    pub server_error: Option<Response<ResponseBody>>,
    /// Why no upstream had a free slot.
    pub shortage: Option<Shortage>,
}

impl Progress {
    /// No attempts yet, of which at most `max_runs` may run.
    pub fn new(max_runs: u32) -> Self {
        Progress {
            attempts: Attempts::new(max_runs),
            search_at: now(),
            bodies: 0,
            refusal: None,
            server_error: None,
            shortage: None,
        }
    }

    /// Waits until `at` before a slot for another attempt is looked for again.
    pub fn defer_search(&mut self, at: Moment) {
        self.search_at = at;
        self.attempts.forget_refusals();
    }

    /// Records why an attempt failed. A refusal for a request that may have run is not
    /// replaced.
    pub fn record_failure(&mut self, refusal: Refusal) {
        match self.refusal {
            Some(Refusal::Broken | Refusal::TimedOut | Refusal::Cancelled) => {}
            _ => self.refusal = Some(refusal),
        }
    }

    /// The refusal after the last failure, which was `last`. It does not claim that a
    /// request did not run whose attempts may have run.
    pub fn final_refusal(&self, last: Refusal) -> Refusal {
        match self.refusal.unwrap_or(last) {
            refusal @ (Refusal::Broken | Refusal::TimedOut | Refusal::Cancelled) => refusal,
            _ if self.attempts.may_have_run() => Refusal::Broken,
            refusal => refusal,
        }
    }

    /// The refusal when the caller may be assumed to have left.
    pub fn abandoned_refusal(&self) -> Refusal {
        match self.attempts.may_have_run() {
            true => Refusal::Cancelled,
            false => Refusal::Abandoned,
        }
    }

    /// The refusal at the deadline.
    pub fn late_refusal(&self) -> Refusal {
        match self.attempts.may_have_run() {
            true => Refusal::TimedOut,
            false => Refusal::OutOfTime,
        }
    }
}
