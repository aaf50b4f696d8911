use std::sync::Arc;

use bytes::Bytes;
use domain::Platform;

use crate::attempt::Attempt;
use crate::body_buffers::Reservation;
use crate::caller_request::CallerRequest;
use crate::dispatcher::Dispatcher;
use crate::failed_exchange::FailedExchange;
use crate::lease::Lease;
use crate::run::{ReadOutcome, Run};
use crate::send::UnreadResponse;
use crate::successor::read_watched;
use crate::unanswered::Unanswered;

/// Longest response that is buffered before it is passed on, in bytes.
const MAX_RESPONSE: usize = 8 << 20;

/// A part of an attempt, which may run beside other attempts.
pub enum Stage<P: Platform> {
    /// Send the request to the leased upstream and wait for the head of its response.
    Send(Lease<P>),
    /// Read the body of a response that is buffered.
    Body(Lease<P>, Box<UnreadResponse>),
    /// Wait for the first events of a stream.
    Events(Run<P>),
}

/// How a part of an attempt ended.
pub enum StageEnd<P: Platform> {
    /// The attempt failed, or the head of its response has arrived.
    Sent(Attempt<P>),
    /// The body was read, or broke off.
    Body(
        Lease<P>,
        Box<UnreadResponse>,
        Result<BufferedBody, BodyError>,
    ),
    /// The stream went on or broke off.
    Events(Run<P>, ReadOutcome),
}

/// A complete body and its share of the memory for bodies.
pub struct BufferedBody {
    pub bytes: Bytes,
    pub memory: Reservation,
}

/// Why a body was not read to its end.
pub enum BodyError {
    /// There is no memory for it.
    NoMemory(String),
    /// It broke off.
    Broken(FailedExchange),
}

impl<P: Platform> Dispatcher<P> {
    /// Runs a part of an attempt.
    pub async fn run_stage(
        self: Arc<Self>,
        request: Arc<CallerRequest>,
        stage: Stage<P>,
    ) -> StageEnd<P> {
        match stage {
            Stage::Send(lease) => StageEnd::Sent(self.attempt(request, lease, None).await),
            Stage::Body(lease, mut response) => {
                let unanswered = Unanswered::new(&self, &request, &lease);
                let body = self.read_body(&request, &mut response).await;
                unanswered.settle();
                StageEnd::Body(lease, response, body)
            }
            Stage::Events(mut run) => {
                let outcome = read_watched(&self, &request, &mut run).await;
                StageEnd::Events(run, outcome)
            }
        }
    }

    /// Reads the complete body, so that a truncated one is detected and can be replaced.
    async fn read_body(
        &self,
        request: &CallerRequest,
        response: &mut UnreadResponse,
    ) -> Result<BufferedBody, BodyError> {
        let holder = request.memory.holder().clone();
        let mut memory = self.body_buffers.reserve(holder);
        let mut fits = true;
        let accept = |len| {
            fits = memory.grow_to(len).is_ok();
            fits && len <= MAX_RESPONSE
        };
        match response.exchange.body.collect_while(accept).await {
            Ok(bytes) => Ok(BufferedBody { bytes, memory }),
            Err(e) if !fits => Err(BodyError::NoMemory(e.to_string())),
            Err(e) => Err(BodyError::Broken(FailedExchange::new(&e, response.reused))),
        }
    }
}
