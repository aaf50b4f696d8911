use anyhow::Context;
use simplelog::{ColorChoice, ConfigBuilder, LevelFilter, TermLogger, TerminalMode};

/// Sends log lines to standard error.
///
/// `level` is one of off, error, warn, info, debug and trace.
pub fn init_logs(level: &str) -> anyhow::Result<()> {
    let level: LevelFilter = level
        .parse()
        .ok()
        .with_context(|| format!("log level {level:?} is unknown; give off to trace"))?;
    let config = ConfigBuilder::new()
        .set_time_format_rfc3339()
        .set_target_level(LevelFilter::Off)
        .set_thread_level(LevelFilter::Off)
        .set_location_level(LevelFilter::Off)
        // Libraries log each exchange; only their warnings matter here.
        .add_filter_ignore_str("async_h1")
        .add_filter_ignore_str("polling")
        .add_filter_ignore_str("async_io")
        .build();
    TermLogger::init(level, config, TerminalMode::Stderr, ColorChoice::Never)
        .context("logs are already set up")
}
