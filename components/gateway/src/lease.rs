use std::future::pending;
use std::sync::Arc;
use std::time::Duration;

use dispatch::PrefixGuess;
use domain::{HeldModel, Moment, Platform, SendGate, ServiceId, Target, WeightVersion, now};
use smol::Timer;
use transport::SendTicket;

use crate::scheduler::Scheduler;

/// Interval between two looks for newer weights; they come into force seconds after they are
/// declared.
const VERSION_INTERVAL: Duration = Duration::from_millis(250);

/// A request's slot at an upstream; released when dropped.
pub struct Lease<P: Platform> {
    pub(crate) scheduler: Arc<Scheduler<P>>,
    /// Service of the upstream.
    pub service: ServiceId,
    /// Id and address of the upstream.
    pub target: Target,
    /// Number that identifies the upstream in notices between entries.
    pub tag: u32,
    /// Start time of the upstream; distinguishes it from an earlier process with the
    /// same id.
    pub started_ms: u64,
    /// Whether the upstream accepts requests, by its own statements.
    pub gate: SendGate,
    /// Permission to write the request.
    pub ticket: SendTicket,
    /// Weight version of the upstream, which it must still have when it begins;
    /// `None` if any version will do.
    pub weight_version: Option<WeightVersion>,
    /// Weights that the upstream held when the slot was reserved, if the request needs some.
    pub held: Option<HeldModel>,
    /// Latest moment for the upstream to begin the request: after it, the weights of
    /// the upstream are too old.
    pub begin_by: Option<domain::Moment>,
    /// Time from that moment to the deadline of the newer weights.
    pub begin_margin: Duration,
    /// Prompt tokens that the upstream has not processed yet.
    pub prefill_tokens: u32,
    /// What is assumed about the prompt until the upstream has processed it, if upstreams
    /// retain prompts.
    pub guess: Option<Box<PrefixGuess>>,
    /// When the slot was reserved.
    pub leased_at: domain::Moment,
    /// When the first event of the response arrived.
    pub first_event: Option<domain::Moment>,
}

impl<P: Platform> Lease<P> {
    /// Waits until the weights of the upstream are too old to begin the request; also if
    /// newer ones are declared only now. Returns since when they are.
    pub async fn until_outdated(&self) -> Moment {
        let Some(held) = &self.held else {
            return pending().await;
        };
        loop {
            let begin_by = self.scheduler.begin_by(held, self.begin_margin);
            let left = begin_by.map(|by| by.saturating_sub(now()));
            match begin_by.filter(|_| left == Some(Duration::ZERO)) {
                Some(begin_by) => return begin_by,
                None => Timer::after(left.unwrap_or(VERSION_INTERVAL).min(VERSION_INTERVAL)).await,
            };
        }
    }

    /// Records that an event has arrived, which is a sign of life of the upstream; the first
    /// one shows that the upstream has processed the prompt.
    pub fn event_received(&mut self) {
        let now = domain::now();
        self.first_event.get_or_insert(now);
        let prefill_tokens = std::mem::take(&mut self.prefill_tokens);
        self.scheduler.with_upstream(self, |u| {
            u.record_heard(now);
            u.record_prefill(prefill_tokens);
        });
        if let Some(guess) = self.guess.take() {
            let waited = now.saturating_sub(self.leased_at);
            self.scheduler.record_prompt(self, &guess, waited);
        }
        if prefill_tokens > 0 {
            self.scheduler.serve_queue(&self.service);
        }
    }
}

impl<P: Platform> Drop for Lease<P> {
    fn drop(&mut self) {
        let prefill_tokens = self.prefill_tokens;
        self.scheduler.with_upstream(self, |u| {
            u.record_prefill(prefill_tokens);
            u.record_end();
        });
        self.scheduler.serve_queue(&self.service);
    }
}
