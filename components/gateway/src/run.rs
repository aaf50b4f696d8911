use bytes::Bytes;
use dispatch::EventSplitter;
use domain::Platform;
use transport::Pool;

use crate::lease::Lease;
use crate::send::UnreadResponse;

/// A stream from one upstream.
pub struct Run<P: Platform> {
    /// Its response.
    pub response: Box<UnreadResponse>,
    /// Slot at the upstream.
    pub lease: Lease<P>,
    /// Events that were read from it.
    pub events: EventSplitter,
}

/// What comes next in a stream.
pub enum ReadOutcome {
    /// Complete events.
    Events(Bytes),
    /// The proper end of the stream.
    End,
    /// The stream broke off.
    Broken(String),
}

impl<P: Platform> Run<P> {
    /// Reads until an event is complete or the stream ends. No byte is lost when the future
    /// is dropped.
    pub async fn read(&mut self) -> ReadOutcome {
        loop {
            if self.events.is_malformed() {
                let why = "the stream contains bytes that are no event";
                return ReadOutcome::Broken(why.to_owned());
            }
            match self.response.exchange.body.next().await {
                Ok(Some(bytes)) => {
                    if let Some(events) = self.events.push(&bytes) {
                        self.lease.event_received();
                        return ReadOutcome::Events(events);
                    }
                }
                Ok(None) => return self.end(),
                Err(e) => return ReadOutcome::Broken(e.to_string()),
            }
        }
    }

    fn end(&mut self) -> ReadOutcome {
        match self.events.take_rest().is_empty() {
            true => ReadOutcome::End,
            // An end within an event is a truncation.
            false => ReadOutcome::Broken("the stream ended within an event".to_owned()),
        }
    }

    /// Keeps the connection for other requests after the end of the stream, beside at most
    /// `max_idle` others.
    pub fn release(self, pool: &Pool, max_idle: usize) {
        let UnreadResponse {
            exchange,
            response_head,
            ..
        } = *self.response;
        if !response_head.closing {
            exchange
                .body
                .release(pool, response_head.keep_alive, max_idle);
        }
    }
}
