//! One VM of a trial: its processes and their addresses.

use std::collections::BTreeSet;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::PathBuf;
use std::sync::{Mutex, PoisonError};

use fleet::Member;

use crate::trial::process::Process;

/// An entry or an agent and, for an agent, the upstream on the same VM.
pub struct Node {
    /// VM as the platform lists it.
    pub member: Member,
    /// Process of the entry or agent.
    pub process: Process,
    /// Address of the upstream.
    pub upstream_addr: Option<SocketAddr>,
    /// Process of the upstream.
    pub upstream_process: Option<Process>,
    /// Settings file of the entry or agent.
    pub settings_file: PathBuf,
}

impl Node {
    /// Kills the process of the upstream, if there is one.
    pub fn kill_upstream(&mut self) {
        if let Some(p) = &mut self.upstream_process {
            p.kill();
        }
    }

    /// Sends a signal to the process of the upstream, if there is one.
    pub fn signal_upstream(&self, signal: rustix::process::Signal) -> anyhow::Result<()> {
        match &self.upstream_process {
            Some(p) => p.signal(signal),
            None => Ok(()),
        }
    }
}

/// Directory with the settings and the output of the processes of a trial.
pub fn trial_dir() -> PathBuf {
    std::env::temp_dir().join(format!("turmerichold-trial-{}", std::process::id()))
}

/// Returns a free loopback address that it did not return before: the operating
/// system may assign a port again as soon as its listener is closed.
pub fn free_addr() -> anyhow::Result<SocketAddr> {
    static USED_PORTS: Mutex<BTreeSet<u16>> = Mutex::new(BTreeSet::new());
    loop {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?;
        let addr = listener.local_addr()?;
        let mut used = USED_PORTS.lock().unwrap_or_else(PoisonError::into_inner);
        if used.insert(addr.port()) {
            return Ok(addr);
        }
    }
}
