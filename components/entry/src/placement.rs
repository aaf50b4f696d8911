use std::net::SocketAddr;

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
    /// Hash of the VM's id; identifies the upstream in the scheduler.
    pub key: u64,
}

/// Outcome of a request that was submitted to the scheduler.
#[derive(Debug)]
pub enum Placement {
    /// It is to be sent to this upstream, where it counts as in flight already.
    Assigned(Target),
    /// It is refused with this problem.
    Refused(Problem),
}
