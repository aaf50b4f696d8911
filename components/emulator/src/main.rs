//! Compares scheduling policies under load patterns; see `--help`.

use std::fs::File;
use std::io::{BufWriter, Write};
use std::path::PathBuf;

use anyhow::{Context, bail};
use emulator::{Emulation, FleetSize, Pattern, PolicyName, Report, svg_chart};
use pico_args::Arguments;

const HELP: &str = "\
Compares policies that assign, queue or refuse requests under load, in virtual time.

Usage: emulator [--patterns A,B] [--policies A,B] [--seeds FROM..TO] [--entries N]
                [--engines N] [--domains N] [--lines FILE] [--plot FILE]

  --patterns   steady, backlog, step, hot-account, impatient, leaving, lost, joining,
               switch, domain-out, double, fivefold, uneven, uneven-step, ranked,
               short-parts, long-parts (all of them)
  --policies   ours, no-objectives, ignore-pace, no-prefixes, first-come, round-robin,
               refuse-full (all of them)
  --seeds      seeds of the runs, TO excluded (1..4)
  --entries    number of entries (3)
  --engines    number of engines (14)
  --domains    number of failure domains (3)
  --lines      file for the report of each run, as one line of JSON
  --plot       file for an SVG chart of the mean share of value earned

Prints a table of means over the seeds to standard output.
";

struct Options {
    patterns: Vec<Pattern>,
    policies: Vec<PolicyName>,
    seeds: std::ops::Range<u64>,
    size: FleetSize,
    lines: Option<PathBuf>,
    plot: Option<PathBuf>,
}

impl TryFrom<Arguments> for Options {
    type Error = anyhow::Error;

    fn try_from(mut args: Arguments) -> anyhow::Result<Self> {
        let patterns: Option<String> = args.opt_value_from_str("--patterns")?;
        let policies: Option<String> = args.opt_value_from_str("--policies")?;
        let seeds: Option<String> = args.opt_value_from_str("--seeds")?;
        let size = FleetSize {
            entries: args.opt_value_from_str("--entries")?.unwrap_or(3),
            engines: args.opt_value_from_str("--engines")?.unwrap_or(14),
            domains: args.opt_value_from_str("--domains")?.unwrap_or(3),
        };
        if size.entries == 0 || size.engines == 0 || size.domains == 0 {
            bail!("--entries, --engines and --domains must be at least 1");
        }
        let options = Options {
            patterns: select(patterns, &Pattern::ALL, Pattern::name)?,
            policies: select(policies, &PolicyName::ALL, PolicyName::name)?,
            seeds: parse_seeds(seeds.as_deref().unwrap_or("1..4"))?,
            size,
            lines: args.opt_value_from_str("--lines")?,
            plot: args.opt_value_from_str("--plot")?,
        };
        let rest = args.finish();
        if let Some(first) = rest.first() {
            bail!("unknown argument {first:?}; see --help");
        }
        Ok(options)
    }
}

fn select<T: Copy>(
    list: Option<String>,
    all: &[T],
    name: impl Fn(T) -> &'static str,
) -> anyhow::Result<Vec<T>> {
    let Some(list) = list else {
        return Ok(all.to_vec());
    };
    let find = |requested: &str| {
        let found = all.iter().copied().find(|t| name(*t) == requested);
        found.with_context(|| format!("unknown name {requested:?}; see --help"))
    };
    list.split(',').map(find).collect()
}

fn parse_seeds(text: &str) -> anyhow::Result<std::ops::Range<u64>> {
    let message = || format!("--seeds {text:?} is not a range such as 1..4");
    let (from, to) = text.split_once("..").with_context(message)?;
    let range = from.parse().with_context(message)?..to.parse().with_context(message)?;
    if range.is_empty() {
        bail!("--seeds {text:?} is an empty range");
    }
    Ok(range)
}

fn main() -> anyhow::Result<()> {
    let mut args = Arguments::from_env();
    if args.contains("--help") {
        print!("{HELP}");
        return Ok(());
    }
    let options = Options::try_from(args)?;
    let mut lines = match &options.lines {
        Some(path) => {
            let file = File::create(path);
            let file = file.with_context(|| format!("cannot create {}", path.display()))?;
            Some(BufWriter::new(file))
        }
        None => None,
    };
    let mut reports = Vec::new();
    println!("{}", header());
    for pattern in &options.patterns {
        for policy in &options.policies {
            let mut runs = Vec::new();
            for seed in options.seeds.clone() {
                let emulation = Emulation::new(options.size, *pattern, *policy, seed);
                let label = format!("{}, {}, seed {seed}", pattern.name(), policy.name());
                let report = Report {
                    policy: policy.name(),
                    seed,
                    ..emulation.run(|fraction| eprint!("\r{label}: {:3.0} %  ", fraction * 100.0))
                };
                if let Some(lines) = &mut lines {
                    serde_json::to_writer(&mut *lines, &report)?;
                    lines.write_all(b"\n")?;
                }
                runs.push(report);
            }
            eprint!("\r{:60}\r", "");
            println!("{}", row(&runs));
            reports.extend(runs);
        }
    }
    if let Some(path) = &options.plot {
        std::fs::write(path, svg_chart(&reports))
            .with_context(|| format!("cannot write {}", path.display()))?;
    }
    Ok(())
}

fn header() -> String {
    format!(
        "{:12} {:14} {:>6} {:>6} {:>7} {:>6} {:>7} {:>8} {:>7} {:>7} {:>6} {:>7} {:>7} {:>6}",
        "pattern",
        "policy",
        "worth",
        "worst",
        "on time",
        "late",
        "refused",
        "goodput",
        "p50 ms",
        "p99 ms",
        "kind",
        "account",
        "largest",
        "held"
    )
}

fn row(runs: &[Report]) -> String {
    let mean = |f: fn(&Report) -> f64| runs.iter().map(f).sum::<f64>() / runs.len().max(1) as f64;
    let name = |f: fn(&Report) -> &'static str| runs.first().map_or("", f);
    format!(
        "{:12} {:14} {:6.3} {:6.3} {:7.3} {:6.3} {:7.3} {:8.1} {:7.0} {:7.0} {:6.2} {:7.2} {:7.2} {:6.3}",
        name(|r| r.pattern),
        name(|r| r.policy),
        mean(|r| r.worth),
        mean(|r| r.worst),
        mean(|r| r.on_time),
        mean(|r| r.late),
        mean(|r| r.refused),
        mean(|r| r.goodput),
        mean(|r| r.start_p50_ms as f64),
        mean(|r| r.start_p99_ms as f64),
        mean(|r| r.worst_kind),
        mean(|r| r.small_account),
        [0, 1, 2]
            .map(|k| runs.iter().map(|r| r.largest[k]).sum::<f64>() / runs.len().max(1) as f64)
            .into_iter()
            .fold(f64::INFINITY, f64::min),
        mean(|r| r.held),
    )
}
