use std::net::SocketAddr;

use async_channel::Receiver;
use futures_lite::future::poll_once;
use smol::net::TcpStream;

/// The other end of a connection whose request is handled.
#[derive(Debug, Clone)]
pub struct Caller {
    addr: SocketAddr,
    stream: TcpStream,
    input: Receiver<()>,
}

impl Caller {
    /// A caller whose input ends when the other end of `input` is closed.
    pub(crate) fn new(addr: SocketAddr, stream: TcpStream, input: Receiver<()>) -> Self {
        Caller {
            addr,
            stream,
            input,
        }
    }

    /// Address of the caller.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Whether the caller has closed its sending side, as far as can be read now.
    pub async fn has_ended_input(&self) -> bool {
        matches!(poll_once(self.stream.peek(&mut [0])).await, Some(Ok(0)))
    }

    /// Resolves when the caller has closed its sending side. It may have left, or have
    /// finished sending and still read the response.
    pub async fn input_ended(&self) {
        // Nothing is ever sent.
        let _ = self.input.recv().await;
    }
}
