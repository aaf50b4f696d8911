use std::sync::Arc;

use compact_str::CompactString;
use dispatch::EventSplitter;
use domain::{Platform, now};
use transport::with_timeout;

use crate::attempt::Attempt;
use crate::caller_request::CallerRequest;
use crate::dispatcher::Dispatcher;
use crate::failed_exchange::FailedExchange;
use crate::lease::Lease;
use crate::run::{ReadOutcome, Run};
use crate::send::{NotRun, SendOutcome};
use crate::silence::STREAM_SILENCE;

/// A run that resumes a stream beside or after another one.
pub enum Successor<P: Platform> {
    /// It goes on with events, or with the end of the stream.
    Resumed(Box<Run<P>>, ReadOutcome),
    /// The upstream did not run it.
    NotRun(Lease<P>, NotRun),
    /// It may have run and failed.
    Failed,
}

impl<P: Platform> Successor<P> {
    /// Resumes a stream after the event `last_id` at the leased upstream, and waits until it
    /// goes on.
    pub async fn start(
        dispatcher: Arc<Dispatcher<P>>,
        request: Arc<CallerRequest>,
        lease: Lease<P>,
        last_id: Option<CompactString>,
    ) -> Self {
        let attempt = dispatcher
            .clone()
            .attempt(request.clone(), lease, last_id.clone());
        let Attempt { lease, outcome } = attempt.await;
        let response = match outcome {
            SendOutcome::Response(response) if response.exchange.head.status.is_success() => {
                response
            }
            SendOutcome::NotRun(why) => return Successor::NotRun(lease, why),
            SendOutcome::Unknown(failed) => {
                dispatcher.record_broken(&request, &lease, &failed);
                return Successor::Failed;
            }
            SendOutcome::Cancelled(failed) => {
                dispatcher.record_unknown(&request, &lease, &failed);
                return Successor::Failed;
            }
            SendOutcome::Response(_) | SendOutcome::TimedOut => {
                dispatcher
                    .scheduler
                    .with_upstream(&lease, |u| u.record_failure(now()));
                return Successor::Failed;
            }
        };
        let reused = response.reused;
        let mut run = Box::new(Run {
            response,
            lease,
            events: EventSplitter::after(last_id),
        });
        match read_watched(&dispatcher, &request, &mut run).await {
            ReadOutcome::Broken(why) => {
                let failed = FailedExchange::truncated(reused, why);
                dispatcher.record_broken(&request, &run.lease, &failed);
                Successor::Failed
            }
            outcome => Successor::Resumed(run, outcome),
        }
    }
}

/// Reads from the run, and records when its upstream is silent for too long.
pub async fn read_watched<P: Platform>(
    dispatcher: &Arc<Dispatcher<P>>,
    request: &CallerRequest,
    run: &mut Run<P>,
) -> ReadOutcome {
    let started = now();
    if let Some(outcome) = with_timeout(STREAM_SILENCE, run.read()).await {
        return outcome;
    }
    dispatcher.record_silence(request, &run.lease, started);
    let outcome = run.read().await;
    if !matches!(outcome, ReadOutcome::Broken(_)) {
        dispatcher.record_recovery(request, &run.lease);
    }
    outcome
}
