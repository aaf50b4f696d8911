//! Logs and metrics of a process.

mod logs;
mod metrics_page;

pub use logs::init_logs;
pub use metrics_page::MetricsPage;
