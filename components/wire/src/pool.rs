use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

use smol::net::TcpStream;

/// Most idle connections kept for each address.
const MAX_IDLE_PER_ADDR: usize = 32;
/// Longest time that an idle connection is kept. Shorter than the idle timeout of
/// servers, so that a request is not sent as the server closes the connection.
const MAX_IDLE_TIME: Duration = Duration::from_secs(20);

/// Idle connections, without an exchange in flight or unread bytes.
#[derive(Default)]
pub(crate) struct Pool {
    idle: Mutex<HashMap<SocketAddr, Vec<(Instant, TcpStream)>>>,
}

impl Pool {
    pub(crate) async fn take(&self, addr: SocketAddr) -> Option<TcpStream> {
        loop {
            let (since, stream) = self.pop(addr)?;
            if since.elapsed() < MAX_IDLE_TIME && is_reusable(&stream).await {
                return Some(stream);
            }
        }
    }

    pub(crate) fn put(&self, addr: SocketAddr, stream: TcpStream) {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let list = idle.entry(addr).or_default();
        if list.len() < MAX_IDLE_PER_ADDR {
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

/// An idle connection that is readable was closed by the peer or holds bytes that
/// belong to no response.
async fn is_reusable(stream: &TcpStream) -> bool {
    let mut byte = [0u8; 1];
    futures_lite::future::poll_once(stream.peek(&mut byte))
        .await
        .is_none()
}
