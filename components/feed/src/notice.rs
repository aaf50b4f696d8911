use compact_str::CompactString;
use dispatch::{EvidenceReport, StartId};
use serde::{Deserialize, Serialize};

/// A short message between processes, sent repeatedly as a datagram.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Notice {
    /// From an entry to the other entries: its requests in flight.
    Entry(EntryNotice),
    /// From an entry to the other entries: it is stopping. Entries that do not know this
    /// notice take it for one that accepts requests.
    Stopping(StoppingNotice),
    /// From an entry to the other entries: crashes of upstreams.
    Crashes(EvidenceReport),
    /// From an entry to the other entries: limits that upstreams stated to it.
    Limits(Vec<LimitNotice>),
    /// From an entry or an agent to the entries: upstreams that stated that they leave.
    Leaving(Vec<StartId>),
    /// From an agent to the entries: the state of its engine.
    Engine(EngineNotice),
    /// From an agent to its peers: the pieces that it holds.
    Pieces(PiecesNotice),
}

impl Notice {
    /// The notice as a datagram.
    pub fn encode(&self) -> Result<Vec<u8>, rmp_serde::encode::Error> {
        match self {
            // A reader ignores unknown fields of a map, but rejects an array with more
            // elements than it knows.
            Notice::Engine(_) => rmp_serde::to_vec_named(self),
            _ => rmp_serde::to_vec(self),
        }
    }
}

/// Load and requests in flight of an entry.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct EntryNotice {
    /// VM of the entry.
    pub vm: CompactString,
    /// Region of the entry.
    pub region: CompactString,
    /// Requests per second that it receives from callers.
    pub demand: u16,
    /// Start of the entry, in milliseconds since its VM booted. Its notices are
    /// ordered by `start`, then `number`.
    pub start: u64,
    /// Sequence number of the notice.
    pub number: u64,
    /// Tag of each upstream with requests in flight, the number of these requests,
    /// and their prompt tokens that are still to be prefilled.
    pub loads: Vec<(u32, u16, u32)>,
}

/// An entry that is stopping.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoppingNotice {
    /// VM of the entry.
    pub vm: CompactString,
    /// Start of the entry, as in [`EntryNotice`].
    pub start: u64,
    /// Time since its stop in milliseconds.
    pub age_ms: u64,
    /// Address for notices to it, as its announcement is withdrawn.
    pub addr: std::net::SocketAddr,
}

/// What an upstream last stated to an entry about the limit on its requests.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LimitNotice {
    /// Start of the upstream.
    pub upstream: StartId,
    /// Requests a second from all entries together; `None` if it states no limit any more.
    pub rate: Option<f64>,
    /// Time since the statement in milliseconds.
    pub age_ms: u64,
}

/// State of an engine, sent by its agent.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct EngineNotice {
    /// Address of the engine.
    pub engine: std::net::SocketAddr,
    /// Start of the engine in milliseconds of Unix time.
    #[serde(rename = "born")]
    pub started_ms: u64,
    /// The engine is loading a version, or its agent is about to order it to.
    pub switching: bool,
    /// Milliseconds until the agent orders it to load a version, if planned.
    #[serde(rename = "closes_in")]
    pub switch_in_ms: Option<u32>,
    /// Model versions that it has loaded.
    pub held: Vec<(CompactString, u64)>,
    /// Its pace in percent of the usual time, if it stated one. Older processes neither send
    /// nor know it.
    #[serde(default)]
    pub pace: Option<u16>,
}

/// Pieces of a version that an agent holds.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PiecesNotice {
    /// Address at which the agent serves its peers.
    pub holder: std::net::SocketAddr,
    /// Name of the model.
    pub model: CompactString,
    /// Version of the weights.
    pub version: u64,
    /// Bit set of the pieces, as in [`dispatch::PieceSet`].
    pub words: Vec<u64>,
}
