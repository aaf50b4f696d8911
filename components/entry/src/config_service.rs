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
use kernel::{BoxFuture, Clock, Drain, Registry, Service};
use platform::{LogClient, Page, PlatformError, VmListClient, streams};
use protocol::paths;
use smol::Timer;
use wire::{Call, Client};

use crate::crash_tracker::CrashTracker;

/// Longest time that one read of the log waits for new records.
const READ_WAIT: Duration = Duration::from_secs(2);
/// Pause after a failed read.
const FAILURE_PAUSE: Duration = Duration::from_millis(250);
/// Longest wait for the verdict on a proposal.
const VERDICT_TIMEOUT: Duration = Duration::from_secs(4);
/// Records of the log between two checkpoints.
const CHECKPOINT_INTERVAL: u64 = 32;
/// Largest snapshot read from a peer, in bytes.
const MAX_SNAPSHOT_BYTES: usize = 4 << 20;

/// Outcome of a proposal.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ApplyOutcome {
    /// It was decided with this verdict.
    Decided(Verdict),
    /// It was not appended to the log and has no effect, for this reason.
    NotAppended(String),
    /// It may still take effect; its verdict can be read later by its id.
    Unknown(String),
}

/// Reads the configuration stream of the log, activates new configurations and
/// appends proposals.
pub struct ConfigService {
    cell: Arc<ConfigCell>,
    state: Mutex<ConfigState>,
    log: LogClient,
    vm_list: VmListClient,
    client: Client,
    crashes: Arc<CrashTracker>,
    vm: CompactString,
    page_applied: Event,
    last_checkpoint: Mutex<u64>,
    stopping: Event,
}

impl ConfigService {
    /// Name in the registry.
    pub const NAME: &'static str = "config";

    /// The service for the entry described by `settings`.
    pub fn new(settings: &NodeSettings, client: Client, clock: Clock) -> Self {
        ConfigService {
            cell: Arc::new(ConfigCell::default()),
            state: Mutex::default(),
            log: LogClient::new(settings.platform.log, client.clone()),
            vm_list: VmListClient::new(settings.platform.vms, client.clone()),
            client,
            crashes: Arc::new(CrashTracker::new(clock)),
            vm: settings.vm.clone(),
            page_applied: Event::new(),
            last_checkpoint: Mutex::new(0),
            stopping: Event::new(),
        }
    }

    /// Cell of the configuration in force.
    pub fn cell(&self) -> &Arc<ConfigCell> {
        &self.cell
    }

    /// Crashes known to this entry.
    pub fn crashes(&self) -> &Arc<CrashTracker> {
        &self.crashes
    }

    /// Client of the platform's log.
    pub fn log(&self) -> &LogClient {
        &self.log
    }

    /// Verdict on a proposal, if this entry has read it recently.
    pub fn verdict(&self, id: &str) -> Option<Verdict> {
        self.state().verdict(id).cloned()
    }

    /// Appends a proposal to the log and waits for the verdict on it.
    pub async fn apply(&self, proposal: Proposal) -> ApplyOutcome {
        let id = proposal.id.clone();
        let start = Instant::now();
        match self
            .log
            .append(streams::CONFIG, &Record::Proposal(proposal))
            .await
        {
            Ok(_) => {}
            Err(e) if e.is_without_effect() => return ApplyOutcome::NotAppended(e.to_string()),
            Err(e) => log::warn!("config: cannot tell whether proposal {id} was appended: {e}"),
        }
        while start.elapsed() < VERDICT_TIMEOUT {
            let page_applied = self.page_applied.listen();
            if let Some(verdict) = self.verdict(&id) {
                return ApplyOutcome::Decided(verdict);
            }
            let remaining = VERDICT_TIMEOUT.saturating_sub(start.elapsed());
            wire::with_timeout(remaining, page_applied).await;
        }
        ApplyOutcome::Unknown("the proposal was not read from the log in time".to_owned())
    }

    async fn follow_log(self: Arc<Self>) {
        loop {
            if let Err(e) = self.read_page(READ_WAIT).await {
                log::warn!("config: cannot read the log: {e}");
                self.load_from_peers().await;
                Timer::after(FAILURE_PAUSE).await;
            }
        }
    }

    /// Reads and applies the next records of the log. When the log was restored from an
    /// older copy, reads it anew and writes again what it lacks.
    async fn read_page(&self, wait: Duration) -> Result<(), PlatformError> {
        let (era, from) = {
            let mut state = self.state();
            state.begin_era(self.log.era().unwrap_or_default());
            (state.era(), state.next_offset())
        };
        let page = self.log.read::<Record>(streams::CONFIG, from, wait).await;
        if self.log.era() > Some(era) {
            log::warn!("config: the log was restored from an older copy; reading it anew");
            return Ok(());
        }
        self.apply_page(page?).await;
        self.page_applied.notify(usize::MAX);
        Ok(())
    }

    async fn apply_page(&self, page: Page<Record>) {
        for (_, record) in &page.records {
            if let Record::Crash(crash) = record {
                self.crashes.record_crash(&crash.id, &crash.fingerprints);
            }
        }
        let (newest, result, missing) = {
            let mut state = self.state();
            // A peer's configuration may be of a later era.
            if page.era != state.era() {
                return;
            }
            let result = state.apply_page(page.first, &page.records);
            let is_complete = state.next_offset().max(page.next) >= page.end;
            let missing = state.missing_checkpoint().filter(|_| is_complete);
            // A later page may replace the configuration of this one.
            let newest = state.current().filter(|_| is_complete).cloned();
            (newest, result, missing)
        };
        if let Err(e) = result {
            log::error!("{e}");
            self.load_from_peers().await;
            Timer::after(FAILURE_PAUSE).await;
        }
        if let Some(snapshot) = newest {
            self.cell.activate(&snapshot);
            self.checkpoint(snapshot).await;
        }
        if let Some(missing) = missing {
            log::warn!(
                "config: the log lacks revision {}; appending it again",
                missing.revision
            );
            self.append_checkpoint(missing).await;
        }
    }

    /// Appends a checkpoint every [`CHECKPOINT_INTERVAL`] records, so that the log may
    /// delete older ones.
    async fn checkpoint(&self, snapshot: Snapshot) {
        {
            let mut last = self
                .last_checkpoint
                .lock()
                .unwrap_or_else(PoisonError::into_inner);
            // After a restore of the log, offsets are lower than before.
            *last = snapshot.as_of.min(*last);
            if snapshot.as_of < *last + CHECKPOINT_INTERVAL {
                return;
            }
            *last = snapshot.as_of;
        }
        self.append_checkpoint(Checkpoint {
            as_of: snapshot.as_of,
            revision: snapshot.revision,
            text: snapshot.text.to_string(),
        })
        .await;
    }

    async fn append_checkpoint(&self, checkpoint: Checkpoint) {
        let record = Record::Checkpoint(checkpoint);
        if let Err(e) = self.log.append(streams::CONFIG, &record).await {
            log::warn!("config: cannot append a checkpoint: {e}");
        }
    }

    /// Loads the configuration from other entries when the log cannot be read or
    /// applied.
    async fn load_from_peers(&self) {
        let Ok(Some(listing)) = self.vm_list.read(0).await else {
            return;
        };
        let mut peers: Vec<_> = listing
            .vms
            .into_iter()
            .filter(|m| m.role == fleet::Role::Entry && m.vm != self.vm)
            .collect();
        fastrand::shuffle(&mut peers);
        for peer in peers.iter().take(2) {
            if let Some(snapshot) = self.fetch_snapshot(peer.addr).await {
                self.state().install(snapshot.clone());
                self.cell.activate(&snapshot);
            }
        }
    }

    async fn fetch_snapshot(&self, addr: SocketAddr) -> Option<Snapshot> {
        let call = Call::new(Method::Get, addr, paths::SNAPSHOT).ok()?;
        let response = self.client.send(call).await.ok()?;
        if !response.status().is_success() {
            return None;
        }
        let bytes = response.bytes(MAX_SNAPSHOT_BYTES).await.ok()?;
        wire::decode(&bytes).ok()
    }

    fn state(&self) -> std::sync::MutexGuard<'_, ConfigState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// The service finds its own shared handle in the registry to spawn its task.
impl Service for ConfigService {
    fn name(&self) -> &'static str {
        Self::NAME
    }

    fn start(&self, registry: &Registry) -> anyhow::Result<()> {
        let this: Arc<ConfigService> = registry.find(Self::NAME)?;
        let stopped = self.stopping.listen();
        smol::spawn(this.follow_log().or(stopped)).detach();
        Ok(())
    }

    fn stop(&self, _timeout: Duration) -> BoxFuture<'_, Drain> {
        self.stopping.notify(usize::MAX);
        Box::pin(std::future::ready(Drain::Complete))
    }
}
