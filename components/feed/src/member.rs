use std::net::SocketAddr;

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

/// Record by which an entry announces itself in the store.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// VM of the entry.
    pub vm: CompactString,
    /// TCP and UDP address at which it serves other processes.
    pub addr: SocketAddr,
    /// Region of the entry.
    pub region: CompactString,
}
