use std::net::SocketAddr;

use http_types::Method;
use pico_args::Arguments;
use serde_json::Value;

use crate::cli::{UsageError, finish};
use crate::cmd::operator_client::{call, send};

pub const HELP: &str = "\
Shows services, upstreams and the progress of weight downloads, as known to one
entry.

Usage: turmerichold status --entry ADDRESS [--json | --text | --proposal ID]

Options
  --entry ADDRESS   any entry, IP:PORT
  --json            prints the complete state as JSON
  --text            prints the configuration in force; its revision goes to standard error
  --proposal ID     shows the outcome of a proposal
";

pub fn run(mut args: Arguments) -> anyhow::Result<()> {
    let entry: SocketAddr = args.value_from_str("--entry").map_err(UsageError::from)?;
    let json = args.contains("--json");
    let text = args.contains("--text");
    let proposal: Option<String> = args
        .opt_value_from_str("--proposal")
        .map_err(UsageError::from)?;
    finish(args)?;
    if let Some(id) = proposal {
        let path = format!("/config/proposals/{id}");
        let response = send(call(Method::Get, entry, &path)?)?;
        println!("{}", String::from_utf8_lossy(&response.body));
        return Ok(());
    }
    if text {
        let response = send(call(Method::Get, entry, "/config")?)?;
        eprintln!("revision {}", response.etag.unwrap_or_default());
        print!("{}", String::from_utf8_lossy(&response.body));
        return Ok(());
    }
    let response = send(call(Method::Get, entry, "/status")?)?;
    if json {
        println!("{}", String::from_utf8_lossy(&response.body));
        return Ok(());
    }
    print_table(&serde_json::from_slice(&response.body)?);
    Ok(())
}

fn print_table(state: &Value) {
    println!("revision {}", state["revision"]);
    let empty = serde_json::Map::new();
    for (id, service) in state["services"].as_object().unwrap_or(&empty) {
        println!("\n{id}: {} waiting", service["waiting"]);
        println!(
            "  {:<16} {:<14} {:<13} {:>9} {:>9}  serving",
            "vm", "domain", "door", "in flight", "chunks"
        );
        for upstream in service["upstreams"].as_array().into_iter().flatten() {
            print_upstream(upstream);
        }
    }
}

fn print_upstream(upstream: &Value) {
    let text = |v: &Value| v.as_str().unwrap_or("-").to_owned();
    let progress = &upstream["progress"];
    let chunks = match progress.is_null() {
        true => "-".to_owned(),
        false => format!("{}/{}", progress["have"], progress["total"]),
    };
    println!(
        "  {:<16} {:<14} {:<13} {:>9} {:>9}  {}",
        text(&upstream["vm"]),
        text(&upstream["failure_domain"]),
        text(&upstream["door"]),
        format!("{}/{}", upstream["in_flight"], upstream["limit"]),
        chunks,
        text(&progress["version"]),
    );
}
