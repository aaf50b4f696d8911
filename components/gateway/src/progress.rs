use dispatch::{AttemptEnd, Attempts};
use domain::{Moment, Platform, UpstreamId, now};
use http::Response;
use transport::SendTicket;

use crate::ResponseBody;
use crate::lease::Lease;
use crate::refusal::Refusal;
use crate::shortage::Shortage;

/// How far a request has come.
pub struct Progress {
    /// Attempts so far.
    pub attempts: Attempts,
    /// Tickets of the attempts that wait for the head of their response.
    in_flight: Vec<(UpstreamId, SendTicket)>,
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
            in_flight: Vec::new(),
            search_at: now(),
            bodies: 0,
            refusal: None,
            server_error: None,
            shortage: None,
        }
    }

    /// Records an attempt at the leased upstream.
    pub fn start<P: Platform>(&mut self, lease: &Lease<P>) {
        let upstream = lease.target.id.clone();
        self.attempts.start(upstream.clone());
        self.in_flight.push((upstream, lease.ticket.clone()));
    }

    /// Records that the attempt has ended, or that its response has begun.
    pub fn end<P: Platform>(&mut self, lease: &Lease<P>) {
        // No two attempts at one upstream are in flight.
        self.in_flight
            .retain(|(upstream, _)| *upstream != lease.target.id);
    }

    /// Withdraws the attempts in flight of which nothing was written: they will not run.
    fn withdraw(&mut self) {
        for (upstream, ticket) in self.in_flight.drain(..) {
            if ticket.withdraw() {
                self.attempts.did_not_run(&upstream, AttemptEnd::Unsent);
            }
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
    pub fn final_refusal(&mut self, last: Refusal) -> Refusal {
        self.withdraw();
        match self.refusal.unwrap_or(last) {
            refusal @ (Refusal::Broken | Refusal::TimedOut | Refusal::Cancelled) => refusal,
            _ if self.attempts.may_have_run() => Refusal::Broken,
            refusal => refusal,
        }
    }

    /// The refusal when the caller may be assumed to have left.
    pub fn abandoned_refusal(&mut self) -> Refusal {
        self.withdraw();
        match self.attempts.may_have_run() {
            true => Refusal::Cancelled,
            false => Refusal::Abandoned,
        }
    }

    /// The refusal at the deadline.
    pub fn late_refusal(&mut self) -> Refusal {
        self.withdraw();
        match self.attempts.may_have_run() {
            true => Refusal::TimedOut,
            false => Refusal::OutOfTime,
        }
    }
}
