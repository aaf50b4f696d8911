//! Logs, decision lines and metrics of a process.

mod decisions;
mod logs;
mod metrics_page;

pub use decisions::{
    Outcome, decision, due, flush_decisions, init_decisions, init_decisions_to, write,
};
pub use logs::init_logs;
pub use metrics_page::MetricsPage;
