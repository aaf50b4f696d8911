use compact_str::CompactString;
use serde::{Deserialize, Serialize};
use serde_with::{Bytes, serde_as};

use crate::{RunId, Ticket};

/// Requests the outcome of a run whose response is late or was lost. A run that has
/// not started is voided and never starts.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Settle {
    /// Id of the run.
    pub id: RunId,
    /// Ticket that the run was sent with.
    pub ticket: Ticket,
}

/// The complete response of an upstream.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamResponse {
    /// HTTP status.
    pub status: u16,
    /// Media type of the body.
    pub media_type: CompactString,
    /// Body.
    #[serde_as(as = "Bytes")]
    pub body: Vec<u8>,
}

/// Outcome of a run.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum SettleReply {
    /// It has not started and never will.
    Voided,
    /// It is running.
    Running,
    /// It ran and returned this response.
    Answered(UpstreamResponse),
    /// It may have run; its response is not available.
    Unknown,
}
