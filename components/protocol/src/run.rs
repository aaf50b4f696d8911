use std::time::Duration;

use compact_str::CompactString;
use config::ClientAccountId;
use serde::{Deserialize, Serialize};
use serde_with::{Bytes, DurationMilliSeconds, serde_as};

use crate::Ticket;

/// Id of one attempt at a request, unique across entries and restarts.
pub type RunId = CompactString;

/// A request to be run by an agent's upstream.
#[serde_as]
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct RunRequest {
    /// Id of the attempt.
    pub id: RunId,
    /// Ticket issued by the agent.
    pub ticket: Ticket,
    /// HTTP method.
    pub method: CompactString,
    /// Path and query at the upstream.
    pub path: CompactString,
    /// Media type of the body.
    pub media_type: CompactString,
    /// Client account of the caller.
    pub account: ClientAccountId,
    /// Whether the request may be retried.
    pub idempotent: bool,
    /// Priority, 0 to 9.
    pub priority: u8,
    /// Time remaining until the deadline.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "left")]
    pub remaining: Duration,
    /// Hash of the request's content, the same for each attempt and retry.
    pub fingerprint: u64,
    /// Whether the request was in flight when an upstream crashed.
    pub suspect: bool,
    /// Body.
    #[serde_as(as = "Bytes")]
    pub body: Vec<u8>,
}
