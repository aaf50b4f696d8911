//! Model weights: manifests, a cache of verified chunks, and the order and sources
//! in which chunks are fetched. Does no network I/O and reads no clock.

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
