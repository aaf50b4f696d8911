//! Mutation testing: applies each mutant of `scenarios/mutants.txt` to a copy of the
//! source and checks that its test fails.

use std::path::{Path, PathBuf};
use std::process::{Command, ExitCode, Stdio};

use anyhow::{Context, ensure};

/// A change that puts a fault into a file, and the test that must fail with it.
#[derive(Debug, Default)]
struct Mutant {
    name: String,
    file: String,
    old: String,
    new: Vec<String>,
    test: String,
}

fn main() -> ExitCode {
    match run() {
        Ok(0) => ExitCode::SUCCESS,
        Ok(_) => ExitCode::from(1),
        Err(e) => {
            eprintln!("mutants: {e:#}");
            ExitCode::from(1)
        }
    }
}

/// Returns the number of mutants with which the tests pass.
fn run() -> anyhow::Result<usize> {
    let source = std::env::current_dir()?;
    let mutants = parse(&std::fs::read_to_string("scenarios/mutants.txt")?)?;
    let copy = std::env::temp_dir().join(format!("turmerichold-mutants-{}", std::process::id()));
    copy_tree(&source, &copy)?;
    let mut missed = 0;
    for mutant in &mutants {
        let detected = is_detected(&copy, mutant).with_context(|| mutant.name.clone())?;
        println!(
            "{}: {}",
            if detected { "found " } else { "MISSED" },
            mutant.name
        );
        missed += usize::from(!detected);
    }
    std::fs::remove_dir_all(&copy)?;
    println!("{} passed, {missed} failed", mutants.len() - missed);
    Ok(missed)
}

fn parse(text: &str) -> anyhow::Result<Vec<Mutant>> {
    let mut mutants: Vec<Mutant> = Vec::new();
    for line in text
        .lines()
        .filter(|l| !l.is_empty() && !l.starts_with('#'))
    {
        if let Some(name) = line.strip_prefix("mutant: ") {
            mutants.push(Mutant {
                name: name.to_owned(),
                ..Mutant::default()
            });
            continue;
        }
        let last = mutants
            .last_mut()
            .context("the first line must name a mutant")?;
        match line.split_once(' ') {
            Some(("file:", rest)) => last.file = rest.to_owned(),
            Some(("-", rest)) => last.old = rest.to_owned(),
            Some(("+", rest)) => last.new.push(rest.to_owned()),
            Some(("test:", rest)) => last.test = rest.to_owned(),
            _ => anyhow::bail!("line {line:?} has no known prefix"),
        }
    }
    Ok(mutants)
}

/// Whether the test fails with the mutant applied. A mutant that does not compile is an
/// error.
fn is_detected(dir: &Path, mutant: &Mutant) -> anyhow::Result<bool> {
    let path = dir.join(&mutant.file);
    let original = std::fs::read_to_string(&path)?;
    let matches = original.matches(&mutant.old).count();
    ensure!(
        matches == 1,
        "{} contains {:?} {matches} times, not once",
        mutant.file,
        mutant.old
    );
    std::fs::write(
        &path,
        original.replacen(&mutant.old, &mutant.new.join("\n"), 1),
    )?;
    let compiles = cargo(dir, &mutant.test, &["--no-run"])?;
    let passes = compiles && cargo(dir, &mutant.test, &[])?;
    std::fs::write(&path, original)?;
    ensure!(compiles, "the mutant does not compile");
    Ok(!passes)
}

fn cargo(dir: &Path, test: &str, extra_args: &[&str]) -> anyhow::Result<bool> {
    let cargo = std::env::var_os("CARGO").unwrap_or_else(|| "cargo".into());
    let status = Command::new(cargo)
        .current_dir(dir)
        .args(["test", "--quiet"])
        .args(test.split(' '))
        .args(extra_args)
        .stdout(Stdio::null())
        .stderr(Stdio::null())
        .status()?;
    Ok(status.success())
}

fn copy_tree(from: &Path, to: &Path) -> anyhow::Result<()> {
    std::fs::create_dir_all(to)?;
    for entry in std::fs::read_dir(from)? {
        let entry = entry?;
        let name = entry.file_name();
        if name == "target" || name == ".git" {
            continue;
        }
        let target: PathBuf = to.join(&name);
        match entry.file_type()?.is_dir() {
            true => copy_tree(&entry.path(), &target)?,
            false => drop(std::fs::copy(entry.path(), target)?),
        }
    }
    Ok(())
}
