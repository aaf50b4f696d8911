use std::io;

use rustix::event::{PollFd, PollFlags, Timespec, poll};
use smol::net::TcpStream;

/// What the peer has done to a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum PeerState {
    /// It may still send.
    Open,
    /// It has closed its sending side.
    InputEnded,
    /// It has reset the connection.
    Reset,
}

impl PeerState {
    /// State of the connection `stream`; reads nothing.
    pub(crate) fn of(stream: &TcpStream) -> io::Result<Self> {
        let events = events(stream, PollFlags::RDHUP)?;
        if events.intersects(PollFlags::ERR | PollFlags::HUP) {
            return Ok(PeerState::Reset);
        }
        Ok(match events.contains(PollFlags::RDHUP) {
            true => PeerState::InputEnded,
            false => PeerState::Open,
        })
    }
}

/// Whether bytes, or the end of the input, wait to be read.
pub(crate) fn has_unread_input(stream: &TcpStream) -> io::Result<bool> {
    Ok(events(stream, PollFlags::IN)?.contains(PollFlags::IN))
}

fn events(stream: &TcpStream, interest: PollFlags) -> io::Result<PollFlags> {
    let mut fds = [PollFd::new(stream, interest)];
    poll(&mut fds, Some(&Timespec::default()))?;
    Ok(fds[0].revents())
}
