//! Model weights: manifests, verified chunks in bounded memory, and the
//! decision which chunk to fetch from whom. No I/O, no clocks.

mod error;
mod manifest;
mod planner;
mod sources;
mod store;

pub use error::WeightsError;
pub use manifest::Manifest;
pub use planner::{Fetch, FetchError, Planner, Step};
pub use sources::{Peer, Source, Sources};
pub use store::ChunkStore;
