use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use async_channel::Sender;
use smol::Task;
use smol::net::TcpListener;

use crate::{Handler, Server, ServerLimits, with_timeout};

/// The HTTP server of a process, run as a background task: started once, stopped
/// gracefully.
#[derive(Default)]
pub struct ServerTask {
    running: Mutex<Option<(Sender<()>, Task<bool>)>>,
}

impl ServerTask {
    /// Starts serving on `addr`. After a stop, requests in flight have `drain` to
    /// complete.
    pub fn start<H: Handler>(
        &self,
        addr: SocketAddr,
        handler: Arc<H>,
        drain: Duration,
    ) -> std::io::Result<()> {
        let listener = smol::block_on(TcpListener::bind(addr))?;
        let (server, close) = Server::new(handler, ServerLimits::default());
        let task = smol::spawn(async move {
            server.clone().run(listener, drain).await;
            server.open_connections() == 0
        });
        *self.running.lock().unwrap_or_else(PoisonError::into_inner) = Some((close, task));
        Ok(())
    }

    /// Stops accepting connections and waits for requests in flight; false if they
    /// did not complete within `limit`.
    pub async fn stop(&self, limit: Duration) -> bool {
        let running = self
            .running
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .take();
        let Some((close, task)) = running else {
            return true;
        };
        close.close();
        with_timeout(limit, task).await.unwrap_or(false)
    }
}
