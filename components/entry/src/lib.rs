//! The entry: accepts requests of callers, sends them to upstreams and reports
//! whether a request that failed may have run.

mod caller_request;
mod claims;
mod config_service;
mod crash_tracker;
mod directory;
mod dispatcher;
mod exchange;
mod front;
mod lease;
mod operator_api;
mod placement;
mod schedulers;
mod service_scheduler;

pub use config_service::ConfigService;
pub use crash_tracker::CrashTracker;
pub use directory::Directory;
pub use front::Front;
pub use schedulers::Schedulers;
