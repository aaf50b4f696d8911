use std::time::Instant;

use domain::SendGate;

/// Conditions under which a request may still be written.
#[derive(Debug, Clone, Default)]
pub struct WriteTerms {
    /// Latest moment for each write.
    pub latest: Option<Instant>,
    /// Gate that has to be open when the first byte is written.
    pub gate: Option<SendGate>,
}

impl From<Instant> for WriteTerms {
    fn from(latest: Instant) -> Self {
        WriteTerms {
            latest: Some(latest),
            gate: None,
        }
    }
}
