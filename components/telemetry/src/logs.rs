use std::backtrace::{Backtrace, BacktraceStatus};
use std::io::Write;
use std::sync::{Arc, OnceLock};
use std::time::Duration;

use anyhow::Context;
use simplelog::{ConfigBuilder, LevelFilter, WriteLogger};

use crate::line_queue::LineQueue;
use crate::log_output::LogOutput;

/// Time for the message of a panic to be written: the panic may end the process.
const PANIC_FLUSH_LIMIT: Duration = Duration::from_millis(100);

static QUEUE: OnceLock<Arc<LineQueue>> = OnceLock::new();

/// Writes log lines and panics to standard error. While its reader is blocked, lines are
/// lost but no caller waits.
///
/// `level` is off, error, warn, info, debug or trace; an error for another one, or if
/// a logger is already installed.
pub fn init_logs(level: &str) -> anyhow::Result<()> {
    init_logs_to(level, std::io::stderr())
}

/// Writes log lines and panics to `out`, as [`init_logs`] does to standard error.
pub fn init_logs_to(level: &str, out: impl Write + Send + 'static) -> anyhow::Result<()> {
    let level: LevelFilter = level.parse().ok().with_context(|| {
        format!("log level {level:?} is unknown; give off, error, warn, info, debug or trace")
    })?;
    let config = ConfigBuilder::new()
        .set_time_format_rfc3339()
        .set_target_level(LevelFilter::Off)
        .set_thread_level(LevelFilter::Off)
        .set_location_level(LevelFilter::Off)
        // These libraries log every exchange; all their lines are left out.
        .add_filter_ignore_str("async_h1")
        .add_filter_ignore_str("polling")
        .add_filter_ignore_str("async_io")
        .build();
    let queue = LineQueue::start("logs", out, |lost| {
        format!("[WARN] log: {lost} lines were lost; read standard error faster\n")
    });
    let queue = Arc::new(queue.context("cannot start the thread that writes logs")?);
    WriteLogger::init(level, config, LogOutput::new(queue.clone()))
        .context("a logger is already installed")?;
    // Set once: a second logger is an error above.
    let _ = QUEUE.set(queue);
    std::panic::set_hook(Box::new(|panic| {
        let trace = Backtrace::capture();
        match trace.status() {
            BacktraceStatus::Captured => log::error!("{panic}\n{trace}"),
            _ => log::error!("{panic}"),
        }
        flush_logs(PANIC_FLUSH_LIMIT);
    }));
    Ok(())
}

/// Waits until the log lines written so far are on their way to the reader, for at most
/// `limit`; false if they are not. To be called before the process ends.
pub fn flush_logs(limit: Duration) -> bool {
    QUEUE.get().is_none_or(|queue| queue.flush(limit))
}

/// Writes a message to the output of the logs at any level: the reason for which the process
/// ends. Without a logger it goes to standard error.
pub fn report_error(message: &str, limit: Duration) {
    match QUEUE.get() {
        Some(queue) => {
            queue.write(format!("{message}\n"));
            queue.flush(limit);
        }
        None => eprintln!("{message}"),
    }
}
