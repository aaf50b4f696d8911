//! The agent: the one door to the upstream beside it.

mod chunk_body;
mod config_follower;
mod doorkeeper;
mod engine;
mod inbound;
mod runner;
mod weights_service;

pub use config_follower::ConfigFollower;
pub use doorkeeper::Doorkeeper;
pub use inbound::Inbound;
pub use weights_service::WeightsService;
