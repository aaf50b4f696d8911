//! Model weights: manifests, verified chunks in bounded memory, and the
//! decision which chunk to fetch from whom. No I/O, no clocks.

mod chunk_cache;
mod error;
mod manifest;
mod planner;
mod sources;

pub use chunk_cache::ChunkCache;
pub use error::WeightsError;
pub use manifest::Manifest;
pub use planner::{Fetch, FetchError, Planner, Step};
pub use sources::{Peer, Source, Sources};
