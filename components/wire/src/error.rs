use std::net::SocketAddr;

use derive_more::{Display, Error};

/// Why an exchange between two processes did not complete.
#[derive(Debug, Display, Error)]
pub enum WireError {
    /// No connection was established, so no byte of the request was sent.
    #[display("wire: cannot connect to {addr}: {reason}; check that the process is up")]
    Connect {
        /// Address of the peer.
        addr: SocketAddr,
        /// Error of the operating system, or the timeout.
        reason: String,
        /// Whether no process listens at the address.
        refused: bool,
    },
    /// The head of the response did not arrive in time.
    #[display("wire: no response from {addr} within {millis} ms; retry on a new connection")]
    Timeout {
        /// Address of the peer.
        addr: SocketAddr,
        /// Timeout in milliseconds.
        millis: u128,
    },
    /// The connection ended early, or the response was malformed or had an error status.
    #[display("wire: exchange with {addr} failed: {reason}; retry on a new connection")]
    Aborted {
        /// Address of the peer.
        addr: SocketAddr,
        /// What went wrong.
        reason: String,
    },
    /// A body is longer than the receiver accepts.
    #[display("wire: body is longer than {limit} bytes; send a shorter one")]
    BodyTooLong {
        /// The limit in bytes.
        limit: usize,
    },
    /// A body does not decode to the expected message.
    #[display("wire: message does not decode: {reason}; check that both ends run one release")]
    Decode {
        /// Error of the decoder.
        reason: String,
    },
}

impl WireError {
    /// Whether no process listens at the address of the peer.
    pub fn is_refused(&self) -> bool {
        matches!(self, WireError::Connect { refused: true, .. })
    }

    /// Whether the peer was silent, so that it may still reply to another request.
    pub fn is_silence(&self) -> bool {
        matches!(
            self,
            WireError::Timeout { .. } | WireError::Connect { refused: false, .. }
        )
    }

    /// Whether no byte of the request can have reached the peer.
    pub fn is_unsent(&self) -> bool {
        matches!(self, WireError::Connect { .. })
    }
}
