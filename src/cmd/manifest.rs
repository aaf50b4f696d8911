use std::fs::File;
use std::io::BufReader;
use std::path::PathBuf;

use anyhow::Context;
use pico_args::Arguments;
use serde_json::json;
use weights::Manifest;

use crate::cli::{UsageError, finish};

pub const HELP: &str = "\
Creates the manifest of a weights file and prints the model's entry for the
configuration.

Usage: turmerichold manifest FILE --model NAME --label LABEL [OPTIONS]

Options
  --model NAME         name of the model
  --label LABEL        label of the version
  --chunk-bytes N      size of a chunk, default 4194304
  --out FILE           manifest to write, default FILE.manifest
";

/// Default size of a chunk, in bytes.
const DEFAULT_CHUNK_BYTES: u64 = 4 << 20;

pub fn run(mut args: Arguments) -> anyhow::Result<()> {
    let model: String = args.value_from_str("--model").map_err(UsageError::from)?;
    let version: String = args.value_from_str("--label").map_err(UsageError::from)?;
    let chunk_bytes: Option<u64> = args
        .opt_value_from_str("--chunk-bytes")
        .map_err(UsageError::from)?;
    let out: Option<PathBuf> = args.opt_value_from_str("--out").map_err(UsageError::from)?;
    let path: PathBuf = args.free_from_str().map_err(UsageError::from)?;
    finish(args)?;
    let file = File::open(&path)
        .with_context(|| format!("{} cannot be read; name a weights file", path.display()))?;
    let chunk_bytes = chunk_bytes.unwrap_or(DEFAULT_CHUNK_BYTES).max(1);
    let manifest = Manifest::from_reader(&model, &version, chunk_bytes, BufReader::new(file))?;
    let out = out.unwrap_or_else(|| {
        let mut name = path.clone().into_os_string();
        name.push(".manifest");
        PathBuf::from(name)
    });
    std::fs::write(&out, manifest.to_bytes())
        .with_context(|| format!("{} cannot be written", out.display()))?;
    let model_entry = json!({ model: {
        "version": version,
        "size": manifest.size,
        "manifest": manifest.digest(),
    }});
    println!("{}", serde_json::to_string_pretty(&model_entry)?);
    Ok(())
}
