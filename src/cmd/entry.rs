use std::path::PathBuf;
use std::sync::Arc;

use config::EntrySettings;
use entry::{ConfigService, Directory, Front};
use kernel::{Clock, Kernel};
use pico_args::Arguments;
use telemetry::MetricsPage;
use wire::Client;

use crate::cli::{UsageError, finish};
use crate::cmd::role::serve;

pub const HELP: &str = "\
Accepts callers' requests and operators' changes.

Usage: turmerichold entry --settings FILE

Options
  --settings FILE   settings of the VM, JSON
";

pub fn run(mut args: Arguments) -> anyhow::Result<()> {
    let path: PathBuf = args
        .value_from_str("--settings")
        .map_err(UsageError::from)?;
    finish(args)?;
    let settings = EntrySettings::load(&path)?;
    let node = &settings.node;
    telemetry::init_decisions(&node.vm)?;
    let (client, clock) = (Client::default(), Clock::default());
    let metrics = Arc::new(MetricsPage::install()?);
    let config = Arc::new(ConfigService::new(node, client.clone(), clock));
    let directory = Arc::new(Directory::new(node, &config, client.clone(), clock));
    let mut kernel = Kernel::default();
    kernel.add(config)?;
    kernel.add(directory)?;
    kernel.add(Arc::new(Front::new(node, client, clock, metrics)))?;
    serve(kernel, node.drain)
}
