//! One file for each command.

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

/// A command's function.
type Call = fn(Arguments) -> anyhow::Result<()>;

/// Finds a command's help and function.
pub fn find(name: &str) -> Option<(&'static str, Call)> {
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
