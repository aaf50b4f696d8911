//! The agent on a platform whose upstreams are called directly: downloads declared
//! weights and loads them into the engine on the same VM.

mod agent;
mod doubts;
#[cfg(test)]
mod doubts_tests;
mod loader;
mod local_pieces;
mod switching;

pub use loader::Loader;
