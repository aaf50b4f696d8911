use std::path::PathBuf;

use anyhow::Context;
use config::Declaration;
use pico_args::Arguments;

use crate::cli::{UsageError, finish};

pub const HELP: &str = "\
Checks a configuration file without applying it.

Usage: turmerichold check FILE
";

pub fn run(mut args: Arguments) -> anyhow::Result<()> {
    let path: PathBuf = args.free_from_str().map_err(UsageError::from)?;
    finish(args)?;
    let json = std::fs::read_to_string(&path).with_context(|| {
        format!(
            "{} cannot be read; name a text file with the configuration",
            path.display()
        )
    })?;
    let declaration = Declaration::parse(&path.display().to_string(), &json)?;
    println!(
        "ok: {} services, {} models, {} failure domains, {} client accounts",
        declaration.services.len(),
        declaration.models.len(),
        declaration.failure_domains.len(),
        declaration.client_accounts.len()
    );
    Ok(())
}
