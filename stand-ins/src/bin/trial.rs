//! Runs the system as real processes on loopback and checks its guarantees.

use std::process::ExitCode;

use pico_args::Arguments;
use stand_ins::trial::fleet::trial_dir;
use stand_ins::trial::{
    at_most_once, crash, drain, latency, overload, process, slopes, whole_path,
};

const HELP: &str = "\
Usage: cargo trial -- [TRIAL] [--json]

Trials
  (none)      end to end: distribution of weights, mixed load, and a failure domain
              taken out of service and put back
  at-most-once  orders during kills, freezes and lost responses at every step
  crash       a request that crashes each upstream that runs it
  overload    goodput at 1, 2 and 5 times the capacity, against two baselines
  drain       goodput while a failure domain is out of service and after it is back
  latency     latency added to a direct call
  slopes      cost of a request, change, chunk and process for docs/CAPACITY.md

Options
  --json      prints one JSON object on the last line

Exits with 1 when a requirement is not met.
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
            Some(other) => anyhow::bail!("unknown trial {other:?}; see --help"),
        }
    })?;
    if report.passed() {
        std::fs::remove_dir_all(trial_dir())?;
    } else {
        eprintln!(
            "trial: logs of the processes are in {}",
            trial_dir().display()
        );
    }
    report.print(json);
    Ok(report.passed())
}
