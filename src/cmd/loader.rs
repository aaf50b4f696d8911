use adapter::{Settings, UsersPlatform};
use loader::Loader;
use pico_args::Arguments;
use telemetry::MetricsPage;

use crate::cli::finish;
use crate::cmd::stop::stop_signal;

pub const HELP: &str = "\
Brings declared weights to the engine on the same VM.

Usage: turmerichold loader

The settings file is named by TURMERICHOLD_CONFIG.
";

pub fn run(args: Arguments) -> anyhow::Result<()> {
    finish(args)?;
    let settings = Settings::load()?;
    let place = settings.agent()?;
    telemetry::init_decisions(&place.node.vm)?;
    let metrics = MetricsPage::shared()?;
    let platform = UsersPlatform::new(place.node.store);
    transport::block_on(Loader::new(platform, place, metrics).run(stop_signal(settings)))
}
