use std::sync::Arc;

use async_channel::Sender;
use bytes::Bytes;
use dispatch::EventSplitter;
use domain::{Platform, millis, now};
use serde_json::json;
use telemetry::{Outcome, decision};
use transport::{TransportError, within};

use crate::Cut;
use crate::dispatcher::Dispatcher;
use crate::hold::Hold;
use crate::job::Job;
use crate::send::Answered;

/// A stream on its way from upstreams to its caller.
pub struct Relay<P: Platform> {
    pub(crate) dispatcher: Arc<Dispatcher<P>>,
    pub(crate) job: Arc<Job>,
    pub(crate) answered: Box<Answered>,
    pub(crate) hold: Hold<P>,
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
    pub async fn run(mut self, parts: Sender<Result<Bytes, Cut>>) {
        let left = self.job.left(now());
        let whole = within(left, self.pass(&parts)).await;
        match whole {
            Some(true) => self.finish(),
            Some(false) => drop(parts.send(Err(Cut)).await),
            None => {
                self.log("stream timed out", Outcome::Failure, "no time is left");
                drop(parts.send(Err(Cut)).await);
            }
        }
    }

    /// True at the proper end of the stream.
    async fn pass(&mut self, parts: &Sender<Result<Bytes, Cut>>) -> bool {
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
                    self.dispatcher.desk.broke(&self.hold, self.job.fingerprint);
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
                    self.hold.started();
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
            Err(e @ TransportError::Timeout { .. }) => Next::Silent(e.to_string()),
            Err(e) => Next::Broken(e.to_string()),
        }
    }

    /// Goes on at another upstream after the last whole event.
    async fn resume(&mut self) -> bool {
        self.dispatcher.desk.note(&self.hold, |s| s.failed(now()));
        if !self.job.route.kind.is_retryable() {
            return false;
        }
        self.events.discard();
        let last = self.events.last_id().map(str::to_owned);
        let last = last.or_else(|| self.job.ask.last_event.as_deref().map(str::to_owned));
        let next = self
            .dispatcher
            .resume(&self.job, &mut self.tried, last.as_deref())
            .await;
        let Some((answered, hold)) = next else {
            return false;
        };
        metrics::counter!("turmerichold_streams_resumed_total").increment(1);
        self.log("stream resumed", Outcome::Change, &hold.target.id);
        self.answered = answered;
        self.hold = hold;
        true
    }

    fn finish(self) {
        let took = now().saturating_sub(self.job.arrived);
        self.dispatcher.answered(&self.job, &self.hold, took);
        let Answered { exchange, reply } = *self.answered;
        if !reply.closing {
            exchange
                .body
                .release(&self.dispatcher.pool, reply.keep_alive);
        }
    }

    fn log(&self, what: &'static str, outcome: Outcome, why: &str) {
        let fields = json!({
            "request": self.job.ask.attempt,
            "upstream": self.hold.target.id,
            "last_event": self.events.last_id(),
            "age_ms": millis(now().saturating_sub(self.job.arrived)),
            "why": why,
        });
        decision("relay", what, outcome, fields);
    }
}
