use adapter::{Settings, UsersPlatform};
use gateway::Gateway;
use pico_args::Arguments;
use telemetry::MetricsPage;

use crate::cli::finish;
use crate::cmd::stop::{run_to_end, stop_signal};

pub const HELP: &str = "\
Accepts callers' requests and calls upstreams directly, without agents between.

Usage: turmerichold gateway

The environment variable TURMERICHOLD_CONFIG names the settings file; the default
is /etc/turmerichold/local.toml.
";

pub fn run(args: Arguments) -> anyhow::Result<()> {
    finish(args)?;
    let settings = Settings::load()?;
    let entry_settings = settings.entry()?;
    telemetry::init_decisions(&entry_settings.node.vm)?;
    let metrics = MetricsPage::shared()?;
    let platform = UsersPlatform::new(entry_settings.node.store);
    let gateway = Gateway::new(
        platform,
        entry_settings,
        settings.file_descriptors(),
        metrics,
    );
    run_to_end(gateway.run(stop_signal(settings)))
}
