//! Messages between entries and agents.

mod crash;
mod heartbeat;
mod load;
mod refusal;
mod run;
mod settle;
mod ticket;

pub use crash::Crash;
pub use heartbeat::{Availability, Heartbeat, HeartbeatReply, Progress};
pub use load::Load;
pub use refusal::Refusal;
pub use run::{RunId, RunRequest};
pub use settle::{Answer, Settle, SettleReply};
pub use ticket::{TICKET_TTL, Ticket};

/// Paths of the agent's and the entry's HTTP interfaces.
pub mod paths {
    /// Agent: load, door and ticket.
    pub const HEARTBEAT: &str = "/internal/heartbeat";
    /// Agent: runs a request.
    pub const RUN: &str = "/internal/run";
    /// Agent: settles what became of a run.
    pub const SETTLE: &str = "/internal/settle";
    /// Agent: a verified chunk, by digest.
    pub const CHUNK: &str = "/internal/chunk/";
    /// Agent: a complete verified model, for the engine beside it.
    pub const MODEL: &str = "/internal/model/";
    /// Entry: the configuration in force, as a message.
    pub const SNAPSHOT: &str = "/internal/snapshot";
}

/// Headers of a reply to a run.
pub mod headers {
    /// Id of the run that the reply belongs to.
    pub const RUN_ID: &str = "run-id";
    /// Status that the upstream answered with; absent on a refusal.
    pub const UPSTREAM_STATUS: &str = "upstream-status";
    /// Load of the agent: limit, requests in flight and service time in microseconds.
    pub const LOAD: &str = "upstream-load";
    /// Id of the upstream's crash that ended the run.
    pub const CRASH: &str = "upstream-crash";
    /// Model version and digest that answered.
    pub const MODEL_VERSION: &str = "model-version";
}
