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
pub use settle::{Settle, SettleReply, UpstreamResponse};
pub use ticket::{TICKET_TTL, Ticket};

/// Paths of the agent's and the entry's HTTP interfaces.
pub mod paths {
    /// Agent: replies with its load, availability and a ticket.
    pub const HEARTBEAT: &str = "/internal/heartbeat";
    /// Agent: runs a request.
    pub const RUN: &str = "/internal/run";
    /// Agent: outcome of a run, which is voided if it has not started.
    pub const SETTLE: &str = "/internal/settle";
    /// Agent: a verified chunk, by digest.
    pub const CHUNK: &str = "/internal/chunk/";
    /// Agent: a complete verified model, for the engine on the same VM.
    pub const MODEL: &str = "/internal/model/";
    /// Entry: the configuration in force, as a [`config::Snapshot`].
    pub const SNAPSHOT: &str = "/internal/snapshot";
}

/// Headers of a run and of the response to it.
pub mod headers {
    /// On a run: its deadline on the agent's clock, in milliseconds. Processes of earlier
    /// releases do not know it.
    pub const EXPIRY_MS: &str = "run-expiry-ms";
    /// Id of the run that the response belongs to.
    pub const RUN_ID: &str = "run-id";
    /// Status of the upstream's response; absent on a refusal.
    pub const UPSTREAM_STATUS: &str = "upstream-status";
    /// Load of the upstream: limit, requests in flight and service time in microseconds.
    pub const LOAD: &str = "upstream-load";
    /// Id of the crash of the upstream that ended the run.
    pub const CRASH: &str = "upstream-crash";
    /// On a refusal: time until the upstream wants requests again, in milliseconds.
    pub const RETRY_MS: &str = "upstream-retry-ms";
    /// On the response of an upstream that turned the request away: its own value.
    pub const RETRY_AFTER: &str = "retry-after";
    /// Digest of the weights that the engine used, as the engine reports it.
    pub const MODEL_VERSION: &str = "model-version";
}
