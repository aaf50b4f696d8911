use std::sync::Arc;

use async_channel::Sender;
use bytes::Bytes;
use dispatch::{ConnectionEnd, EventSplitter};
use domain::{Moment, Platform, millis, now};
use serde_json::json;
use telemetry::{Outcome, decision};
use transport::{TransportError, with_timeout};

use crate::ResponseAborted;
use crate::caller_request::CallerRequest;
use crate::dispatcher::Dispatcher;
use crate::lease::Lease;
use crate::send::{STREAM_TIMEOUT, UnreadResponse};

/// Passes a stream from upstreams to its caller and resumes it when it breaks.
pub struct Relay<P: Platform> {
    pub(crate) dispatcher: Arc<Dispatcher<P>>,
    pub(crate) request: Arc<CallerRequest>,
    pub(crate) response: Box<UnreadResponse>,
    pub(crate) lease: Lease<P>,
    pub(crate) tried: Vec<domain::UpstreamId>,
    /// Number of upstreams that may have run the request.
    pub(crate) runs: u32,
    pub(crate) events: EventSplitter,
    /// Latest moment for the next event; bytes that complete none do not extend it.
    pub(crate) event_due: Moment,
}

/// Result of one read from the upstream.
enum ReadOutcome {
    /// Complete events.
    Events(Bytes),
    /// No complete event yet.
    Incomplete,
    /// Proper end of the stream.
    End,
    /// The stream broke off.
    Broken(String),
    /// The upstream was silent for too long.
    Silent(String),
}

impl<P: Platform> Relay<P> {
    /// Passes the stream on until it ends, cannot be resumed or reaches the deadline.
    pub async fn run(mut self, chunks: Sender<Result<Bytes, ResponseAborted>>) {
        let remaining = self.request.remaining(now());
        let complete = with_timeout(remaining, self.forward(&chunks)).await;
        match complete {
            Some(true) => self.finish(),
            Some(false) => drop(chunks.send(Err(ResponseAborted)).await),
            None => {
                self.log("stream timed out", Outcome::Failure, "no time is left");
                drop(chunks.send(Err(ResponseAborted)).await);
            }
        }
    }

    /// Forwards events; true at the proper end of the stream, false if it is cut
    /// short.
    async fn forward(&mut self, chunks: &Sender<Result<Bytes, ResponseAborted>>) -> bool {
        loop {
            match self.read().await {
                ReadOutcome::Events(bytes) => {
                    if chunks.send(Ok(bytes)).await.is_err() {
                        return false;
                    }
                    // The wait for a slow caller does not count.
                    self.event_due = now() + STREAM_TIMEOUT;
                }
                ReadOutcome::Incomplete => {}
                ReadOutcome::End => return true,
                ReadOutcome::Broken(why) => {
                    self.log("stream broke", Outcome::Failure, &why);
                    self.dispatcher.exchange_ended(
                        &self.request,
                        &self.lease,
                        ConnectionEnd::Broken,
                    );
                    if !self.resume().await {
                        return false;
                    }
                }
                ReadOutcome::Silent(why) => {
                    self.log("stream silent", Outcome::Failure, &why);
                    if !self.resume().await {
                        return false;
                    }
                }
            }
        }
    }

    async fn read(&mut self) -> ReadOutcome {
        if self.events.is_malformed() {
            return ReadOutcome::Broken("the stream contains bytes that are no event".to_owned());
        }
        let limit = self.event_due.saturating_sub(now());
        let next = with_timeout(limit, self.response.exchange.body.next()).await;
        let Some(next) = next else {
            return ReadOutcome::Silent(format!("no event for {STREAM_TIMEOUT:?}"));
        };
        match next {
            Ok(Some(bytes)) => match self.events.push(&bytes) {
                Some(events) => {
                    self.lease.event_received();
                    ReadOutcome::Events(events)
                }
                None => ReadOutcome::Incomplete,
            },
            Ok(None) => {
                let rest = self.events.take_rest();
                match rest.is_empty() {
                    true => ReadOutcome::End,
                    // An end within an event is a truncation.
                    false => ReadOutcome::Broken("the stream ended within an event".to_owned()),
                }
            }
            Err(e @ TransportError::Timeout { .. }) => ReadOutcome::Silent(e.to_string()),
            Err(e) => ReadOutcome::Broken(e.to_string()),
        }
    }

    /// Continues after the last complete event at another upstream; false if that is
    /// not possible.
    async fn resume(&mut self) -> bool {
        self.dispatcher
            .scheduler
            .with_upstream(&self.lease, |u| u.record_failure(now()));
        if !self.request.route.kind.is_retryable() {
            return false;
        }
        self.events.discard();
        let last_id = self.events.last_id().map(str::to_owned);
        let last_id =
            last_id.or_else(|| self.request.head.last_event.as_deref().map(str::to_owned));
        let next = self
            .dispatcher
            .resume(
                &self.request,
                &mut self.tried,
                &mut self.runs,
                last_id.as_deref(),
            )
            .await;
        let Some((response, lease)) = next else {
            return false;
        };
        metrics::counter!("turmerichold_streams_resumed_total").increment(1);
        self.log("stream resumed", Outcome::Change, &lease.target.id);
        self.response = response;
        self.lease = lease;
        self.event_due = now() + STREAM_TIMEOUT;
        true
    }

    fn finish(self) {
        let took = now().saturating_sub(self.request.arrived);
        self.dispatcher
            .record_completion(&self.request, &self.lease, took);
        self.dispatcher
            .request_completed(&self.request, &self.lease, &self.response.exchange.head);
        let UnreadResponse {
            exchange,
            response_head,
            ..
        } = *self.response;
        if !response_head.closing {
            let max_idle = self.dispatcher.scheduler.idle_share(&self.lease);
            exchange.body.release(
                &self.dispatcher.connections,
                response_head.keep_alive,
                max_idle,
            );
        }
    }

    fn log(&self, what: &'static str, outcome: Outcome, why: &str) {
        let fields = json!({
            "request": self.request.head.attempt,
            "upstream": self.lease.target.id,
            "parts": self.request.part_ids(),
            "last_event": self.events.last_id(),
            "age_ms": millis(now().saturating_sub(self.request.arrived)),
            "why": why,
        });
        decision("relay", what, outcome, fields);
    }
}
