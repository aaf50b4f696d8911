use std::future::{Future, pending};
use std::sync::Arc;
use std::time::Instant;

use async_channel::Sender;
use bytes::Bytes;
use compact_str::CompactString;
use dispatch::{Attempts, ExchangeEnd};
use domain::{Moment, Platform, millis, now};
use futures_lite::FutureExt;
use serde_json::json;
use smol::Timer;
use telemetry::{Outcome, decision};
use transport::with_timeout;

use crate::ResponseAborted;
use crate::caller_request::CallerRequest;
use crate::cut_cause::CutCause;
use crate::dispatcher::Dispatcher;
use crate::lease::Lease;
use crate::race::Race;
use crate::run::{ReadOutcome, Run};
use crate::silence::STREAM_SILENCE;
use crate::successor::Successor;

/// Passes a stream from upstreams to its caller. While its upstream is silent, another one
/// resumes it; the first of both that goes on is used.
pub struct Relay<P: Platform> {
    pub(crate) dispatcher: Arc<Dispatcher<P>>,
    pub(crate) request: Arc<CallerRequest>,
    /// The run that the last events came from; `None` once it broke.
    pub(crate) run: Option<Run<P>>,
    /// What was read of it already.
    pub(crate) first: Option<ReadOutcome>,
    /// Id of the last event that was passed on.
    pub(crate) last_id: Option<CompactString>,
    /// When the last events were passed on, or the request arrived.
    pub(crate) passed_at: Moment,
    pub(crate) attempts: Attempts,
}

/// What to do next.
enum Step {
    /// Pass on events.
    Forward(Bytes),
    /// End the response.
    Finish,
    /// Cut the response short.
    Cut,
    /// The same, as the caller may be assumed to have left.
    Abandon,
}

/// What happens while another run is looked for.
enum RaceStep<P: Platform> {
    /// The run that the last events came from went on or broke.
    Kept(ReadOutcome),
    /// Another run went on or failed.
    Ended(Successor<P>),
    /// A slot for another run.
    Placed(Lease<P>),
    /// No other run may start now.
    NotPlaced,
}

impl<P: Platform> Relay<P> {
    /// Passes the stream on until it ends, cannot be resumed or reaches the deadline.
    pub async fn run(mut self, chunks: Sender<Result<Bytes, ResponseAborted>>) {
        let (dispatcher, request) = (self.dispatcher.clone(), self.request.clone());
        let forwarded = async { self.forward(&chunks).await };
        let expired = async {
            dispatcher.until_expired(&request).await;
            Err(CutCause::Deadline)
        };
        let ending = async {
            dispatcher.ending.wait().await;
            Err(CutCause::Stop)
        };
        let Err(cause) = forwarded.or(expired).or(ending).await else {
            return self.finish();
        };
        match cause {
            CutCause::Deadline => self.log("stream timed out", Outcome::Failure, "no time is left"),
            CutCause::Stop => self.log("stream stopped", Outcome::Failure, "the process ends"),
            CutCause::Upstream | CutCause::CallerLeft | CutCause::Connection => {}
        }
        // The upstream stops now; a caller that does not read takes the error later.
        self.run = None;
        drop(chunks.send(Err(ResponseAborted { cause })).await);
    }

    /// Forwards events until the proper end of the stream; fails if it is cut short.
    async fn forward(
        &mut self,
        chunks: &Sender<Result<Bytes, ResponseAborted>>,
    ) -> Result<(), CutCause> {
        let request = self.request.clone();
        let begun = Instant::now();
        loop {
            let left = async {
                request.left_since(begun).await;
                Step::Abandon
            };
            match self.next().or(left).await {
                Step::Forward(events) => {
                    if chunks.send(Ok(events)).await.is_err() {
                        return Err(CutCause::CallerLeft);
                    }
                    self.passed_at = now();
                }
                Step::Finish => return Ok(()),
                Step::Cut => return Err(CutCause::Upstream),
                Step::Abandon => {
                    self.log(
                        "caller left",
                        Outcome::Change,
                        "its input ended, and no event",
                    );
                    return Err(CutCause::CallerLeft);
                }
            }
            self.attempts.record_progress();
        }
    }

    /// Waits for the next events. The wait for a slow caller does not count as silence.
    async fn next(&mut self) -> Step {
        if let Some(first) = self.first.take() {
            return self.step_after(first);
        }
        let Some(run) = &mut self.run else {
            return self.race().await;
        };
        let started = now();
        match with_timeout(STREAM_SILENCE, run.read()).await {
            Some(ReadOutcome::Broken(why)) => self.record_break(&why),
            Some(outcome) => return self.step_after(outcome),
            None => {
                self.log("stream silent", Outcome::Failure, "no event");
                self.with_run(|dispatcher, request, run| {
                    dispatcher.record_silence(request, &run.lease, started)
                });
            }
        }
        self.race().await
    }

    /// Waits for the next events of the run, unless it broke, and of others that start after
    /// the last event that was passed on. Only the first that goes on is used.
    async fn race(&mut self) -> Step {
        let mut successors = Race::default();
        let mut search_at = now();
        loop {
            match self.race_step(&mut successors, search_at).await {
                RaceStep::Kept(ReadOutcome::Broken(why)) => self.record_break(&why),
                RaceStep::Kept(outcome) => {
                    self.with_run(|dispatcher, request, run| {
                        dispatcher.record_recovery(request, &run.lease)
                    });
                    return self.step_after(outcome);
                }
                RaceStep::Ended(Successor::Resumed(run, outcome)) => {
                    self.log("stream resumed", Outcome::Change, &run.lease.target.id);
                    metrics::counter!("turmerichold_streams_resumed_total").increment(1);
                    self.run = Some(*run);
                    return self.step_after(outcome);
                }
                RaceStep::Ended(Successor::NotRun(lease, why)) => {
                    self.dispatcher
                        .record_not_run(&self.request, &lease, why, &mut self.attempts);
                }
                RaceStep::Ended(Successor::Failed) => {}
                RaceStep::Placed(lease) => {
                    self.attempts.start(lease.target.id.clone());
                    let (dispatcher, request) = (self.dispatcher.clone(), self.request.clone());
                    let last_id = self.last_id.clone();
                    let successor = Successor::start(dispatcher, request, lease, last_id);
                    successors.push(now(), successor);
                }
                RaceStep::NotPlaced if self.run.is_none() && successors.is_empty() => {
                    return Step::Cut;
                }
                RaceStep::NotPlaced => {
                    search_at = now() + STREAM_SILENCE;
                    self.attempts.forget_refusals();
                }
            }
        }
    }

    async fn race_step<F>(&mut self, successors: &mut Race<F>, search_at: Moment) -> RaceStep<P>
    where
        F: Future<Output = Successor<P>>,
    {
        let is_broken = self.run.is_none() && successors.is_empty();
        if is_broken {
            self.attempts.forget_refusals();
        }
        let resume_by = is_broken.then(|| self.request.next_event_by(self.passed_at));
        let search_at = match successors.last_start() {
            None if self.run.is_none() => now(),
            None => search_at,
            // It is looked for another slot once the last run is silent too.
            Some(started) => search_at.max(started + STREAM_SILENCE),
        };
        let run = self.run.as_mut();
        let kept = async {
            match run {
                Some(run) => RaceStep::Kept(run.read().await),
                None => pending().await,
            }
        };
        let ended = async { RaceStep::Ended(successors.next().await) };
        let (dispatcher, request) = (&self.dispatcher, &self.request);
        let attempts = &self.attempts;
        let search = async {
            Timer::after(search_at.saturating_sub(now())).await;
            if !request.route.kind.is_retryable() {
                return RaceStep::NotPlaced;
            }
            match dispatcher.place(request, attempts, resume_by).await {
                Ok(lease) => RaceStep::Placed(lease),
                Err(none) => {
                    dispatcher.log_not_placed(request, &none);
                    RaceStep::NotPlaced
                }
            }
        };
        kept.or(ended).or(search).await
    }

    /// The step after the run went on.
    fn step_after(&mut self, outcome: ReadOutcome) -> Step {
        match outcome {
            ReadOutcome::Events(events) => {
                let last_id = self.run.as_ref().and_then(|r| r.events.last_id());
                if let Some(last_id) = last_id {
                    self.last_id = Some(last_id.into());
                }
                Step::Forward(events)
            }
            ReadOutcome::End => Step::Finish,
            ReadOutcome::Broken(_) => Step::Cut,
        }
    }

    /// Records that the run broke, and closes its connection.
    fn record_break(&mut self, why: &str) {
        self.log("stream broke", Outcome::Failure, why);
        self.with_run(|dispatcher, request, run| {
            dispatcher.exchange_ended(request, &run.lease, ExchangeEnd::Broken);
            dispatcher
                .scheduler
                .with_upstream(&run.lease, |u| u.record_failure(now()));
        });
        self.run = None;
    }

    fn with_run(&self, act: impl FnOnce(&Arc<Dispatcher<P>>, &CallerRequest, &Run<P>)) {
        if let Some(run) = &self.run {
            act(&self.dispatcher, &self.request, run);
        }
    }

    fn finish(self) {
        let took = now().saturating_sub(self.request.arrived);
        let Some(run) = self.run else {
            return;
        };
        let dispatcher = &self.dispatcher;
        dispatcher.record_completion(&self.request, &run.lease, took);
        let head = &run.response.exchange.head;
        dispatcher.request_completed(&self.request, &run.lease, head);
        let max_idle = dispatcher.scheduler.idle_share(&run.lease);
        run.release(&dispatcher.connections, max_idle);
    }

    fn log(&self, what: &'static str, outcome: Outcome, why: &str) {
        let fields = json!({
            "request": self.request.head.attempt,
            "upstream": self.run.as_ref().map(|r| &r.lease.target.id),
            "parts": self.request.part_ids(),
            "last_event": self.last_id,
            "age_ms": millis(now().saturating_sub(self.request.arrived)),
            "why": why,
        });
        decision("relay", what, outcome, fields);
    }
}
