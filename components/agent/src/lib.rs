//! The agent of one upstream on the same VM: admits runs, reports its load and health,
//! and downloads the weights that its engine loads.

mod admission_controller;
mod admission_state;
mod chunk_body;
mod config_follower;
mod engine;
mod engine_notice;
mod inbound;
mod runner;
mod weights_service;

pub use admission_controller::AdmissionController;
pub use config_follower::ConfigFollower;
pub use inbound::Inbound;
pub use weights_service::WeightsService;
