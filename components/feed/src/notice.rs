use compact_str::CompactString;
use serde::{Deserialize, Serialize};

/// A short message between processes, sent as a datagram and repeated.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Notice {
    /// An entry tells the others what it has in flight.
    Entry(EntryNotice),
    /// An agent tells the entries about its engine.
    Engine(EngineNotice),
    /// An agent tells the others which pieces it holds.
    Pieces(PiecesNotice),
}

/// What an entry has in flight.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct EntryNotice {
    /// VM of the entry.
    pub vm: CompactString,
    /// Its region.
    pub region: CompactString,
    /// Requests a second that it gets from callers.
    pub demand: u16,
    /// Start of the entry; with `number` it orders its notices.
    pub start: u64,
    /// Number of the notice.
    pub number: u64,
    /// Requests in flight at each upstream, by its tag, and unread tokens.
    pub loads: Vec<(u32, u16, u32)>,
    /// Fingerprints of requests that crashed upstreams lately.
    pub crashes: Vec<u64>,
}

/// What an agent knows of its engine.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct EngineNotice {
    /// Address of the engine.
    pub engine: std::net::SocketAddr,
    /// Start of the engine.
    #[serde(rename = "born")]
    pub started_ms: u64,
    /// Its agent is about to order it, or it is loading.
    pub switching: bool,
    /// Milliseconds until the agent orders it, where that is planned.
    #[serde(rename = "closes_in")]
    pub switch_in_ms: Option<u32>,
    /// Model and version that it holds.
    pub held: Vec<(CompactString, u64)>,
}

/// Which pieces of a version an agent holds.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PiecesNotice {
    /// Where the agent answers.
    pub holder: std::net::SocketAddr,
    /// Model.
    pub model: CompactString,
    /// Version of the weights.
    pub version: u64,
    /// The pieces, as [`dispatch::PieceSet`] has them.
    pub words: Vec<u64>,
}
