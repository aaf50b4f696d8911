use std::sync::Arc;

use async_channel::Sender;
use bytes::Bytes;
use dispatch::EventSplitter;
use domain::{Platform, millis, now};
use serde_json::json;
use telemetry::{Outcome, decision};
use transport::{TransportError, within};

use crate::ResponseAborted;
use crate::caller_request::CallerRequest;
use crate::dispatcher::Dispatcher;
use crate::lease::Lease;
use crate::send::Answered;

/// A stream on its way from upstreams to its caller.
pub struct Relay<P: Platform> {
    pub(crate) dispatcher: Arc<Dispatcher<P>>,
    pub(crate) request: Arc<CallerRequest>,
    pub(crate) answered: Box<Answered>,
    pub(crate) lease: Lease<P>,
    pub(crate) tried: Vec<domain::UpstreamId>,
    pub(crate) events: EventSplitter,
}

enum Next {
    Part(Bytes),
    Nothing,
    End,
    Broken(String),
    Silent(String),
}

impl<P: Platform> Relay<P> {
    /// Passes the stream on until its end, its break or its deadline.
    pub async fn run(mut self, parts: Sender<Result<Bytes, ResponseAborted>>) {
        let left = self.request.remaining(now());
        let whole = within(left, self.pass(&parts)).await;
        match whole {
            Some(true) => self.finish(),
            Some(false) => drop(parts.send(Err(ResponseAborted)).await),
            None => {
                self.log("stream timed out", Outcome::Failure, "no time is left");
                drop(parts.send(Err(ResponseAborted)).await);
            }
        }
    }

    /// True at the proper end of the stream.
    async fn pass(&mut self, parts: &Sender<Result<Bytes, ResponseAborted>>) -> bool {
        loop {
            match self.next().await {
                Next::Part(bytes) => {
                    if parts.send(Ok(bytes)).await.is_err() {
                        return false;
                    }
                }
                Next::Nothing => {}
                Next::End => return true,
                Next::Broken(why) => {
                    self.log("stream broke", Outcome::Failure, &why);
                    self.dispatcher
                        .scheduler
                        .exchange_broken(&self.lease, self.request.fingerprint);
                    if !self.resume().await {
                        return false;
                    }
                }
                Next::Silent(why) => {
                    self.log("stream silent", Outcome::Failure, &why);
                    if !self.resume().await {
                        return false;
                    }
                }
            }
        }
    }

    async fn next(&mut self) -> Next {
        match self.answered.exchange.body.next().await {
            Ok(Some(bytes)) => match self.events.push(&bytes) {
                Some(events) => {
                    self.lease.event_received();
                    Next::Part(events)
                }
                None => Next::Nothing,
            },
            Ok(None) => {
                let rest = self.events.rest();
                match rest.is_empty() {
                    true => Next::End,
                    // A proper end within an event is none.
                    false => Next::Broken("it ended within an event".to_owned()),
                }
            }
            Err(e @ TransportError::Silent { .. }) => Next::Silent(e.to_string()),
            Err(e) => Next::Broken(e.to_string()),
        }
    }

    /// Goes on at another upstream after the last whole event.
    async fn resume(&mut self) -> bool {
        self.dispatcher
            .scheduler
            .with_upstream(&self.lease, |s| s.failed(now()));
        if !self.request.route.kind.is_repeatable() {
            return false;
        }
        self.events.discard();
        let last = self.events.last_id().map(str::to_owned);
        let last = last.or_else(|| self.request.ask.last_event.as_deref().map(str::to_owned));
        let next = self
            .dispatcher
            .resume(&self.request, &mut self.tried, last.as_deref())
            .await;
        let Some((answered, lease)) = next else {
            return false;
        };
        metrics::counter!("turmerichold_streams_resumed_total").increment(1);
        self.log("stream resumed", Outcome::Change, &lease.target.id);
        self.answered = answered;
        self.lease = lease;
        true
    }

    fn finish(self) {
        let took = now().saturating_sub(self.request.arrived);
        self.dispatcher.answered(&self.request, &self.lease, took);
        let Answered { exchange, reply } = *self.answered;
        if !reply.closing {
            exchange.body.release(&self.dispatcher.pool, reply.keep);
        }
    }

    fn log(&self, what: &'static str, outcome: Outcome, why: &str) {
        let fields = json!({
            "request": self.request.ask.attempt,
            "upstream": self.lease.target.id,
            "last_event": self.events.last_id(),
            "age_ms": millis(now().saturating_sub(self.request.arrived)),
            "why": why,
        });
        decision("relay", what, outcome, fields);
    }
}
