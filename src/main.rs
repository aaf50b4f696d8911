//! The program: the long-running roles and the operators' command line.

mod cli;
mod cmd;

use std::process::ExitCode;

fn main() -> ExitCode {
    cli::run(std::env::args_os().skip(1).collect())
}
