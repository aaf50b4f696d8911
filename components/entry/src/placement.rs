use std::net::SocketAddr;
use std::time::Duration;

use config::VmId;
use protocol::Ticket;
use wire::Problem;

/// An upstream that a request is assigned to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Target {
    /// VM of the upstream.
    pub vm: VmId,
    /// Address of its agent.
    pub addr: SocketAddr,
    /// Ticket from the agent's latest heartbeat reply.
    pub ticket: Ticket,
    /// Time on the entry's clock before which the ticket was not issued.
    pub ticket_at: Duration,
    /// Hash of the VM's id; identifies the upstream in the scheduler.
    pub key: u64,
}

impl Target {
    /// The latest moment on the agent's clock for a deadline on the entry's clock. A run that
    /// is read late, by an agent that stood still, is thus not begun for nobody.
    pub fn expiry(&self, deadline: Duration) -> Duration {
        let issued_at = Duration::from_millis(self.ticket.issued_ms);
        issued_at + deadline.saturating_sub(self.ticket_at)
    }
}

/// Outcome of a request that was submitted to the scheduler.
#[derive(Debug)]
pub enum Placement {
    /// It is to be sent to this upstream, where it counts as in flight already.
    Assigned(Target),
    /// It is refused with this problem.
    Refused(Problem),
}
