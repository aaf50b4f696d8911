//! Logs, decision lines and metrics of a process.

mod decisions;
mod line_queue;
mod log_output;
mod logs;
mod metrics_page;

pub use decisions::{
    Outcome, decision, due, flush_decisions, init_decisions, init_decisions_to, write,
};
pub use logs::{flush_logs, init_logs, init_logs_to, report_error};
pub use metrics_page::MetricsPage;
