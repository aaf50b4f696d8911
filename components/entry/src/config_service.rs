use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use compact_str::CompactString;
use config::{
    Checkpoint, ConfigCell, ConfigState, NodeSettings, Proposal, Record, Snapshot, Verdict,
};
use event_listener::Event;
use futures_lite::FutureExt;
use http_types::Method;
use kernel::{BoxFuture, Clock, Registry, Service};
use platform::{LogClient, PlatformError, VmListClient, streams};
use protocol::paths;
use smol::Timer;
use wire::{Call, Client};

use crate::crash_tracker::CrashTracker;

/// How long one read of the log waits for new records.
const READ_WAIT: Duration = Duration::from_secs(2);
/// Pause after a failed read.
const FAILURE_PAUSE: Duration = Duration::from_millis(250);
/// How long an operator's change may take to be decided.
const DECIDE_LIMIT: Duration = Duration::from_secs(4);
/// Records between two checkpoints.
const CHECKPOINT_EVERY: u64 = 32;
/// Largest snapshot taken from a peer.
const SNAPSHOT_LIMIT: usize = 4 << 20;

/// What became of an operator's change.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Applied {
    /// Decided by the log.
    Decided(Verdict),
    /// Not appended, so it will never be decided.
    NotAppended(String),
    /// It may be decided later; ask with its id.
    Unknown(String),
}

/// Follows the configuration stream of the log.
pub struct ConfigService {
    cell: Arc<ConfigCell>,
    ledger: Mutex<ConfigState>,
    log: LogClient,
    vms: VmListClient,
    client: Client,
    crashes: Arc<CrashTracker>,
    vm: CompactString,
    decided: Event,
    checkpointed: Mutex<u64>,
    stopping: Event,
}

impl ConfigService {
    /// Name in the registry.
    pub const NAME: &'static str = "config";

    /// The service of the entry described by `settings`.
    pub fn new(settings: &NodeSettings, client: Client, clock: Clock) -> Self {
        ConfigService {
            cell: Arc::new(ConfigCell::default()),
            ledger: Mutex::default(),
            log: LogClient::new(settings.platform.log, client.clone()),
            vms: VmListClient::new(settings.platform.vms, client.clone()),
            client,
            crashes: Arc::new(CrashTracker::new(clock)),
            vm: settings.vm.clone(),
            decided: Event::new(),
            checkpointed: Mutex::new(0),
            stopping: Event::new(),
        }
    }

    /// The configuration in force.
    pub fn cell(&self) -> &Arc<ConfigCell> {
        &self.cell
    }

    /// Crashes that this entry has heard of.
    pub fn crashes(&self) -> &Arc<CrashTracker> {
        &self.crashes
    }

    /// Client of the platform's log.
    pub fn log(&self) -> &LogClient {
        &self.log
    }

    /// What became of a proposal, if it was decided here lately.
    pub fn verdict(&self, id: &str) -> Option<Verdict> {
        self.ledger().verdict(id).cloned()
    }

    /// Appends a proposal and waits until the log has decided it.
    pub async fn apply(&self, proposal: Proposal) -> Applied {
        let id = proposal.id.clone();
        let start = Instant::now();
        match self
            .log
            .append(streams::CONFIG, &Record::Proposal(proposal))
            .await
        {
            Ok(_) => {}
            Err(e) if e.is_without_effect() => return Applied::NotAppended(e.to_string()),
            Err(e) => log::warn!("config: append of {id} got no answer: {e}"),
        }
        while start.elapsed() < DECIDE_LIMIT {
            let decided = self.decided.listen();
            if let Some(verdict) = self.verdict(&id) {
                return Applied::Decided(verdict);
            }
            let left = DECIDE_LIMIT.saturating_sub(start.elapsed());
            wire::with_timeout(left, decided).await;
        }
        Applied::Unknown("the log has not answered in time".to_owned())
    }

    async fn follow(self: Arc<Self>) {
        loop {
            if let Err(e) = self.read_once(READ_WAIT).await {
                log::warn!("config: log not read: {e}");
                self.ask_peers().await;
                Timer::after(FAILURE_PAUSE).await;
            }
        }
    }

    async fn read_once(&self, wait: Duration) -> Result<(), PlatformError> {
        let from = self.ledger().next_offset();
        let page = self.log.read::<Record>(streams::CONFIG, from, wait).await?;
        for (_, record) in &page.records {
            if let Record::Crash(c) = record {
                self.crashes.record_crash(&c.id, &c.fingerprints);
            }
        }
        let (snapshot, result) = {
            let mut ledger = self.ledger();
            let result = ledger.apply_page(page.first, &page.records);
            (ledger.current().cloned(), result)
        };
        if let Err(e) = result {
            log::error!("{e}");
            self.ask_peers().await;
            Timer::after(FAILURE_PAUSE).await;
        }
        if let Some(snapshot) = snapshot {
            self.cell.activate(&snapshot);
            self.checkpoint(snapshot).await;
        }
        self.decided.notify(usize::MAX);
        Ok(())
    }

    /// Appends a summary now and then, so that the log may forget old records.
    async fn checkpoint(&self, snapshot: Snapshot) {
        {
            let mut last = self
                .checkpointed
                .lock()
                .unwrap_or_else(PoisonError::into_inner);
            if snapshot.as_of < *last + CHECKPOINT_EVERY {
                return;
            }
            *last = snapshot.as_of;
        }
        let record = Record::Checkpoint(Checkpoint {
            as_of: snapshot.as_of,
            revision: snapshot.revision,
            text: snapshot.text.to_string(),
        });
        if let Err(e) = self.log.append(streams::CONFIG, &record).await {
            log::warn!("config: checkpoint not appended: {e}");
        }
    }

    /// Takes the configuration from other entries when the log cannot give it.
    async fn ask_peers(&self) {
        let Ok(Some(listing)) = self.vms.read(0).await else {
            return;
        };
        let mut peers: Vec<_> = listing
            .vms
            .into_iter()
            .filter(|m| m.role == fleet::Role::Entry && m.vm != self.vm)
            .collect();
        fastrand::shuffle(&mut peers);
        for peer in peers.iter().take(2) {
            if let Some(snapshot) = self.snapshot_from(peer.addr).await {
                self.ledger().install(snapshot.clone());
                self.cell.activate(&snapshot);
            }
        }
    }

    async fn snapshot_from(&self, addr: SocketAddr) -> Option<Snapshot> {
        let call = Call::new(Method::Get, addr, paths::SNAPSHOT).ok()?;
        let reply = self.client.send(call).await.ok()?;
        if !reply.status().is_success() {
            return None;
        }
        let bytes = reply.bytes(SNAPSHOT_LIMIT).await.ok()?;
        wire::decode(&bytes).ok()
    }

    fn ledger(&self) -> std::sync::MutexGuard<'_, ConfigState> {
        self.ledger.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// The service as it is registered: a shared handle that can spawn itself.
impl Service for ConfigService {
    fn name(&self) -> &'static str {
        Self::NAME
    }

    fn start(&self, peers: &Registry) -> anyhow::Result<()> {
        let own: Arc<ConfigService> = peers.find(Self::NAME)?;
        let stopped = self.stopping.listen();
        smol::spawn(own.follow().or(stopped)).detach();
        Ok(())
    }

    fn stop(&self, _limit: Duration) -> BoxFuture<'_, ()> {
        self.stopping.notify(usize::MAX);
        Box::pin(std::future::ready(()))
    }
}
