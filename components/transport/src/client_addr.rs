use std::net::SocketAddr;

/// Address of the client that sent a request; an extension of each request that a handler
/// gets.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ClientAddr(pub SocketAddr);
