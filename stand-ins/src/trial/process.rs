//! Child processes of a trial.

use std::fs::File;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use anyhow::Context;
use rustix::process::{Pid, Signal, kill_process};
use smol::Timer;

/// Interval at which a stopping process is checked.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// A running process; killed when dropped.
pub struct Process {
    /// Name in messages and of the log file.
    pub name: String,
    child: Child,
}

impl Process {
    /// Starts a program from the directory of the current one; its output goes to a
    /// file in `dir`.
    pub fn start(program: &str, name: &str, args: &[String], dir: &Path) -> anyhow::Result<Self> {
        let log = File::create(dir.join(format!("{name}.log")))?;
        let child = Command::new(program_path(program)?)
            .args(args)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()
            .with_context(|| format!("{program} for {name} did not start"))?;
        Ok(Process {
            name: name.to_owned(),
            child,
        })
    }

    /// Sends a signal.
    pub fn signal(&self, signal: Signal) -> anyhow::Result<()> {
        let pid = i32::try_from(self.child.id()).ok().and_then(Pid::from_raw);
        kill_process(pid.context("the process has no id")?, signal)?;
        Ok(())
    }

    /// Kills the process at once.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Sends SIGTERM and waits; false if the process is still running after the limit or
    /// exits with an error.
    pub async fn stop(&mut self, limit: Duration) -> anyhow::Result<bool> {
        self.signal(Signal::TERM)?;
        let start = Instant::now();
        while start.elapsed() < limit {
            if let Some(status) = self.child.try_wait()? {
                return Ok(status.success());
            }
            Timer::after(POLL_INTERVAL).await;
        }
        Ok(false)
    }

    /// CPU time used so far and resident memory; `None` if they cannot be read.
    pub fn usage(&self) -> Option<Usage> {
        let proc = PathBuf::from("/proc").join(self.child.id().to_string());
        let status = std::fs::read_to_string(proc.join("status")).ok()?;
        let rss = status.lines().find_map(|l| l.strip_prefix("VmRSS:"))?;
        let kib: u64 = rss.split_whitespace().next()?.parse().ok()?;
        let mut nanos = 0;
        for task in std::fs::read_dir(proc.join("task")).ok()? {
            let line = std::fs::read_to_string(task.ok()?.path().join("schedstat")).ok()?;
            nanos += line.split_whitespace().next()?.parse::<u64>().ok()?;
        }
        Some(Usage {
            cpu_time: Duration::from_nanos(nanos),
            memory: kib * 1024,
        })
    }
}

/// Resources that a process uses.
#[derive(Debug, Clone, Copy, Default)]
pub struct Usage {
    /// CPU time since its start.
    pub cpu_time: Duration,
    /// Resident memory in bytes.
    pub memory: u64,
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

fn program_path(program: &str) -> anyhow::Result<PathBuf> {
    let current = std::env::current_exe()?;
    let dir = current.parent().context("the program has no directory")?;
    Ok(dir.join(program))
}

/// Builds the programs that trials start, in the profile of the current one.
pub fn build() -> anyhow::Result<()> {
    let cargo = std::env::var_os("CARGO").unwrap_or_else(|| "cargo".into());
    let mut command = Command::new(cargo);
    command.args([
        "build",
        "--quiet",
        "--package",
        "turmerichold",
        "--package",
        "stand-ins",
    ]);
    if !cfg!(debug_assertions) {
        command.arg("--release");
    }
    let status = command.status().context("cargo cannot be run")?;
    anyhow::ensure!(status.success(), "the build failed");
    Ok(())
}
