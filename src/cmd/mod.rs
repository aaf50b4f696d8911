//! The commands, one file each.

mod agent;
mod apply;
mod audit;
mod check;
mod entry;
mod explain;
mod gateway;
mod loader;
mod manifest;
mod operator_client;
mod role;
mod status;
mod stop;

use pico_args::Arguments;

/// Function that runs a command.
type CommandFn = fn(Arguments) -> anyhow::Result<()>;

/// Help text and function of the command `name`.
pub fn find(name: &str) -> Option<(&'static str, CommandFn)> {
    Some(match name {
        "entry" => (entry::HELP, entry::run),
        "explain" => (explain::HELP, explain::run),
        "gateway" => (gateway::HELP, gateway::run),
        "loader" => (loader::HELP, loader::run),
        "agent" => (agent::HELP, agent::run),
        "check" => (check::HELP, check::run),
        "apply" => (apply::HELP, apply::run),
        "status" => (status::HELP, status::run),
        "audit" => (audit::HELP, audit::run),
        "manifest" => (manifest::HELP, manifest::run),
        _ => return None,
    })
}
