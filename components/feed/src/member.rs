use std::net::SocketAddr;

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

/// An entry as it announces itself in the store.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Its VM.
    pub vm: CompactString,
    /// Where it answers other processes, TCP and UDP.
    pub addr: SocketAddr,
    /// Its region.
    pub region: CompactString,
}
