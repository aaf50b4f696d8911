//! Brings the pieces of declared weights near to the engines that load them.
//! Agents use it for their own engine; entries use it because their links are
//! wide: an agent's link would carry each piece twice, in and out again.

mod agreement;
mod downloader;
mod peers;
mod piece_cache;
mod tally;
mod target_version;

pub use agreement::Digests;
pub use downloader::Downloader;
pub use peers::Peers;
pub use piece_cache::PieceCache;
pub use target_version::TargetVersion;
