use std::io;
use std::sync::{Arc, Mutex, PoisonError};
use std::task::Poll;

/// Permission to write a request, which can be withdrawn until the first byte is written.
#[derive(Debug, Clone, Default)]
pub struct SendTicket(Arc<Mutex<TicketState>>);

#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
enum TicketState {
    #[default]
    Unused,
    Used,
    Withdrawn,
}

impl SendTicket {
    /// Withdraws the ticket if it is not used. Returns whether it is withdrawn: then no byte
    /// of the request was written, and none will be.
    pub fn withdraw(&self) -> bool {
        let mut state = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        if *state == TicketState::Unused {
            *state = TicketState::Withdrawn;
        }
        *state == TicketState::Withdrawn
    }

    /// Writes a part of the request, which is told whether it is the first one. The state is
    /// locked meanwhile, so that no withdrawal falls between the check and the write.
    pub(crate) fn write(
        &self,
        write: impl FnOnce(bool) -> Poll<io::Result<usize>>,
    ) -> Poll<io::Result<usize>> {
        let mut state = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        if *state == TicketState::Withdrawn {
            let text = "the request was withdrawn";
            return Poll::Ready(Err(io::Error::new(io::ErrorKind::ConnectionAborted, text)));
        }
        let written = write(*state == TicketState::Unused);
        if matches!(&written, Poll::Ready(Ok(bytes)) if *bytes > 0) {
            *state = TicketState::Used;
        }
        written
    }
}
