use std::net::SocketAddr;

use http_types::Method;
use pico_args::Arguments;
use serde_json::Value;

use crate::cli::{UsageError, finish};
use crate::cmd::operator_client::{call, send};

pub const HELP: &str = "\
Shows services, upstreams and the progress of models as one entry sees them.

Usage: turmerichold status --entry ADDRESS [--json | --text | --proposal ID]

Options
  --entry ADDRESS   any entry, IP:PORT
  --json            prints the whole state as JSON
  --text            prints the text in force, its revision on standard error
  --proposal ID     tells what became of a proposal
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
        let answer = send(call(Method::Get, entry, &path)?)?;
        println!("{}", String::from_utf8_lossy(&answer.body));
        return Ok(());
    }
    if text {
        let answer = send(call(Method::Get, entry, "/config")?)?;
        eprintln!("revision {}", answer.etag.unwrap_or_default());
        print!("{}", String::from_utf8_lossy(&answer.body));
        return Ok(());
    }
    let answer = send(call(Method::Get, entry, "/status")?)?;
    if json {
        println!("{}", String::from_utf8_lossy(&answer.body));
        return Ok(());
    }
    print_table(&serde_json::from_slice(&answer.body)?);
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
        for u in service["upstreams"].as_array().into_iter().flatten() {
            print_upstream(u);
        }
    }
}

fn print_upstream(u: &Value) {
    let text = |v: &Value| v.as_str().unwrap_or("-").to_owned();
    let progress = &u["progress"];
    let chunks = match progress.is_null() {
        true => "-".to_owned(),
        false => format!("{}/{}", progress["have"], progress["total"]),
    };
    println!(
        "  {:<16} {:<14} {:<13} {:>9} {:>9}  {}",
        text(&u["vm"]),
        text(&u["failure_domain"]),
        text(&u["door"]),
        format!("{}/{}", u["in_flight"], u["limit"]),
        chunks,
        text(&progress["version"]),
    );
}
