use std::future::{Future, poll_fn};
use std::pin::Pin;
use std::task::Poll;

use protocol::RunId;
use requests::Claim;
use smol::Task;

use crate::exchange::ExchangeResult;
use crate::lease::Lease;
use crate::placement::Target;

/// A run that was sent to an agent.
pub struct SentRun {
    /// Id of the run.
    pub id: RunId,
    /// Where it was sent.
    pub target: Target,
    /// Its slot at the upstream.
    pub lease: Lease,
    /// Its claim, if it needs one.
    pub claim: Option<Claim>,
    /// The exchange; dropping it closes the connection to the agent.
    pub task: Task<ExchangeResult>,
}

impl SentRun {
    /// Removes and returns the first run that ends, with its result. Never resolves while there
    /// is none.
    pub async fn first_end(runs: &mut Vec<SentRun>) -> (SentRun, ExchangeResult) {
        poll_fn(|cx| {
            for i in 0..runs.len() {
                if let Poll::Ready(result) = Pin::new(&mut runs[i].task).poll(cx) {
                    return Poll::Ready((runs.swap_remove(i), result));
                }
            }
            Poll::Pending
        })
        .await
    }
}
