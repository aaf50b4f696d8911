use anyhow::Context;
use simplelog::{ColorChoice, ConfigBuilder, LevelFilter, TermLogger, TerminalMode};

/// Writes log lines to standard error.
///
/// `level` is off, error, warn, info, debug or trace; an error for another one, or if
/// a logger is already installed.
pub fn init_logs(level: &str) -> anyhow::Result<()> {
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
    TermLogger::init(level, config, TerminalMode::Stderr, ColorChoice::Never)
        .context("a logger is already installed")
}
