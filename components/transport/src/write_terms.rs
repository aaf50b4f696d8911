use std::io;
use std::time::Instant;

use domain::SendGate;

use crate::SendTicket;

/// Conditions under which a request may still be written.
#[derive(Debug, Clone, Default)]
pub struct WriteTerms {
    /// Latest moment for each write.
    pub latest: Option<Instant>,
    /// Gate that has to be open when the first byte is written.
    pub gate: Option<SendGate>,
    /// Ticket that must not have been withdrawn before the first byte is written.
    pub ticket: SendTicket,
}

impl WriteTerms {
    /// Fails if they do not hold for a write, which is the first one of the request or not.
    pub(crate) fn check(&self, is_first: bool) -> io::Result<()> {
        if self.latest.is_some_and(|latest| Instant::now() > latest) {
            return Err(io::Error::new(
                io::ErrorKind::TimedOut,
                "the request is too late to be written",
            ));
        }
        let gate = self.gate.as_ref().filter(|_| is_first);
        if gate.is_some_and(|g| !g.is_open(domain::now())) {
            return Err(io::Error::new(
                io::ErrorKind::ConnectionRefused,
                "the peer accepts no further requests",
            ));
        }
        Ok(())
    }
}

impl From<Instant> for WriteTerms {
    fn from(latest: Instant) -> Self {
        WriteTerms {
            latest: Some(latest),
            ..WriteTerms::default()
        }
    }
}
