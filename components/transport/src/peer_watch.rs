use std::time::Duration;

use futures_lite::FutureExt;
use smol::Timer;
use smol::net::TcpStream;

use crate::in_flight::InFlight;
use crate::socket_state::PeerState;

/// Interval between checks of a connection whose next event would not be noticed: bytes
/// that are not read yet, or the end of the input, hide a reset.
const CHECK_INTERVAL: Duration = Duration::from_millis(40);

/// Watches the connection of a server while a request is in flight: hyper does not read
/// from it then.
pub(crate) struct PeerWatch<'a> {
    pub(crate) stream: TcpStream,
    pub(crate) requests: &'a InFlight,
}

impl PeerWatch<'_> {
    /// Tells each request of the end of the input; returns when the connection was reset
    /// while a request was in flight.
    pub(crate) async fn until_reset(&self) {
        loop {
            let input_end = self.requests.until_begin().await;
            let reset = async {
                self.watch(|| input_end.set()).await;
                true
            };
            let ended = async {
                self.requests.until_end(&input_end).await;
                false
            };
            if reset.or(ended).await {
                return;
            }
        }
    }

    /// Calls `input_ended` at the end of the input; returns when the connection was reset.
    async fn watch(&self, input_ended: impl Fn()) {
        loop {
            if self.stream.peek(&mut [0; 1]).await.is_err() {
                return;
            }
            match PeerState::of(&self.stream) {
                Ok(PeerState::Open) => {}
                Ok(PeerState::InputEnded) => input_ended(),
                Ok(PeerState::Reset) => return,
                Err(e) => log::warn!("transport: cannot check a connection: {e}"),
            }
            Timer::after(CHECK_INTERVAL).await;
        }
    }
}
