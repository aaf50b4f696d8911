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
Applies a configuration file.

Usage: turmerichold apply FILE --entry ADDRESS --base REVISION --author NAME

Options
  --entry ADDRESS    any entry, IP:PORT
  --base REVISION    revision that was edited; 0 for the first configuration
  --author NAME      author of the change, for the audit trail

Exits with 1 if the revision in force is no longer REVISION or the configuration
is not valid. If the log does not respond in time, the outcome is unknown: the
error names the id of the proposal, and `status --proposal ID` shows its outcome.
";

pub fn run(mut args: Arguments) -> anyhow::Result<()> {
    let entry: SocketAddr = args.value_from_str("--entry").map_err(UsageError::from)?;
    let base: u64 = args.value_from_str("--base").map_err(UsageError::from)?;
    let author: String = args.value_from_str("--author").map_err(UsageError::from)?;
    let path: PathBuf = args.free_from_str().map_err(UsageError::from)?;
    finish(args)?;
    let text = std::fs::read_to_string(&path).with_context(|| {
        format!(
            "{} cannot be read; name a text file with the configuration",
            path.display()
        )
    })?;
    Declaration::parse(&path.display().to_string(), &text)?;
    let id = proposal_id(&author);
    let request = call(Method::Put, entry, "/config")?
        .header("if-match", &format!("\"{base}\""))
        .header("author", &author)
        .header("proposal-id", &id)
        .body(text.into_bytes());
    let response = send(request).with_context(|| format!("proposal {id}"))?;
    println!("proposal {id}: {}", String::from_utf8_lossy(&response.body));
    Ok(())
}

fn proposal_id(author: &str) -> String {
    let now = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    format!("{author}-{:x}-{:x}", now.as_nanos(), std::process::id())
}
