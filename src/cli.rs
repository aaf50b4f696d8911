use std::ffi::OsString;
use std::fmt;
use std::process::ExitCode;

use pico_args::Arguments;

use crate::cmd;

/// Exit code of a command that was refused or failed.
const REFUSED: u8 = 1;
/// Exit code of a call with wrong arguments.
const USAGE: u8 = 2;

const HELP: &str = "\
turmerichold: brings model weights to VMs and requests to upstreams

Usage: turmerichold COMMAND [OPTIONS]

Roles
  entry      takes callers' requests and operators' changes
  agent      runs beside one upstream
  gateway    takes callers' requests where upstreams are called directly
  loader     brings weights to the engine on the same VM

Commands
  check      checks an operators' text
  apply      puts an operators' text into force
  status     shows services, upstreams and the progress of models
  audit      shows who changed what, when and with what outcome
  explain    tells the story of one request from the logs of processes
  manifest   makes the manifest of a file of weights

Options
  --log LEVEL   off, error, warn, info (default), debug or trace
  --help        shows the help of the program or of a command
  --version     shows the version

Exit codes: 0 done, 1 refused or failed, 2 wrong arguments.
";

/// A call with wrong arguments.
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

/// Runs the command that the arguments name.
pub fn run(args: Vec<OsString>) -> ExitCode {
    match dispatch(Arguments::from_vec(args)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("turmerichold: {e:#}");
            ExitCode::from(match e.is::<UsageError>() {
                true => USAGE,
                false => REFUSED,
            })
        }
    }
}

/// Fails when arguments are left over.
pub fn finish(args: Arguments) -> Result<(), UsageError> {
    match args.finish().first() {
        None => Ok(()),
        Some(a) => Err(UsageError(format!("argument {a:?} is not known"))),
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
            false => Err(UsageError("a command is missing".to_owned()).into()),
        };
    };
    let (text, call) = cmd::find(&command)
        .ok_or_else(|| UsageError(format!("command {command:?} is not known")))?;
    if help {
        print!("{text}");
        return Ok(());
    }
    telemetry::init_logs(level.as_deref().unwrap_or("info"))
        .map_err(|e| UsageError(e.to_string()))?;
    call(args)
}
