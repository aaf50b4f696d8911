use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::{SystemTime, UNIX_EPOCH};

use anyhow::Context;
use config::Declaration;
use http_types::Method;
use pico_args::Arguments;

use crate::cli::{UsageError, finish};
use crate::cmd::operator_client::{call, send};

pub const HELP: &str = "\
Puts an operators' text into force.

Usage: turmerichold apply FILE --entry ADDRESS --base REVISION --author NAME

Options
  --entry ADDRESS    any entry, IP:PORT
  --base REVISION    revision that the edit was made against; 0 for the first text
  --author NAME      who asks, for the audit trail

Exits with 1 when another change came first or the text is not valid. When the
log does not answer in time the outcome is unknown; the message names the id to
ask about with `status --proposal ID`.
";

pub fn run(mut args: Arguments) -> anyhow::Result<()> {
    let entry: SocketAddr = args.value_from_str("--entry").map_err(UsageError::from)?;
    let base: u64 = args.value_from_str("--base").map_err(UsageError::from)?;
    let author: String = args.value_from_str("--author").map_err(UsageError::from)?;
    let path: PathBuf = args.free_from_str().map_err(UsageError::from)?;
    finish(args)?;
    let text = std::fs::read_to_string(&path)
        .with_context(|| format!("{} cannot be read; name a text", path.display()))?;
    Declaration::parse(&path.display().to_string(), &text)?;
    let id = proposal_id(&author);
    let request = call(Method::Put, entry, "/config")?
        .header("if-match", &format!("\"{base}\""))
        .header("author", &author)
        .header("proposal-id", &id)
        .body(text.into_bytes());
    let answer = send(request).with_context(|| format!("proposal {id}"))?;
    println!("proposal {id}: {}", String::from_utf8_lossy(&answer.body));
    Ok(())
}

fn proposal_id(author: &str) -> String {
    let now = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    format!("{author}-{:x}-{:x}", now.as_nanos(), std::process::id())
}
