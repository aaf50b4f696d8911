use adapter::{Settings, UsersPlatform};
use loader::Loader;
use pico_args::Arguments;
use telemetry::MetricsPage;

use crate::cli::finish;
use crate::cmd::stop::{run_to_end, stop_signal};

pub const HELP: &str = "\
Loads the declared weights into the engine on the same VM.

Usage: turmerichold loader

The environment variable TURMERICHOLD_CONFIG names the settings file; the default
is /etc/turmerichold/local.toml.
";

pub fn run(args: Arguments) -> anyhow::Result<()> {
    finish(args)?;
    let settings = Settings::load()?;
    let agent_settings = settings.agent()?;
    telemetry::init_decisions(&agent_settings.node.vm)?;
    let metrics = MetricsPage::shared()?;
    let platform = UsersPlatform::new(agent_settings.node.store);
    run_to_end(Loader::new(platform, agent_settings, metrics).run(stop_signal(settings)))
}
