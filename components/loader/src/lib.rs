//! The agent on a platform whose upstreams are called directly: brings declared
//! weights to the engine on the same VM and orders it to load them.

mod loader;
mod origin_digests;
mod shelf;

pub use loader::Loader;
