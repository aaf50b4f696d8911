use std::ffi::OsString;
use std::fmt;
use std::process::ExitCode;
use std::time::Duration;

use pico_args::Arguments;

use crate::cmd;

/// Exit code of a command that was refused or failed.
const EXIT_FAILED: u8 = 1;
/// Exit code for wrong arguments.
const EXIT_USAGE: u8 = 2;
/// Time for the last log lines of a process to be written.
const FLUSH_LIMIT: Duration = Duration::from_millis(200);

const HELP: &str = "\
turmerichold: distributes model weights to VMs and routes requests to upstreams

Usage: turmerichold COMMAND [OPTIONS]

Roles
  entry      accepts callers' requests and operators' changes, calls agents
  agent      runs beside one upstream, limits its requests and loads its weights
  gateway    accepts callers' requests and calls upstreams directly
  loader     loads weights into the engine on the same VM

Commands
  check      checks a configuration file
  apply      applies a configuration file
  status     shows services, upstreams and the progress of weight downloads
  audit      shows proposals, crashes and load orders with their outcomes
  explain    shows what happened to one request, from the logs of processes
  manifest   creates the manifest of a weights file

Options
  --log LEVEL   off, error, warn, info (default), debug or trace
  --help        shows the help of the program or of a command
  --version     shows the version

Exit codes: 0 done, 1 refused or failed, 2 wrong arguments.
";

/// The arguments are wrong.
#[derive(Debug)]
pub struct UsageError(pub String);

impl fmt::Display for UsageError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}; see --help", self.0)
    }
}

impl std::error::Error for UsageError {}

impl From<pico_args::Error> for UsageError {
    fn from(e: pico_args::Error) -> Self {
        UsageError(e.to_string())
    }
}

/// Runs the command named by the arguments and returns its exit code.
pub fn run(args: Vec<OsString>) -> ExitCode {
    match dispatch(Arguments::from_vec(args)) {
        Ok(()) => {
            telemetry::flush_logs(FLUSH_LIMIT);
            ExitCode::SUCCESS
        }
        Err(e) => {
            telemetry::report_error(&format!("turmerichold: {e:#}"), FLUSH_LIMIT);
            ExitCode::from(match e.is::<UsageError>() {
                true => EXIT_USAGE,
                false => EXIT_FAILED,
            })
        }
    }
}

/// An error if arguments are left over.
pub fn finish(args: Arguments) -> Result<(), UsageError> {
    match args.finish().first() {
        None => Ok(()),
        Some(a) => Err(UsageError(format!("unexpected argument {a:?}"))),
    }
}

fn dispatch(mut args: Arguments) -> anyhow::Result<()> {
    let help = args.contains(["-h", "--help"]);
    if args.contains("--version") {
        println!("turmerichold {}", env!("CARGO_PKG_VERSION"));
        return Ok(());
    }
    let level: Option<String> = args.opt_value_from_str("--log").map_err(UsageError::from)?;
    let command = args.subcommand().map_err(UsageError::from)?;
    let Some(command) = command else {
        print!("{HELP}");
        return match help {
            true => Ok(()),
            false => Err(UsageError("no command given".to_owned()).into()),
        };
    };
    let (text, execute) =
        cmd::find(&command).ok_or_else(|| UsageError(format!("unknown command {command:?}")))?;
    if help {
        print!("{text}");
        return Ok(());
    }
    telemetry::init_logs(level.as_deref().unwrap_or("info"))
        .map_err(|e| UsageError(e.to_string()))?;
    execute(args)
}
