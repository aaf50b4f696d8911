//! The entry on a platform whose upstreams are called directly: accepts callers'
//! requests, schedules them onto upstreams and returns the responses.

mod answer_log;
mod attempt;
mod body_buffers;
mod body_reader;
mod caller_request;
mod connection_use;
mod crash_check;
mod cut_cause;
mod deadline;
mod dispatcher;
mod failed_exchange;
mod front;
mod gateway;
mod lease;
mod progress;
mod race;
mod readiness;
mod refusal;
mod relay;
mod request_log;
mod response_body;
mod run;
mod scheduler;
mod send;
mod shortage;
mod shutdown;
mod silence;
mod stage;
mod successor;
mod unanswered;
mod weight_prefetcher;

pub use gateway::Gateway;
pub use response_body::{ResponseAborted, ResponseBody};
