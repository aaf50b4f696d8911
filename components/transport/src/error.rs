use std::net::SocketAddr;
use std::time::Duration;

use derive_more::{Display, Error};

use crate::AbortCause;

/// An HTTP exchange failed.
#[derive(Debug, Display, Error)]
pub enum TransportError {
    /// Connecting failed, so no byte of the request was sent.
    #[display("cannot connect to {addr}: {reason}")]
    Connect {
        /// Address of the peer.
        addr: SocketAddr,
        /// Error of the operating system, or what timed out.
        reason: String,
        /// Whether no process listens at the address.
        refused: bool,
    },
    /// The peer sent nothing within the limit.
    #[display("{addr} sent nothing for {limit:?}")]
    Timeout {
        /// Address of the peer.
        addr: SocketAddr,
        /// The limit.
        limit: Duration,
    },
    /// The connection ended or carried malformed HTTP.
    #[display("exchange with {addr} broke: {reason}")]
    Aborted {
        /// Address of the peer.
        addr: SocketAddr,
        /// How far the exchange had come.
        cause: AbortCause,
        /// What went wrong.
        reason: String,
    },
    /// The body of the response is longer than what is accepted.
    #[display("body from {addr} is too long, {read} bytes were accepted")]
    BodyTooLong {
        /// Address of the peer.
        addr: SocketAddr,
        /// Bytes accepted before that.
        read: usize,
    },
}

impl TransportError {
    /// Name of the kind of failure in logs and metrics.
    pub fn cause(&self) -> &'static str {
        match self {
            TransportError::Connect { .. } => "connect",
            TransportError::Timeout { .. } => "silent",
            TransportError::Aborted { cause, .. } => cause.name(),
            TransportError::BodyTooLong { .. } => "too long",
        }
    }

    /// Whether no process listens at the address of the peer.
    pub fn is_refused(&self) -> bool {
        matches!(self, TransportError::Connect { refused: true, .. })
    }

    /// Whether no byte of the request can have reached the peer.
    pub fn is_unsent(&self) -> bool {
        matches!(
            self,
            TransportError::Connect { .. }
                | TransportError::Aborted {
                    cause: AbortCause::Unsent,
                    ..
                }
        )
    }
}
