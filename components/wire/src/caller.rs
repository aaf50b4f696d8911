use std::net::SocketAddr;

use async_channel::Receiver;

/// The other end of a connection whose request is handled.
#[derive(Debug, Clone)]
pub struct Caller {
    addr: SocketAddr,
    input: Receiver<()>,
}

impl Caller {
    /// A caller whose input ends when the other end of `input` is closed.
    pub(crate) fn new(addr: SocketAddr, input: Receiver<()>) -> Self {
        Caller { addr, input }
    }

    /// Address of the caller.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Resolves when the caller has closed its sending side. It may have left, or have
    /// finished sending and still read the response.
    pub async fn input_ended(&self) {
        // Nothing is ever sent.
        let _ = self.input.recv().await;
    }
}
