use std::path::PathBuf;

use anyhow::{Context, bail};
use pico_args::Arguments;
use serde_json::{Map, Value};

use crate::cli::{UsageError, finish};

pub const HELP: &str = "\
Puts the story of one request together from the logs of several processes.

Usage: turmerichold explain REQUEST-ID FILE...

The files hold what processes wrote to standard output; lines of other kinds
are passed over. Besides the request's own lines, changes of what a process
believed about the upstreams that it met are shown.
";

/// Seconds before and after a request in which changes concern it.
const CONTEXT: f64 = 2.0;
/// Fields that stand at the start of each printed line.
const HEAD: [&str; 4] = ["time", "vm", "part", "what"];

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
    let story = story(&id, lines);
    if story.is_empty() {
        bail!("request {id} is in none of the files; it may have been left out under load");
    }
    for line in story {
        println!("{}", render(&line));
    }
    Ok(())
}

/// The JSON object of a line, which may have a prefix of its collector.
fn decode(line: &str) -> Option<Map<String, Value>> {
    serde_json::from_str(&line[line.find('{')?..]).ok()
}

/// The lines of a request and those around it about its upstreams, in order.
fn story(id: &str, mut lines: Vec<Map<String, Value>>) -> Vec<Map<String, Value>> {
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
        let near = time(l) >= first - CONTEXT && time(l) <= last + CONTEXT;
        let same_vm = l.get("vm").is_some_and(|v| vms.contains(v));
        let about = l.get("upstream").is_some_and(|u| upstreams.contains(u));
        let belief = l.get("part").and_then(Value::as_str) == Some("store") || about;
        is_own(l) || (near && same_vm && belief && !l.contains_key("request"))
    });
    lines.sort_by(|a, b| time(a).total_cmp(&time(b)));
    lines
}

fn time(line: &Map<String, Value>) -> f64 {
    line.get("time").and_then(Value::as_f64).unwrap_or(0.0)
}

fn render(line: &Map<String, Value>) -> String {
    let text = |key| line.get(key).and_then(Value::as_str).unwrap_or("-");
    let (vm, part, what) = (text("vm"), text("part"), text("what"));
    let mut out = format!("{:.3} {vm} {part}: {what}", time(line));
    for (key, value) in line.iter().filter(|(k, _)| !HEAD.contains(&k.as_str())) {
        out.push_str(&format!(" {key}={value}"));
    }
    out
}
