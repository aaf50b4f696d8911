use std::time::Duration;

use serde::{Deserialize, Serialize};

/// How long after its issue a ticket admits a run.
pub const TICKET_TTL: Duration = Duration::from_secs(10);

/// Proof that the holder has lately heard from an agent.
///
/// The agent issues it on its own clock and admits no run without a valid one,
/// so a run that arrives late is refused without any agreement on time.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ticket {
    /// Incarnation of the agent's process.
    pub incarnation: u64,
    /// Milliseconds on the agent's clock when the ticket was issued.
    pub issued_ms: u64,
}

impl Ticket {
    /// Time on the agent's clock after which no run is admitted with the ticket.
    pub fn expiry(&self) -> Duration {
        Duration::from_millis(self.issued_ms) + TICKET_TTL
    }
}
