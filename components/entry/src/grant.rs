use std::net::SocketAddr;

use config::VmId;
use protocol::Ticket;
use wire::Problem;

/// An upstream that a request may be sent to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Target {
    /// Its VM.
    pub vm: VmId,
    /// Address of its agent.
    pub addr: SocketAddr,
    /// Proof that the agent was heard of lately.
    pub ticket: Ticket,
    /// Hash of the VM's id.
    pub key: u64,
}

/// What a waiting request is told when its turn comes.
#[derive(Debug)]
pub enum Grant {
    /// It may be sent to this upstream.
    Send(Target),
    /// It is given up, with the final answer.
    Refuse(Problem),
}
