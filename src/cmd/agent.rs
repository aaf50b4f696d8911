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
Runs beside one upstream, limits its requests and loads its weights.

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
    telemetry::init_decisions(&settings.node.vm)?;
    let (client, clock) = (Client::default(), Clock::default());
    let metrics = Arc::new(MetricsPage::install()?);
    let config = Arc::new(ConfigFollower::new(client.clone()));
    let admission = Arc::new(AdmissionController::new(
        &settings,
        &config,
        client.clone(),
        clock,
    ));
    let weights = Arc::new(WeightsService::new(
        &settings,
        &config,
        admission.clone(),
        client.clone(),
        clock,
    ));
    let inbound = Arc::new(Inbound::new(&settings, metrics));
    let mut kernel = Kernel::default();
    kernel.add(config)?;
    // Services stop in reverse order. The HTTP interface stops after the admission
    // controller, so that it still reports to entries that no runs are accepted while
    // runs in flight end.
    kernel.add(inbound)?;
    kernel.add(weights)?;
    kernel.add(admission)?;
    serve(kernel, settings.node.drain)
}
