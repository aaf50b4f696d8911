use derive_more::Display;
use serde::{Deserialize, Serialize};

/// Why an agent did not run a request. Each proves that the run did not start
/// and never will.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Serialize, Deserialize)]
pub enum Refusal {
    /// The upstream bears no more now.
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
    /// The run was voided before it arrived.
    #[display("the run was voided")]
    Voided,
    /// The upstream cannot be reached.
    #[display("the upstream cannot be reached")]
    Unreachable,
    /// The request is suspected of crashing upstreams and has to run alone.
    #[display("the request may run only by itself")]
    Suspect,
}
