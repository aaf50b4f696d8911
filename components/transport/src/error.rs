use std::net::SocketAddr;
use std::time::Duration;

use derive_more::{Display, Error};

/// Why an exchange did not complete.
#[derive(Debug, Display, Error)]
pub enum TransportError {
    /// No connection was made, so no byte of the request was sent.
    #[display("cannot connect to {addr}: {reason}")]
    Connect {
        /// Address of the peer.
        addr: SocketAddr,
        /// What the operating system said.
        reason: String,
    },
    /// The peer stayed silent for longer than the limit.
    #[display("{addr} was silent for {limit:?}")]
    Timeout {
        /// Address of the peer.
        addr: SocketAddr,
        /// The limit that passed.
        limit: Duration,
    },
    /// The connection ended or carried malformed HTTP.
    #[display("exchange with {addr} broke: {reason}")]
    Broken {
        /// Address of the peer.
        addr: SocketAddr,
        /// What was seen.
        reason: String,
    },
    /// A body is longer than the receiver accepts.
    #[display("body from {addr} is longer than {limit} bytes")]
    BodyTooLong {
        /// Address of the peer.
        addr: SocketAddr,
        /// The limit in bytes.
        limit: usize,
    },
}

impl TransportError {
    /// True when no byte of the request can have reached the peer.
    pub fn is_unsent(&self) -> bool {
        matches!(self, TransportError::Connect { .. })
    }
}
