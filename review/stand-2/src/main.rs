//! Scripts of the second review: each starts gateways of the project as processes on loopback
//! addresses, beside stand-ins of the platform's store, of upstreams and of clients.

mod client;
mod cold_join;
mod crowd;
mod engine;
mod fleet;
mod many_fields;
#[path = "../../../platform/tests/soak_parts/process.rs"]
#[allow(dead_code)]
mod process;
mod record;
mod relisted_limit;
mod restored_key;
#[path = "../../../platform/tests/stand_in/mod.rs"]
#[allow(dead_code)]
mod stand_in;

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use record::Record;

/// Longest time of a script.
const TIME_LIMIT: Duration = Duration::from_secs(110);

/// Result of a script.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// The rule held.
    Held,
    /// The rule was broken.
    Broken,
}

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().collect();
    let [_, case, path] = args.as_slice() else {
        eprintln!("usage: review-stand-2 CASE RECORD");
        return ExitCode::from(2);
    };
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let record = Record::new(PathBuf::from(path));
    record.note(&format!("case {case}, disruption: {trouble}"));
    let script = async {
        match case.as_str() {
            "cold-join" => cold_join::run(&record, trouble).await,
            "many-fields" => many_fields::run(&record, trouble).await,
            "crowd" => crowd::run(&record, trouble).await,
            "restored-key" => restored_key::run(&record, trouble).await,
            "relisted-limit" => relisted_limit::run(&record, trouble).await,
            _ => Err(format!("there is no case {case}")),
        }
    };
    let verdict = transport::block_on(transport::with_timeout(TIME_LIMIT, script));
    let verdict = verdict.unwrap_or(Err("the script took too long".to_owned()));
    record.note(&format!("verdict: {verdict:?}"));
    if let Err(e) = record.write() {
        eprintln!("the record cannot be written: {e}");
    }
    match verdict {
        Ok(Verdict::Held) => ExitCode::SUCCESS,
        Ok(Verdict::Broken) => ExitCode::from(1),
        Err(_) => ExitCode::from(2),
    }
}
