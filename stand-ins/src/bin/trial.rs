//! Runs the system as real processes on loopback and judges its promises.

use std::process::ExitCode;

use pico_args::Arguments;
use stand_ins::trial::fleet::trial_dir;
use stand_ins::trial::{
    at_most_once, crash, drain, latency, overload, process, slopes, whole_path,
};

const HELP: &str = "\
Usage: cargo trial -- [TRIAL] [--json]

Trials
  (none)      the whole path: weights, mixed load, a failure domain out and back
  at-most-once  orders under kills, freezes and cuts at every step
  crash       a request that crashes each upstream that runs it
  overload    goodput at 1, 2 and 5 times the capacity, against two baselines
  drain       service while a failure domain leaves and returns
  latency     added latency over a direct call
  slopes      the slopes of docs/CAPACITY.md

Options
  --json      prints one JSON object on the last line

Exits with 1 when a promise is broken.
";

fn main() -> ExitCode {
    match run() {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(1),
        Err(e) => {
            eprintln!("trial: {e:#}");
            ExitCode::from(1)
        }
    }
}

fn run() -> anyhow::Result<bool> {
    let mut args = Arguments::from_env();
    if args.contains("--help") {
        print!("{HELP}");
        return Ok(true);
    }
    let json = args.contains("--json");
    let name = args.subcommand()?;
    process::build()?;
    let report = smol::block_on(async {
        match name.as_deref() {
            None => whole_path::run().await,
            Some("at-most-once") => at_most_once::run().await,
            Some("crash") => crash::run().await,
            Some("overload") => overload::run().await,
            Some("drain") => drain::run().await,
            Some("latency") => latency::run().await,
            Some("slopes") => slopes::run().await,
            Some(other) => anyhow::bail!("trial {other:?} is not known; see --help"),
        }
    })?;
    if report.passed() {
        std::fs::remove_dir_all(trial_dir())?;
    } else {
        eprintln!("trial: logs are in {}", trial_dir().display());
    }
    report.print(json);
    Ok(report.passed())
}
