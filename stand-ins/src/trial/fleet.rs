//! A fleet of real processes: stand-ins of the platform, entries, agents and upstreams.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

use anyhow::{Context, bail, ensure};
use config::{
    AgentSettings, Digest, EntrySettings, NodeSettings, PlatformSettings, RawDeclaration,
};
use fleet::{Member, Role, VmState};
use serde::Deserialize;
use serde_json::Value;
use smol::Timer;
use wire::Client;

use crate::origin::NewModel;
use crate::trial::control;
pub use crate::trial::node::{Node, free_addr, trial_dir};
use crate::trial::process::Process;

/// Longest wait for a started process to accept connections.
const START_LIMIT: Duration = Duration::from_secs(20);
/// Interval at which a condition is checked.
const POLL_INTERVAL: Duration = Duration::from_millis(25);
/// Time within which every entry reads the list of VMs once.
const LIST_READ_TIME: Duration = Duration::from_millis(1200);
/// Longest graceful shutdown of a process.
const SHUTDOWN_LIMIT: Duration = Duration::from_secs(10);

/// Composition of a fleet.
#[derive(Debug, Clone)]
pub struct FleetSpec {
    /// File with the operators' configuration.
    pub config_file: PathBuf,
    /// Number of entries.
    pub entries: usize,
    /// Services with their numbers of upstreams, which are assigned to the failure
    /// domains in turn.
    pub upstreams: Vec<(String, usize)>,
    /// Size of the model in bytes.
    pub model_size: u64,
    /// Size of a chunk in bytes.
    pub chunk_size: u64,
    /// Rate of the origin's link in bytes a second.
    pub origin_rate: u64,
    /// Additional arguments of the engines.
    pub engine_args: Vec<String>,
    /// Additional arguments of the plain services.
    pub plain_args: Vec<String>,
}

/// The model created at the origin.
#[derive(Debug, Clone, Deserialize)]
pub struct CreatedModel {
    /// Digest of the manifest.
    pub manifest: Digest,
    /// Digest of the weights.
    pub content: Digest,
    /// Size in bytes.
    pub size: u64,
}

/// A running fleet.
pub struct Fleet {
    /// Client of the calls that control the fleet.
    pub client: Client,
    /// Addresses of the stand-ins of the platform.
    pub platform: PlatformSettings,
    /// Entries.
    pub entries: Vec<Node>,
    /// Agents with their upstreams.
    pub agents: Vec<Node>,
    /// Configuration; takes effect with [`Fleet::apply`].
    pub declaration: RawDeclaration,
    /// Revision of the last applied configuration.
    pub revision: u64,
    dir: PathBuf,
    stand_ins: Vec<Process>,
    spec: FleetSpec,
}

impl Fleet {
    /// Starts every process; no configuration is applied yet.
    pub async fn start(spec: FleetSpec) -> anyhow::Result<Self> {
        let json = std::fs::read_to_string(&spec.config_file)
            .with_context(|| format!("{} cannot be read", spec.config_file.display()))?;
        let declaration: RawDeclaration =
            config::parse_json(&spec.config_file.display().to_string(), &json)?;
        let dir = trial_dir();
        std::fs::create_dir_all(&dir)?;
        let platform = PlatformSettings {
            log: free_addr()?,
            vms: free_addr()?,
            origin: free_addr()?,
        };
        let mut fleet = Fleet {
            client: Client::default(),
            platform,
            entries: Vec::new(),
            agents: Vec::new(),
            declaration,
            revision: 0,
            dir,
            stand_ins: Vec::new(),
            spec,
        };
        fleet.start_platform().await?;
        fleet.start_nodes().await?;
        Ok(fleet)
    }

    /// Directory with the output of the processes.
    pub fn dir(&self) -> &Path {
        &self.dir
    }

    /// Addresses of the entries.
    pub fn entry_addrs(&self) -> Vec<SocketAddr> {
        self.entries.iter().map(|e| e.member.addr).collect()
    }

    /// Creates weights at the origin and sets digest and size of the first model in the
    /// configuration to theirs.
    pub async fn create_model(&mut self, seed: u64) -> anyhow::Result<CreatedModel> {
        let (id, model) = self
            .declaration
            .models
            .iter_mut()
            .next()
            .context("no model")?;
        let new = NewModel {
            size: self.spec.model_size,
            chunk_size: self.spec.chunk_size,
            seed,
        };
        let path = format!("/models/{id}/{}", model.version);
        let created = control::post_json(&self.client, self.platform.origin, &path, &new).await?;
        let created: CreatedModel = serde_json::from_slice(&created)?;
        model.size = created.size;
        model.manifest = created.manifest;
        Ok(created)
    }

    /// Applies the current configuration.
    pub async fn apply(&mut self) -> anyhow::Result<()> {
        let config = serde_json::to_string_pretty(&self.declaration)?;
        let entry = self.entries[0].member.addr;
        let id = format!("trial-{}-{}", std::process::id(), self.revision);
        let (status, body) =
            control::apply_config(&self.client, entry, self.revision, &id, &config).await?;
        ensure!(
            status == 200,
            "configuration not applied: status {status}: {body}"
        );
        self.revision += 1;
        Ok(())
    }

    /// Waits until every engine serves the weights or the limit has passed; returns how
    /// many engines serve them.
    pub async fn await_replicas(&self, content: Digest, limit: Duration) -> anyhow::Result<usize> {
        let engines: Vec<SocketAddr> = self
            .engine_nodes()
            .filter_map(|n| n.upstream_addr)
            .collect();
        let start = Instant::now();
        loop {
            let mut ready = 0;
            for addr in &engines {
                let load: Value = control::get_json(&self.client, *addr, "/load").await?;
                ready += usize::from(load["serving"]["content"] == content.to_string());
            }
            if ready == engines.len() || start.elapsed() > limit {
                return Ok(ready);
            }
            Timer::after(POLL_INTERVAL).await;
        }
    }

    /// Waits until every entry reports all upstreams of each service, or 20 of a larger
    /// service, as open; false after the limit.
    pub async fn await_open(&self, limit: Duration) -> anyhow::Result<bool> {
        let start = Instant::now();
        while start.elapsed() < limit {
            if self.all_open().await {
                return Ok(true);
            }
            Timer::after(POLL_INTERVAL).await;
        }
        for entry in self.entry_addrs() {
            let status = control::get_json::<Value>(&self.client, entry, "/status").await;
            eprintln!("trial: status of entry {entry}: {status:?}");
        }
        Ok(false)
    }

    async fn all_open(&self) -> bool {
        for entry in self.entry_addrs() {
            let status: Value = match control::get_json(&self.client, entry, "/status").await {
                Ok(status) => status,
                Err(_) => return false,
            };
            for (service, count) in &self.spec.upstreams {
                let upstreams = status["services"][service]["upstreams"].as_array();
                let open = upstreams
                    .into_iter()
                    .flatten()
                    .filter(|u| u["open"] == true)
                    .count();
                if open < (*count).min(20) {
                    return false;
                }
            }
        }
        true
    }

    /// Nodes whose upstream is an engine.
    pub fn engine_nodes(&self) -> impl Iterator<Item = &Node> {
        self.agents
            .iter()
            .filter(|n| self.is_engine(&n.member.service))
    }

    /// Nodes whose upstream is a plain service.
    pub fn plain_nodes(&self) -> impl Iterator<Item = &Node> {
        self.agents
            .iter()
            .filter(|n| !self.is_engine(&n.member.service))
    }

    /// Whether a service runs on engines.
    pub fn is_engine(&self, service: &str) -> bool {
        self.declaration
            .services
            .get(service)
            .is_some_and(|s| s.model.is_some())
    }

    /// Stops entries and agents with SIGTERM; returns the names of those that did not stop
    /// cleanly.
    pub async fn stop(&mut self) -> anyhow::Result<Vec<String>> {
        let mut failed = Vec::new();
        for node in self.entries.iter_mut().chain(&mut self.agents) {
            if !node
                .process
                .stop(SHUTDOWN_LIMIT + Duration::from_secs(2))
                .await?
            {
                failed.push(node.process.name.clone());
            }
        }
        Ok(failed)
    }

    /// Replaces the process of an entry by a new one.
    pub async fn restart_entry(&mut self, i: usize) -> anyhow::Result<()> {
        let process = self.spawn_node("entry", &self.entries[i])?;
        self.entries[i].process = process;
        self.await_listening(self.entries[i].member.addr).await
    }

    /// Replaces the process of an agent by a new one.
    pub async fn restart_agent(&mut self, i: usize) -> anyhow::Result<()> {
        let process = self.spawn_node("agent", &self.agents[i])?;
        self.agents[i].process = process;
        self.await_listening(self.agents[i].member.addr).await
    }

    /// Replaces the process of an upstream by a new one.
    pub async fn restart_upstream(&mut self, i: usize) -> anyhow::Result<()> {
        let node = &self.agents[i];
        let addr = node.upstream_addr.context("the node has no upstream")?;
        let process = self.spawn_upstream(&node.member.service, &node.member.vm, addr)?;
        self.agents[i].upstream_process = Some(process);
        self.await_listening(addr).await
    }

    fn spawn_node(&self, role: &str, node: &Node) -> anyhow::Result<Process> {
        let settings = node.settings_file.display().to_string();
        let args = [role.to_owned(), "--settings".to_owned(), settings];
        let name = format!("{}-again", node.member.vm);
        Process::start("turmerichold", &name, &args, &self.dir)
    }

    fn spawn_upstream(&self, service: &str, vm: &str, addr: SocketAddr) -> anyhow::Result<Process> {
        let (kind, args) = match self.is_engine(service) {
            true => ("engine", &self.spec.engine_args),
            false => ("plain", &self.spec.plain_args),
        };
        self.spawn_stand_in(kind, &format!("{vm}-upstream"), addr, args)
    }

    async fn start_platform(&mut self) -> anyhow::Result<()> {
        let platform = self.platform.clone();
        let rate = self.spec.origin_rate.to_string();
        self.start_stand_in("log", "log", platform.log, &[])?;
        self.start_stand_in("vms", "vms", platform.vms, &[])?;
        self.start_stand_in(
            "origin",
            "origin",
            platform.origin,
            &["--bytes-per-s".into(), rate],
        )?;
        for addr in [platform.log, platform.vms, platform.origin] {
            self.await_listening(addr).await?;
        }
        Ok(())
    }

    fn start_stand_in(
        &mut self,
        kind: &str,
        name: &str,
        addr: SocketAddr,
        extra_args: &[String],
    ) -> anyhow::Result<()> {
        let process = self.spawn_stand_in(kind, name, addr, extra_args)?;
        self.stand_ins.push(process);
        Ok(())
    }

    fn spawn_stand_in(
        &self,
        kind: &str,
        name: &str,
        addr: SocketAddr,
        extra_args: &[String],
    ) -> anyhow::Result<Process> {
        let mut args = vec![kind.to_owned(), "--listen".to_owned(), addr.to_string()];
        args.extend_from_slice(extra_args);
        Process::start("stand-in", name, &args, &self.dir)
    }

    async fn start_nodes(&mut self) -> anyhow::Result<()> {
        let domains: Vec<(String, String)> = self
            .declaration
            .failure_domains
            .iter()
            .map(|(id, d)| (id.to_string(), d.region.to_string()))
            .collect();
        for i in 0..self.spec.entries {
            let (domain, region) = &domains[i % domains.len()];
            let node = self.start_entry(&format!("entry-{i}"), domain, region)?;
            self.entries.push(node);
        }
        for (service, count) in self.spec.upstreams.clone() {
            for i in 0..count {
                let (domain, region) = &domains[i % domains.len()];
                let node = self.start_agent(&service, &format!("{service}-{i}"), domain, region)?;
                self.agents.push(node);
            }
        }
        for node in self.entries.iter().chain(&self.agents) {
            self.await_listening(node.member.addr).await?;
            control::post_json(&self.client, self.platform.vms, "/vms", &node.member).await?;
        }
        self.await_listed().await
    }

    /// Waits until the platform's list contains every VM and the entries have read it, so
    /// that measurements do not include the lag of the list.
    async fn await_listed(&self) -> anyhow::Result<()> {
        let expected = self.entries.len() + self.agents.len();
        let start = Instant::now();
        while start.elapsed() < START_LIMIT {
            let list: Value = control::get_json(&self.client, self.platform.vms, "/vms").await?;
            if list["vms"].as_array().is_some_and(|v| v.len() == expected) {
                Timer::after(LIST_READ_TIME).await;
                return Ok(());
            }
            Timer::after(POLL_INTERVAL).await;
        }
        bail!("the list of VMs does not contain all {expected} VMs")
    }

    fn start_entry(&self, vm: &str, domain: &str, region: &str) -> anyhow::Result<Node> {
        let member = member(vm, Role::Entry, domain, region, "")?;
        let settings = EntrySettings {
            node: self.node_settings(&member),
        };
        self.start_node(member, "entry", serde_json::to_string(&settings)?, None)
    }

    fn start_agent(
        &self,
        service: &str,
        vm: &str,
        domain: &str,
        region: &str,
    ) -> anyhow::Result<Node> {
        let member = member(vm, Role::Upstream, domain, region, service)?;
        let upstream = free_addr()?;
        let settings = AgentSettings {
            node: self.node_settings(&member),
            service: service.into(),
            upstream,
            memory_bytes: 4 * self.spec.model_size,
        };
        let process = self.spawn_upstream(service, vm, upstream)?;
        let settings = serde_json::to_string(&settings)?;
        self.start_node(member, "agent", settings, Some((upstream, process)))
    }

    fn start_node(
        &self,
        member: Member,
        role: &str,
        settings: String,
        upstream: Option<(SocketAddr, Process)>,
    ) -> anyhow::Result<Node> {
        let path = self.dir.join(format!("{}.json", member.vm));
        std::fs::write(&path, settings)?;
        let args = [role, "--settings", &path.display().to_string()].map(str::to_owned);
        let process = Process::start("turmerichold", &member.vm, &args, &self.dir)?;
        let (upstream_addr, upstream_process) = upstream.unzip();
        Ok(Node {
            member,
            process,
            upstream_addr,
            upstream_process,
            settings_file: path,
        })
    }

    fn node_settings(&self, member: &Member) -> NodeSettings {
        NodeSettings {
            vm: member.vm.clone(),
            listen: member.addr,
            failure_domain: member.failure_domain.clone(),
            region: member.region.clone(),
            platform: self.platform.clone(),
            drain: SHUTDOWN_LIMIT,
        }
    }

    async fn await_listening(&self, addr: SocketAddr) -> anyhow::Result<()> {
        let start = Instant::now();
        while start.elapsed() < START_LIMIT {
            if smol::net::TcpStream::connect(addr).await.is_ok() {
                return Ok(());
            }
            Timer::after(POLL_INTERVAL).await;
        }
        bail!(
            "{addr} does not accept connections; see the logs in {}",
            self.dir.display()
        )
    }

    /// Reads the record of an upstream.
    pub async fn record<T: serde::de::DeserializeOwned>(&self, node: &Node) -> anyhow::Result<T> {
        let addr = node.upstream_addr.context("the node has no upstream")?;
        control::get_json(&self.client, addr, "/record").await
    }
}

fn member(
    vm: &str,
    role: Role,
    domain: &str,
    region: &str,
    service: &str,
) -> anyhow::Result<Member> {
    Ok(Member {
        vm: vm.into(),
        role,
        addr: free_addr()?,
        failure_domain: domain.into(),
        region: region.into(),
        service: service.into(),
        state: VmState::Live,
    })
}
