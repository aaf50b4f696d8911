//! The entry: accepts requests of callers, sends them to upstreams and reports
//! whether a request that failed may have run.

mod answer_log;
mod caller_request;
mod claims;
mod config_service;
mod crash_tracker;
mod directory;
mod dispatcher;
mod exchange;
mod failures;
mod front;
mod interrupt;
mod job;
mod lease;
mod open_answers;
mod operator_api;
mod pending_placement;
mod placement;
mod responses;
mod schedulers;
mod sent_run;
mod service_scheduler;

pub use config_service::ConfigService;
pub use crash_tracker::CrashTracker;
pub use directory::Directory;
pub use front::Front;
pub use schedulers::Schedulers;
