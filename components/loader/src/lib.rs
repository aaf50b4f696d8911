//! The agent on a platform whose upstreams are called directly: brings declared
//! weights to the engine on the same VM and orders it to load them.

mod agent;
mod loader;
mod shelf;
mod switcher;

pub use loader::Loader;
