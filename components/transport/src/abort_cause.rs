use std::error::Error;
use std::io;

/// How an exchange was aborted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AbortCause {
    /// The connection ended before any byte of the request was written.
    Unsent,
    /// The peer reset the connection before the response had a complete head.
    Reset,
    /// The peer closed the connection before the response had a complete head.
    Closed,
    /// The connection ended within the body of the response.
    Truncated,
    /// The request or the response is not valid HTTP.
    Malformed,
}

impl AbortCause {
    /// Name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            AbortCause::Unsent => "unsent",
            AbortCause::Reset => "reset",
            AbortCause::Closed => "closed",
            AbortCause::Truncated => "truncated",
            AbortCause::Malformed => "malformed",
        }
    }

    /// Cause of an error that occurred before the head of the response was complete.
    pub(crate) fn before_head(error: &hyper::Error) -> Self {
        if error.is_parse() || error.is_user() {
            return AbortCause::Malformed;
        }
        match io_kind(error) {
            Some(io::ErrorKind::ConnectionReset | io::ErrorKind::BrokenPipe) => AbortCause::Reset,
            // Bytes without end that contain no response.
            Some(io::ErrorKind::InvalidData) => AbortCause::Malformed,
            _ => AbortCause::Closed,
        }
    }
}

/// Kind of the I/O error that caused `error`, if one did.
fn io_kind(error: &dyn Error) -> Option<io::ErrorKind> {
    let mut source = error.source();
    while let Some(cause) = source {
        if let Some(e) = cause.downcast_ref::<io::Error>() {
            return Some(e.kind());
        }
        source = cause.source();
    }
    None
}
