use compact_str::CompactString;
use serde::{Deserialize, Serialize};
use serde_with::{Bytes, serde_as};

use crate::{RunId, Ticket};

/// Asks what became of a run whose answer was lost. If the run has not
/// started, it is voided: it will never start.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Settle {
    /// The run.
    pub id: RunId,
    /// Ticket that the run was sent with.
    pub ticket: Ticket,
}

/// An upstream's complete answer.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    /// HTTP status.
    pub status: u16,
    /// Media type of the body.
    pub media_type: CompactString,
    /// Body.
    #[serde_as(as = "Bytes")]
    pub body: Vec<u8>,
}

/// What became of a run.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum SettleReply {
    /// It did not run and never will.
    Voided,
    /// It is running.
    Running,
    /// It ran and this is its answer.
    Answered(Answer),
    /// It may have run, but its answer is not to be had.
    Unknown,
}
