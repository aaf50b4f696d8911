use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Time after its issue during which a ticket admits runs.
pub const TICKET_TTL: Duration = Duration::from_secs(10);

/// Permission to send runs to an agent, issued with each reply to a heartbeat.
///
/// The agent dates a ticket on its own clock and admits no run without a valid
/// one. It can thus refuse late runs without synchronised clocks.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ticket {
    /// Incarnation of the agent's process.
    pub incarnation: u64,
    /// Time of issue on the agent's clock, in milliseconds.
    pub issued_ms: u64,
}

impl Ticket {
    /// Time on the agent's clock after which the ticket admits no run.
    pub fn expiry(&self) -> Duration {
        Duration::from_millis(self.issued_ms) + TICKET_TTL
    }
}
