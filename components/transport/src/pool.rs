use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use crate::Connection;

/// Most idle connections to one peer.
pub const MAX_IDLE: usize = 24;
/// Most idle connections to all peers, so that descriptors remain for requests.
const MAX_IDLE_TOTAL: usize = 256;
/// Idle time after which a connection is closed, unless the peer announces a
/// shorter one. It is below the 15 s that servers usually allow.
const IDLE_LIMIT: Duration = Duration::from_secs(8);
/// A connection is closed this long before the peer would close it, so that no
/// request is sent on a closing connection.
const IDLE_MARGIN: Duration = Duration::from_millis(700);

/// Idle connections by peer; the most recently used one is taken first.
#[derive(Default)]
pub struct Pool {
    idle: Mutex<HashMap<SocketAddr, Vec<Connection>>>,
}

impl Pool {
    /// Takes an idle connection that is still usable.
    pub fn take(&self, addr: SocketAddr) -> Option<Connection> {
        let mut idle = self.lock();
        let list = idle.get_mut(&addr)?;
        list.retain(is_usable);
        // A connection whose last response is not fully consumed stays in the list.
        let index = list.iter().rposition(|c| c.sender.is_ready())?;
        Some(list.remove(index))
    }

    /// Adds a connection for reuse. Closes the connections that were idle for longest
    /// when there are more than `max_idle` to the peer or too many in total.
    pub fn put(&self, connection: Connection, max_idle: usize) {
        let addr = connection.addr;
        let mut idle = self.lock();
        idle.entry(addr).or_default().push(connection);
        idle.retain(|peer, list| {
            let max_idle = if *peer == addr { max_idle } else { usize::MAX };
            trim(list, max_idle);
            !list.is_empty()
        });
        if idle.values().map(Vec::len).sum::<usize>() > MAX_IDLE_TOTAL {
            close_oldest(&mut idle);
        }
    }

    /// Number of idle connections to a peer.
    pub fn idle_count(&self, addr: SocketAddr) -> usize {
        self.lock().get(&addr).map_or(0, Vec::len)
    }

    /// Closes the idle connections to a peer.
    pub fn close_idle(&self, addr: SocketAddr) {
        self.lock().remove(&addr);
    }

    /// Closes connections that were idle for too long, and those beyond the number that
    /// `max_idle` allows for their peer.
    pub fn close_surplus(&self, max_idle: impl Fn(SocketAddr) -> usize) {
        self.lock().retain(|addr, list| {
            trim(list, max_idle(*addr));
            !list.is_empty()
        });
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<SocketAddr, Vec<Connection>>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Closes unusable connections and those that were idle for longest, until `max_idle`
/// are left.
fn trim(list: &mut Vec<Connection>, max_idle: usize) {
    list.retain(is_usable);
    let surplus = list.len().saturating_sub(max_idle);
    list.drain(..surplus);
}

/// Closes the connection that was idle for longest.
fn close_oldest(idle: &mut HashMap<SocketAddr, Vec<Connection>>) {
    let lists = idle.values_mut().filter(|l| !l.is_empty());
    if let Some(list) = lists.min_by_key(|l| l[0].idle_since) {
        list.remove(0);
    }
}

fn is_usable(connection: &Connection) -> bool {
    let limit = match connection.keep_alive {
        Some(keep_alive) => keep_alive.saturating_sub(IDLE_MARGIN).min(IDLE_LIMIT),
        None => IDLE_LIMIT,
    };
    !connection.sender.is_closed() && Instant::now().duration_since(connection.idle_since) < limit
}
