//! Trials: they run real processes on loopback and check the results against the records
//! of the stand-ins.

pub mod arrivals;
pub mod at_most_once;
pub mod caller;
pub mod control;
pub mod crash;
pub mod drain;
pub mod fleet;
pub mod late_runs;
pub mod latency;
pub mod node;
pub mod overload;
pub mod process;
pub mod report;
pub mod slopes;
pub mod tally;
pub mod whole_path;
pub mod workload;
