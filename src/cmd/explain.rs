use std::path::PathBuf;

use anyhow::{Context, bail};
use pico_args::Arguments;
use serde_json::{Map, Value};

use crate::cli::{UsageError, finish};

pub const HELP: &str = "\
Shows what happened to one request, from the logs of several processes.

Usage: turmerichold explain REQUEST-ID FILE...

The files hold the standard output of processes; lines that are not JSON objects
are skipped. Lines of the same VMs around that time about the upstreams involved
and about access to the store are also printed.
";

/// Seconds before the first and after the last line of a request in which related lines
/// are shown.
const CONTEXT_SECONDS: f64 = 2.0;
/// Fields at the start of each printed line.
const LEADING_FIELDS: [&str; 4] = ["time", "vm", "part", "what"];

pub fn run(mut args: Arguments) -> anyhow::Result<()> {
    let id: String = args.free_from_str().map_err(UsageError::from)?;
    let mut lines = Vec::new();
    while let Some(path) = args
        .opt_free_from_str::<PathBuf>()
        .map_err(UsageError::from)?
    {
        let text = std::fs::read_to_string(&path)
            .with_context(|| format!("{} cannot be read; name a log file", path.display()))?;
        lines.extend(text.lines().filter_map(decode));
    }
    finish(args)?;
    let selected = select_lines(&id, lines);
    if selected.is_empty() {
        bail!("request {id} is in none of the files; its lines may have been left out under load");
    }
    for line in selected {
        println!("{}", render(&line));
    }
    Ok(())
}

/// The JSON object of a line, which may follow a prefix added by a log collector.
fn decode(line: &str) -> Option<Map<String, Value>> {
    serde_json::from_str(&line[line.find('{')?..]).ok()
}

/// The lines of request `id` and lines around that time about its upstreams and the
/// store, by time.
fn select_lines(id: &str, mut lines: Vec<Map<String, Value>>) -> Vec<Map<String, Value>> {
    let is_own = |l: &Map<String, Value>| l.get("request").and_then(Value::as_str) == Some(id);
    let own: Vec<&Map<String, Value>> = lines.iter().filter(|l| is_own(l)).collect();
    let times = || own.iter().map(|l| time(l));
    let (Some(first), Some(last)) = (times().reduce(f64::min), times().reduce(f64::max)) else {
        return Vec::new();
    };
    let vms: Vec<Value> = own.iter().filter_map(|l| l.get("vm").cloned()).collect();
    let upstreams: Vec<Value> = own
        .iter()
        .filter_map(|l| l.get("upstream").cloned())
        .collect();
    lines.retain(|l| {
        let near = time(l) >= first - CONTEXT_SECONDS && time(l) <= last + CONTEXT_SECONDS;
        let same_vm = l.get("vm").is_some_and(|v| vms.contains(v));
        let same_upstream = l.get("upstream").is_some_and(|u| upstreams.contains(u));
        let is_context = l.get("part").and_then(Value::as_str) == Some("store") || same_upstream;
        is_own(l) || (near && same_vm && is_context && !l.contains_key("request"))
    });
    lines.sort_by(|a, b| time(a).total_cmp(&time(b)));
    lines
}

fn time(line: &Map<String, Value>) -> f64 {
    line.get("time").and_then(Value::as_f64).unwrap_or(0.0)
}

fn render(line: &Map<String, Value>) -> String {
    let field = |key| line.get(key).and_then(Value::as_str).unwrap_or("-");
    let (vm, part, what) = (field("vm"), field("part"), field("what"));
    let mut out = format!("{:.3} {vm} {part}: {what}", time(line));
    for (key, value) in line
        .iter()
        .filter(|(k, _)| !LEADING_FIELDS.contains(&k.as_str()))
    {
        out.push_str(&format!(" {key}={value}"));
    }
    out
}
