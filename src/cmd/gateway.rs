use adapter::{Settings, UsersPlatform};
use gateway::Gateway;
use pico_args::Arguments;
use telemetry::MetricsPage;

use crate::cli::finish;
use crate::cmd::stop::stop_signal;

pub const HELP: &str = "\
Takes callers' requests on a platform whose upstreams are called directly.

Usage: turmerichold gateway

The settings file is named by TURMERICHOLD_CONFIG.
";

pub fn run(args: Arguments) -> anyhow::Result<()> {
    finish(args)?;
    let settings = Settings::load()?;
    let place = settings.entry()?;
    telemetry::init_decisions(&place.node.vm)?;
    let metrics = MetricsPage::shared()?;
    let platform = UsersPlatform::new(place.node.store);
    let gateway = Gateway::new(platform, place, settings.descriptors(), metrics);
    transport::block_on(gateway.run(stop_signal(settings)))
}
