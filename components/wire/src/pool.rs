use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

use smol::net::TcpStream;

/// Idle connections kept for each address.
const IDLE_PER_ADDR: usize = 32;
/// Idle connections older than this are dropped; servers close theirs later.
const IDLE_AGE: Duration = Duration::from_secs(20);

/// Idle connections, each with no exchange in flight and no unread byte.
#[derive(Default)]
pub(crate) struct Pool {
    idle: Mutex<HashMap<SocketAddr, Vec<(Instant, TcpStream)>>>,
}

impl Pool {
    pub(crate) async fn take(&self, addr: SocketAddr) -> Option<TcpStream> {
        loop {
            let (since, stream) = self.pop(addr)?;
            if since.elapsed() < IDLE_AGE && is_quiet(&stream).await {
                return Some(stream);
            }
        }
    }

    pub(crate) fn put(&self, addr: SocketAddr, stream: TcpStream) {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let list = idle.entry(addr).or_default();
        if list.len() < IDLE_PER_ADDR {
            list.push((Instant::now(), stream));
        }
    }

    pub(crate) fn len(&self, addr: SocketAddr) -> usize {
        let idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        idle.get(&addr).map_or(0, Vec::len)
    }

    fn pop(&self, addr: SocketAddr) -> Option<(Instant, TcpStream)> {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let list = idle.get_mut(&addr)?;
        let found = list.pop();
        if list.is_empty() {
            idle.remove(&addr);
        }
        found
    }
}

/// A readable idle connection was closed by the peer or carries stray bytes.
async fn is_quiet(stream: &TcpStream) -> bool {
    let mut byte = [0u8; 1];
    futures_lite::future::poll_once(stream.peek(&mut byte))
        .await
        .is_none()
}
