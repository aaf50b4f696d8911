use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use config::{AgentSettings, ConfigCell, Digest, Model, ModelId};
use event_listener::Event;
use fleet::Role;
use futures_lite::FutureExt;
use http_types::Method;
use kernel::{BoxFuture, Clock, Drain, Registry, Service};
use platform::{LogClient, OriginClient, VmListClient, streams};
use protocol::{Progress, paths};
use serde_json::json;
use smol::Timer;
use weights::{ChunkCache, Fetch, FetchError, Manifest, Peer, Planner, Source, Sources, Step};
use wire::{Call, Client};

use crate::admission_controller::{AdmissionController, actor};
use crate::config_follower::ConfigFollower;
use crate::engine::{Engine, LoadOrder, OrderReply};

/// Most fetches of chunks in flight.
const MAX_FETCHES: usize = 6;
/// Time between two checks of the target version.
const CHECK_INTERVAL: Duration = Duration::from_millis(200);
/// Additional delay after a failed deployment.
const RETRY_DELAY: Duration = Duration::from_millis(300);
/// Longest wait for the head of a peer's response, and between two bytes of its body.
const PEER_TIMEOUT: Duration = Duration::from_secs(2);
/// Slowest transfer from a peer that is waited for, in bytes a second.
const MIN_PEER_RATE: u64 = 64 << 10;
/// Longest time from an order until the engine reports that it serves the version.
const ORDER_TIMEOUT: Duration = Duration::from_secs(60);

/// Bytes downloaded since the last manifest was fetched, by source.
#[derive(Debug, Clone, Copy, Default)]
struct DownloadedBytes {
    origin: u64,
    peers: u64,
}

/// Downloads the target version of the model and orders the engine to load it.
pub struct WeightsService {
    settings: AgentSettings,
    cell: Arc<ConfigCell>,
    admission: Arc<AdmissionController>,
    client: Client,
    clock: Clock,
    engine: Engine,
    origin: OriginClient,
    vm_list: VmListClient,
    log: LogClient,
    cache: Mutex<ChunkCache>,
    manifests: Mutex<HashMap<Digest, Arc<Manifest>>>,
    downloaded: Mutex<DownloadedBytes>,
    fence: Mutex<Option<u64>>,
    stopping: Event,
}

impl WeightsService {
    /// Name in the registry.
    pub const NAME: &'static str = "weights";

    /// The service of the agent with these settings.
    pub fn new(
        settings: &AgentSettings,
        config: &ConfigFollower,
        admission: Arc<AdmissionController>,
        client: Client,
        clock: Clock,
    ) -> Self {
        let platform = &settings.node.platform;
        WeightsService {
            settings: settings.clone(),
            cell: config.cell().clone(),
            engine: admission.engine().clone(),
            admission,
            clock,
            origin: OriginClient::new(platform.origin, client.clone()),
            vm_list: VmListClient::new(platform.vms, client.clone()),
            log: LogClient::new(platform.log, client.clone()),
            client,
            cache: Mutex::new(ChunkCache::new(settings.memory_bytes)),
            manifests: Mutex::default(),
            downloaded: Mutex::default(),
            fence: Mutex::new(None),
            stopping: Event::new(),
        }
    }

    /// Verified chunk with this digest.
    pub fn chunk(&self, digest: &Digest) -> Option<Arc<[u8]>> {
        self.cache().get(digest)
    }

    /// Chunks of the model with this manifest in order, if all are verified.
    pub fn model(&self, manifest: &Digest) -> Option<Vec<Arc<[u8]>>> {
        let manifest = self.manifests().get(manifest)?.clone();
        let cache = self.cache();
        manifest.chunks.iter().map(|d| cache.get(d)).collect()
    }

    async fn deploy_targets(self: Arc<Self>) {
        loop {
            let target = self.target();
            if let Some((id, model)) = target
                && let Err(e) = self.clone().deploy(&id, &model).await
            {
                log::warn!("weights: cannot deploy {id} {}: {e:#}", model.version);
                Timer::after(RETRY_DELAY).await;
            }
            Timer::after(CHECK_INTERVAL).await;
        }
    }

    fn target(&self) -> Option<(ModelId, Model)> {
        let active = self.cell.get()?;
        let (id, model) = active.declaration.model_of(&self.settings.service)?;
        Some((id.clone(), model.clone()))
    }

    /// Downloads a version and orders the engine to load it, unless the engine serves it
    /// already or the target changes.
    async fn deploy(self: Arc<Self>, id: &ModelId, model: &Model) -> anyhow::Result<()> {
        let manifest = self.fetch_manifest(id, model).await?;
        if self.admission.serving() == Some(manifest.content) && !self.is_superseded(model) {
            self.admission.resume(manifest.content);
            return Ok(());
        }
        if !self.download(&manifest, model).await? || self.is_superseded(model) {
            return Ok(());
        }
        self.order_load(id, model, &manifest).await
    }

    fn is_superseded(&self, model: &Model) -> bool {
        self.target()
            .is_none_or(|(_, m)| m.manifest != model.manifest)
    }

    async fn fetch_manifest(&self, id: &ModelId, model: &Model) -> anyhow::Result<Arc<Manifest>> {
        if let Some(m) = self.manifests().get(&model.manifest) {
            return Ok(m.clone());
        }
        let bytes = self.origin.manifest(id, &model.version).await?;
        let manifest = Arc::new(Manifest::verify(&bytes, model.manifest)?);
        anyhow::ensure!(
            manifest.size == model.size,
            "the manifest gives a size of {} bytes, the configuration {}; correct the configuration",
            manifest.size,
            model.size
        );
        self.manifests().insert(model.manifest, manifest.clone());
        *self.downloaded() = DownloadedBytes::default();
        Ok(manifest)
    }

    /// Fetches chunks until all are verified. Returns false if the target has changed.
    async fn download(
        self: &Arc<Self>,
        manifest: &Arc<Manifest>,
        model: &Model,
    ) -> anyhow::Result<bool> {
        let sources = self.sources().await?;
        let mut planner = Planner::new(manifest, sources, |d| self.cache().get(d).is_some());
        let (done, results) = async_channel::unbounded();
        let mut in_flight = 0;
        loop {
            self.publish_progress(manifest, &planner);
            if self.is_superseded(model) {
                return Ok(false);
            }
            let mut wake = self.clock.now() + Duration::from_secs(1);
            while in_flight < MAX_FETCHES {
                match planner.next_step(self.clock.now()) {
                    Step::Complete if in_flight == 0 => return Ok(true),
                    Step::Complete => break,
                    Step::Wait(until) => {
                        wake = wake.min(until);
                        break;
                    }
                    Step::Fetch(fetch) => {
                        in_flight += 1;
                        let (this, manifest, done) = (self.clone(), manifest.clone(), done.clone());
                        smol::spawn(async move {
                            let result = this.fetch(&manifest, &fetch).await;
                            let _ = done.send((fetch, result)).await;
                        })
                        .detach();
                    }
                }
            }
            let pause = wake.saturating_sub(self.clock.now());
            if let Some(Ok((fetch, result))) = wire::with_timeout(pause, results.recv()).await {
                in_flight -= 1;
                match result {
                    Ok(()) => planner.record_success(fetch.index),
                    Err(e) => planner.record_failure(self.clock.now(), &fetch, e),
                }
            }
        }
    }

    async fn sources(&self) -> anyhow::Result<Sources> {
        let active = self.cell.get();
        let region = active.map(|c| c.declaration.origin_region.clone());
        let listing = self.vm_list.read(0).await?.unwrap_or_default();
        let peers = listing
            .vms
            .into_iter()
            .filter(|v| v.role == Role::Upstream && v.service == self.settings.service)
            .map(|v| Peer {
                vm: v.vm,
                addr: v.addr,
                region: v.region,
            })
            .collect();
        let node = &self.settings.node;
        let own = Peer {
            vm: node.vm.clone(),
            addr: node.listen,
            region: node.region.clone(),
        };
        Ok(Sources::new(own, region.unwrap_or_default(), peers))
    }

    async fn fetch(&self, manifest: &Manifest, fetch: &Fetch) -> Result<(), FetchError> {
        let bytes = match &fetch.source {
            Source::Origin => self.fetch_from_origin(manifest, fetch).await?,
            Source::Peer(peer) => self.fetch_from_peer(manifest, peer, fetch).await?,
        };
        let size = bytes.len() as u64;
        {
            let mut downloaded = self.downloaded();
            match fetch.source {
                Source::Origin => downloaded.origin += size,
                Source::Peer(_) => downloaded.peers += size,
            }
        }
        self.cache()
            .insert_verified(fetch.digest, bytes)
            .map(drop)
            .map_err(|e| {
                log::error!(
                    "weights: chunk {} from {:?} was rejected: {e}",
                    fetch.index,
                    fetch.source
                );
                FetchError::Corrupt
            })
    }

    async fn fetch_from_origin(
        &self,
        manifest: &Manifest,
        fetch: &Fetch,
    ) -> Result<Vec<u8>, FetchError> {
        self.origin
            .range(
                &manifest.model,
                &manifest.version,
                manifest.chunk_range(fetch.index),
            )
            .await
            .map_err(|e| {
                log::warn!(
                    "weights: chunk {} could not be fetched from the origin: {e}",
                    fetch.index
                );
                FetchError::Unreachable
            })
    }

    async fn fetch_from_peer(
        &self,
        manifest: &Manifest,
        peer: &Peer,
        fetch: &Fetch,
    ) -> Result<Vec<u8>, FetchError> {
        let range = manifest.chunk_range(fetch.index);
        let len = range.end - range.start;
        let path = format!("{}{}", paths::CHUNK, fetch.digest);
        let call = Call::new(Method::Get, peer.addr, &path)
            .map_err(|_| FetchError::Unreachable)?
            .head_timeout(PEER_TIMEOUT)
            .read_timeout(PEER_TIMEOUT)
            .total_timeout(PEER_TIMEOUT + Duration::from_secs(len / MIN_PEER_RATE));
        let response = self.client.send(call).await.map_err(|e| {
            log::warn!(
                "weights: chunk {} could not be fetched from peer {}: {e}",
                fetch.index,
                peer.vm
            );
            FetchError::Unreachable
        })?;
        if !response.status().is_success() {
            return Err(FetchError::NotAvailable);
        }
        let limit = usize::try_from(len).unwrap_or(usize::MAX);
        response.bytes(limit).await.map_err(|e| {
            log::warn!(
                "weights: chunk {} could not be fetched from peer {}: {e}",
                fetch.index,
                peer.vm
            );
            FetchError::Unreachable
        })
    }

    fn publish_progress(&self, manifest: &Manifest, planner: &Planner) {
        let downloaded = *self.downloaded();
        self.admission.set_progress(Progress {
            version: manifest.version.clone(),
            verified: u32::try_from(planner.verified()).unwrap_or(u32::MAX),
            total: u32::try_from(planner.total()).unwrap_or(u32::MAX),
            origin_bytes: downloaded.origin,
            peer_bytes: downloaded.peers,
            serving: None,
        });
    }

    /// Orders the engine to load a complete version and waits until it serves it.
    async fn order_load(
        &self,
        id: &ModelId,
        model: &Model,
        manifest: &Manifest,
    ) -> anyhow::Result<()> {
        // Checked again soon.
        if self.engine.held().is_some() {
            return Ok(());
        }
        let fence = self.fence().await?;
        self.admission.drain_for_switch().await;
        let order = LoadOrder {
            fence,
            model: id.clone(),
            version: model.version.clone(),
            source: self.settings.node.listen,
            path: format!("{}{}", paths::MODEL, model.manifest),
        };
        let reply = self.engine.order(&order).await;
        self.audit(&order, &reply).await;
        match reply {
            Ok(OrderReply::Accepted) => {}
            Ok(other) => anyhow::bail!("the engine did not accept the order: {other:?}"),
            // The order may have taken effect; the load reports of the engine show it.
            Err(e) => log::warn!("weights: no response to the order: {e}"),
        }
        let ordered_at = self.clock.now();
        while self.admission.serving() != Some(manifest.content) {
            anyhow::ensure!(
                self.clock.now() - ordered_at < ORDER_TIMEOUT,
                "the engine did not report the version in time; check the engine"
            );
            Timer::after(CHECK_INTERVAL / 4).await;
            self.admission.probe().await;
        }
        log::info!("weights: engine serves {id} {}", model.version);
        self.admission.resume(manifest.content);
        Ok(())
    }

    /// Fencing token of this process: the sequence number of its start record in the log,
    /// which is higher than that of any earlier process.
    async fn fence(&self) -> anyhow::Result<u64> {
        let cached = *self.fence.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(fence) = cached {
            return Ok(fence);
        }
        let record = json!({ "vm": self.settings.node.vm, "upstream": self.settings.upstream });
        let position = self.log.append(streams::STARTS, &record).await?;
        let fence = position.sequence();
        *self.fence.lock().unwrap_or_else(PoisonError::into_inner) = Some(fence);
        Ok(fence)
    }

    async fn audit(&self, order: &LoadOrder, reply: &Result<OrderReply, wire::WireError>) {
        let event = json!({
            "who": actor(&self.settings),
            "what": format!("order to load {} {}, fence {}", order.model, order.version, order.fence),
            "outcome": match reply {
                Ok(r) => format!("{r:?}"),
                Err(e) => e.to_string(),
            },
        });
        if let Err(e) = self.log.append(streams::AUDIT, &event).await {
            log::warn!("weights: audit event not appended: {e}; event: {event}");
        }
    }

    fn cache(&self) -> MutexGuard<'_, ChunkCache> {
        self.cache.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn manifests(&self) -> MutexGuard<'_, HashMap<Digest, Arc<Manifest>>> {
        self.manifests
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    fn downloaded(&self) -> MutexGuard<'_, DownloadedBytes> {
        self.downloaded
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

impl Service for WeightsService {
    fn name(&self) -> &'static str {
        Self::NAME
    }

    fn start(&self, registry: &Registry) -> anyhow::Result<()> {
        let this: Arc<WeightsService> = registry.find(Self::NAME)?;
        smol::spawn(this.deploy_targets().or(self.stopping.listen())).detach();
        Ok(())
    }

    fn stop(&self, _timeout: Duration) -> BoxFuture<'_, Drain> {
        self.stopping.notify(usize::MAX);
        Box::pin(std::future::ready(Drain::Complete))
    }
}
