use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use async_channel::Sender;
use smol::Task;
use smol::net::TcpListener;

use crate::{Handler, Server, ServerLimits, with_timeout};

/// The listener of a process: started once, stopped gracefully.
#[derive(Default)]
pub struct ServerTask {
    running: Mutex<Option<(Sender<()>, Task<()>)>>,
}

impl ServerTask {
    /// Begins to serve on `addr`. A later stop lets requests in flight take `drain`.
    pub fn start<H: Handler>(
        &self,
        addr: SocketAddr,
        handler: Arc<H>,
        drain: Duration,
    ) -> std::io::Result<()> {
        let listener = smol::block_on(TcpListener::bind(addr))?;
        let (server, close) = Server::new(handler, ServerLimits::default());
        let task = smol::spawn(server.run(listener, drain));
        *self.running.lock().unwrap_or_else(PoisonError::into_inner) = Some((close, task));
        Ok(())
    }

    /// Stops accepting and waits for the requests in flight; false when `limit`
    /// passed first.
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
        with_timeout(limit, task).await.is_some()
    }
}
