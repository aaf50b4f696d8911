//! Downloads the pieces of declared weights and serves them to other processes.
//!
//! Agents download for their own engine. Entries download as well and serve the
//! agents, because their links are wide: an agent that passes a piece on carries
//! it over its narrow link twice, in and out.

mod digest_quorum;
mod downloader;
mod fetch_stats;
mod peers;
mod piece_cache;
mod target_version;

pub use digest_quorum::Digests;
pub use downloader::Downloader;
pub use peers::Peers;
pub use piece_cache::PieceCache;
pub use target_version::TargetVersion;
