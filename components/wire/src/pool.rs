use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use smol::Task;
use smol::net::TcpStream;

/// Most idle connections kept for each address. Those of 390 entries fit the limit of one
/// agent's server.
const MAX_IDLE_PER_ADDR: usize = 8;
/// Longest time that an idle connection is kept. Shorter than the idle timeout of
/// servers, so that a request is not sent as the server closes the connection.
const MAX_IDLE_TIME: Duration = Duration::from_secs(20);

/// Idle connections, without an exchange in flight or unread bytes.
#[derive(Default)]
pub(crate) struct Pool {
    idle: Mutex<HashMap<SocketAddr, Vec<IdleConnection>>>,
    next_id: AtomicU64,
}

struct IdleConnection {
    id: u64,
    since: Instant,
    stream: TcpStream,
    /// Removes the connection from the pool as soon as it is readable.
    _watch: Task<()>,
}

impl Pool {
    pub(crate) async fn take(&self, addr: SocketAddr) -> Option<TcpStream> {
        loop {
            let IdleConnection { since, stream, .. } = self.pop(addr)?;
            if since.elapsed() < MAX_IDLE_TIME && is_reusable(&stream).await {
                return Some(stream);
            }
        }
    }

    pub(crate) fn put(self: &Arc<Self>, addr: SocketAddr, stream: TcpStream) {
        let mut idle = self.lock();
        let list = idle.entry(addr).or_default();
        if list.len() >= MAX_IDLE_PER_ADDR {
            return;
        }
        let id = self.next_id.fetch_add(1, Ordering::Relaxed);
        let (pool, watched) = (Arc::downgrade(self), stream.clone());
        let watch = smol::spawn(async move {
            until_readable(&watched).await;
            if let Some(pool) = pool.upgrade() {
                pool.remove(addr, id);
            }
        });
        list.push(IdleConnection {
            id,
            since: Instant::now(),
            stream,
            _watch: watch,
        });
    }

    pub(crate) fn len(&self, addr: SocketAddr) -> usize {
        self.lock().get(&addr).map_or(0, Vec::len)
    }

    fn pop(&self, addr: SocketAddr) -> Option<IdleConnection> {
        let mut idle = self.lock();
        let list = idle.get_mut(&addr)?;
        let found = list.pop();
        if list.is_empty() {
            idle.remove(&addr);
        }
        found
    }

    fn remove(&self, addr: SocketAddr, id: u64) {
        let mut idle = self.lock();
        let Some(list) = idle.get_mut(&addr) else {
            return;
        };
        list.retain(|c| c.id != id);
        if list.is_empty() {
            idle.remove(&addr);
        }
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<SocketAddr, Vec<IdleConnection>>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// An idle connection that is readable was closed by the peer or holds bytes that
/// belong to no response.
async fn until_readable(stream: &TcpStream) {
    let mut byte = [0u8; 1];
    // An error means the same as a readable connection: it cannot be reused.
    let _ = stream.peek(&mut byte).await;
}

async fn is_reusable(stream: &TcpStream) -> bool {
    futures_lite::future::poll_once(until_readable(stream))
        .await
        .is_none()
}
