//! One VM of a trial: its processes and where they listen.

use std::collections::BTreeSet;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::PathBuf;
use std::sync::{Mutex, PoisonError};

use fleet::Member;

use crate::trial::process::Process;

/// One of our processes and, for an agent, the upstream beside it.
pub struct Node {
    /// VM.
    pub member: Member,
    /// The entry or agent.
    pub process: Process,
    /// The upstream's address.
    pub upstream_addr: Option<SocketAddr>,
    /// The upstream's process.
    pub upstream_process: Option<Process>,
    /// Settings file.
    pub settings_file: PathBuf,
}

impl Node {
    /// Kills the upstream's process.
    pub fn kill_upstream(&mut self) {
        if let Some(p) = &mut self.upstream_process {
            p.kill();
        }
    }

    /// Sends a signal to the upstream's process.
    pub fn signal_upstream(&self, signal: rustix::process::Signal) -> anyhow::Result<()> {
        match &self.upstream_process {
            Some(p) => p.signal(signal),
            None => Ok(()),
        }
    }
}

/// Where a trial keeps settings and the output of its processes.
pub fn trial_dir() -> PathBuf {
    std::env::temp_dir().join(format!("turmerichold-trial-{}", std::process::id()))
}

/// Finds a loopback address that is free now and was not given out before: the
/// system may offer a port again as soon as its listener is closed.
pub fn free_addr() -> anyhow::Result<SocketAddr> {
    static GIVEN: Mutex<BTreeSet<u16>> = Mutex::new(BTreeSet::new());
    loop {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?;
        let addr = listener.local_addr()?;
        let mut given = GIVEN.lock().unwrap_or_else(PoisonError::into_inner);
        if given.insert(addr.port()) {
            return Ok(addr);
        }
    }
}
