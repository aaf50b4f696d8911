use derive_more::Display;
use serde::{Deserialize, Serialize};

/// Why an agent did not run a request. Whatever the reason, the run has not
/// started and never will.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Serialize, Deserialize)]
pub enum Refusal {
    /// The upstream has reached its concurrency limit.
    #[display("the upstream is at its limit")]
    Full,
    /// The agent accepts no runs.
    #[display("the upstream accepts no new work")]
    Closed,
    /// The ticket belongs to another incarnation of the agent.
    #[display("the agent has restarted")]
    Restarted,
    /// The ticket has expired.
    #[display("the ticket has expired")]
    Expired,
    /// The deadline of the run has passed.
    #[display("its deadline has passed")]
    Late,
    /// The run was voided before it arrived.
    #[display("the run was voided")]
    Voided,
    /// The upstream cannot be reached.
    #[display("the upstream cannot be reached")]
    Unreachable,
    /// The request is suspected of crashing upstreams and may only run alone.
    #[display("the request may run only by itself")]
    Suspect,
}
