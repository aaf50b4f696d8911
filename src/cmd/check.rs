use std::path::PathBuf;

use anyhow::Context;
use config::Declaration;
use pico_args::Arguments;

use crate::cli::{UsageError, finish};

pub const HELP: &str = "\
Checks an operators' text without applying it.

Usage: turmerichold check FILE
";

pub fn run(mut args: Arguments) -> anyhow::Result<()> {
    let path: PathBuf = args.free_from_str().map_err(UsageError::from)?;
    finish(args)?;
    let json = std::fs::read_to_string(&path)
        .with_context(|| format!("{} cannot be read; name a text", path.display()))?;
    let d = Declaration::parse(&path.display().to_string(), &json)?;
    println!(
        "ok: {} services, {} models, {} failure domains, {} client accounts",
        d.services.len(),
        d.models.len(),
        d.failure_domains.len(),
        d.client_accounts.len()
    );
    Ok(())
}
