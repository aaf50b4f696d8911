//! Decisions about requests, without I/O or clocks: admission, concurrency limits,
//! at-most-once runs, crash detection, retry budgets and quarantine.
//!
//! Times are durations since the start of the process.

mod admission_queue;
mod claim_memory;
mod claims;
mod concurrency_limit;
mod crash_detector;
mod era_watch;
mod quarantine;
mod retry_budget;
mod run_table;
mod upstream_hold;

pub use admission_queue::{
    AdmissionQueue, Arrival, Dequeued, EnqueueResult, QueueLimits, QueuedRequest,
};
pub use claim_memory::ClaimMemory;
pub use claims::{Claim, ClaimCheck, ClaimRecord, ClaimStep};
pub use concurrency_limit::{Admit, ConcurrencyLimit, LimitRange, RunEnd};
pub use crash_detector::{CrashDetector, Probe};
pub use era_watch::EraWatch;
pub use quarantine::{Quarantine, Suspicion};
pub use retry_budget::RetryBudget;
pub use run_table::{Begin, RunTable, Settled};
pub use upstream_hold::{Hold, Notice, UpstreamHold};
