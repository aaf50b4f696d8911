use std::path::PathBuf;
use std::sync::Arc;

use agent::{AdmissionController, ConfigFollower, Inbound, WeightsService};
use config::AgentSettings;
use kernel::{Clock, Kernel};
use pico_args::Arguments;
use telemetry::MetricsPage;
use wire::Client;

use crate::cli::{UsageError, finish};
use crate::cmd::role::serve;

pub const HELP: &str = "\
Runs beside one upstream and decides what it is given.

Usage: turmerichold agent --settings FILE

Options
  --settings FILE   settings of the VM, JSON
";

pub fn run(mut args: Arguments) -> anyhow::Result<()> {
    let path: PathBuf = args
        .value_from_str("--settings")
        .map_err(UsageError::from)?;
    finish(args)?;
    let settings = AgentSettings::load(&path)?;
    let (client, clock) = (Client::default(), Clock::default());
    let metrics = Arc::new(MetricsPage::install()?);
    let config = Arc::new(ConfigFollower::new(client.clone()));
    let door = Arc::new(AdmissionController::new(
        &settings,
        &config,
        client.clone(),
        clock,
    ));
    let weights = Arc::new(WeightsService::new(
        &settings,
        &config,
        door.clone(),
        client.clone(),
        clock,
    ));
    let inbound = Arc::new(Inbound::new(&settings, client, metrics));
    let mut kernel = Kernel::default();
    kernel.add(config)?;
    // The interface outlives the door, so that entries hear of the closed door
    // while the runs in flight end.
    kernel.add(inbound)?;
    kernel.add(weights)?;
    kernel.add(door)?;
    serve(kernel, settings.node.drain)
}
