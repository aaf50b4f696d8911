use std::net::SocketAddr;

use http_types::Method;
use pico_args::Arguments;
use serde_json::Value;

use crate::cli::{UsageError, finish};
use crate::cmd::operator_client::{call, send};

pub const HELP: &str = "\
Shows proposals, crashes and load orders with their outcomes, as far back as the
log retains them.

Usage: turmerichold audit --entry ADDRESS [--json]

Options
  --entry ADDRESS   any entry, IP:PORT
  --json            prints one JSON object per line
";

pub fn run(mut args: Arguments) -> anyhow::Result<()> {
    let entry: SocketAddr = args.value_from_str("--entry").map_err(UsageError::from)?;
    let json = args.contains("--json");
    finish(args)?;
    let response = send(call(Method::Get, entry, "/audit")?)?;
    let events: Vec<Value> = serde_json::from_slice(&response.body)?;
    for event in &events {
        match json {
            true => println!("{event}"),
            false => print_event(event),
        }
    }
    Ok(())
}

fn print_event(event: &Value) {
    let text = |v: &Value| match v {
        Value::String(s) => s.clone(),
        other => other.to_string(),
    };
    println!(
        "{:<7} {:>6}  {:<28} {}: {}",
        text(&event["stream"]),
        event["offset"],
        text(&event["who"]),
        text(&event["what"]),
        text(&event["outcome"])
    );
}
