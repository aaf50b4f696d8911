use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use config::{AgentSettings, ConfigCell, Digest, Model, ModelId};
use event_listener::Event;
use fleet::Role;
use futures_lite::FutureExt;
use http_types::Method;
use kernel::{BoxFuture, Clock, Registry, Service};
use platform::{LogClient, OriginClient, VmListClient, streams};
use protocol::{Progress, paths};
use serde_json::json;
use smol::Timer;
use weights::{ChunkCache, Fetch, FetchError, Manifest, Peer, Planner, Source, Sources, Step};
use wire::{Call, Client};

use crate::admission_controller::{AdmissionController, actor};
use crate::config_follower::ConfigFollower;
use crate::engine::{Engine, LoadOrder, OrderReply};

/// Chunk fetches in flight at one agent.
const PARALLEL: usize = 6;
/// Pause between two looks at what is wanted.
const LOOK_EVERY: Duration = Duration::from_millis(200);
/// Pause after a failed step.
const FAILURE_PAUSE: Duration = Duration::from_millis(300);
/// Longest silence of a peer that sends a chunk.
const PEER_GAP: Duration = Duration::from_secs(2);
/// Longest time until an engine reports what it was ordered to load.
const ORDER_LIMIT: Duration = Duration::from_secs(60);

/// Bytes drawn for the model in progress.
#[derive(Debug, Clone, Copy, Default)]
struct Drawn {
    origin: u64,
    peers: u64,
}

/// Brings the wanted model version to this VM and orders the engine to load it.
pub struct WeightsService {
    settings: AgentSettings,
    cell: Arc<ConfigCell>,
    admission: Arc<AdmissionController>,
    client: Client,
    clock: Clock,
    engine: Engine,
    origin: OriginClient,
    list: VmListClient,
    log: LogClient,
    store: Mutex<ChunkCache>,
    manifests: Mutex<HashMap<Digest, Arc<Manifest>>>,
    drawn: Mutex<Drawn>,
    fence: Mutex<Option<u64>>,
    stopping: Event,
}

impl WeightsService {
    /// Name in the registry.
    pub const NAME: &'static str = "weights";

    /// The service of the agent described by `settings`.
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
            admission,
            clock,
            engine: Engine::new(settings.upstream, client.clone()),
            origin: OriginClient::new(platform.origin, client.clone()),
            list: VmListClient::new(platform.vms, client.clone()),
            log: LogClient::new(platform.log, client.clone()),
            client,
            store: Mutex::new(ChunkCache::new(settings.memory_bytes)),
            manifests: Mutex::default(),
            drawn: Mutex::default(),
            fence: Mutex::new(None),
            stopping: Event::new(),
        }
    }

    /// A verified chunk.
    pub fn chunk(&self, digest: &Digest) -> Option<Arc<[u8]>> {
        self.store().get(digest)
    }

    /// The chunks of a complete verified model, in order.
    pub fn model(&self, manifest: &Digest) -> Option<Vec<Arc<[u8]>>> {
        let manifest = self.manifests().get(manifest)?.clone();
        let store = self.store();
        manifest.chunks.iter().map(|d| store.get(d)).collect()
    }

    async fn follow(self: Arc<Self>) {
        loop {
            let wanted = self.wanted();
            if let Some((id, model)) = wanted
                && let Err(e) = self.clone().bring(&id, &model).await
            {
                log::warn!("weights: {id} {}: {e:#}", model.version);
                Timer::after(FAILURE_PAUSE).await;
            }
            Timer::after(LOOK_EVERY).await;
        }
    }

    fn wanted(&self) -> Option<(ModelId, Model)> {
        let c = self.cell.get()?;
        let (id, model) = c.declaration.model_of(&self.settings.service)?;
        Some((id.clone(), model.clone()))
    }

    /// One pass from the wanted version to an engine that serves it.
    async fn bring(self: Arc<Self>, id: &ModelId, model: &Model) -> anyhow::Result<()> {
        let manifest = self.manifest(id, model).await?;
        if self.admission.serving() == Some(manifest.content) && !self.is_superseded(model) {
            self.admission.resume(manifest.content);
            return Ok(());
        }
        if !self.transfer(&manifest, model).await? || self.is_superseded(model) {
            return Ok(());
        }
        self.order(id, model, &manifest).await
    }

    fn is_superseded(&self, model: &Model) -> bool {
        self.wanted()
            .is_none_or(|(_, m)| m.manifest != model.manifest)
    }

    async fn manifest(&self, id: &ModelId, model: &Model) -> anyhow::Result<Arc<Manifest>> {
        if let Some(m) = self.manifests().get(&model.manifest) {
            return Ok(m.clone());
        }
        let bytes = self.origin.manifest(id, &model.version).await?;
        let manifest = Arc::new(Manifest::verify(&bytes, model.manifest)?);
        anyhow::ensure!(
            manifest.size == model.size,
            "the manifest has {} bytes, the text {}; correct the text",
            manifest.size,
            model.size
        );
        self.manifests().insert(model.manifest, manifest.clone());
        *self.drawn() = Drawn::default();
        Ok(manifest)
    }

    /// Fetches chunks until all are verified; false when the version is no longer wanted.
    async fn transfer(self: &Arc<Self>, m: &Arc<Manifest>, model: &Model) -> anyhow::Result<bool> {
        let sources = self.sources().await?;
        let mut planner = Planner::new(m, sources, |d| self.store().get(d).is_some());
        let (done, results) = async_channel::unbounded();
        let mut in_flight = 0;
        loop {
            self.publish(m, &planner);
            if self.is_superseded(model) {
                return Ok(false);
            }
            let mut wake = self.clock.now() + Duration::from_secs(1);
            while in_flight < PARALLEL {
                match planner.next_step(self.clock.now()) {
                    Step::Complete if in_flight == 0 => return Ok(true),
                    Step::Complete => break,
                    Step::Wait(until) => {
                        wake = wake.min(until);
                        break;
                    }
                    Step::Fetch(fetch) => {
                        in_flight += 1;
                        let (own, m, done) = (self.clone(), m.clone(), done.clone());
                        smol::spawn(async move {
                            let result = own.fetch(&m, &fetch).await;
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
        let c = self.cell.get();
        let region = c.map(|c| c.declaration.origin_region.clone());
        let listing = self.list.read(0).await?.unwrap_or_default();
        let peers = listing
            .vms
            .into_iter()
            .filter(|m| m.role == Role::Upstream && m.service == self.settings.service)
            .map(|m| Peer {
                vm: m.vm,
                addr: m.addr,
                region: m.region,
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

    async fn fetch(&self, m: &Manifest, fetch: &Fetch) -> Result<(), FetchError> {
        let bytes = match &fetch.source {
            Source::Origin => self.fetch_from_origin(m, fetch).await?,
            Source::Peer(peer) => self.fetch_from_peer(peer, fetch).await?,
        };
        let size = bytes.len() as u64;
        {
            let mut drawn = self.drawn();
            match fetch.source {
                Source::Origin => drawn.origin += size,
                Source::Peer(_) => drawn.peers += size,
            }
        }
        self.store()
            .insert_verified(fetch.digest, bytes)
            .map(drop)
            .map_err(|e| {
                log::error!(
                    "weights: chunk {} from {:?}: {e}",
                    fetch.index,
                    fetch.source
                );
                FetchError::Corrupt
            })
    }

    async fn fetch_from_origin(&self, m: &Manifest, fetch: &Fetch) -> Result<Vec<u8>, FetchError> {
        self.origin
            .range(&m.model, &m.version, m.chunk_range(fetch.index))
            .await
            .map_err(|e| {
                log::warn!("weights: origin: {e}");
                FetchError::Unreachable
            })
    }

    async fn fetch_from_peer(&self, peer: &Peer, fetch: &Fetch) -> Result<Vec<u8>, FetchError> {
        let path = format!("{}{}", paths::CHUNK, fetch.digest);
        let call = Call::new(Method::Get, peer.addr, &path)
            .map_err(|_| FetchError::Unreachable)?
            .head_timeout(PEER_GAP)
            .read_timeout(PEER_GAP);
        let reply = self.client.send(call).await.map_err(|e| {
            log::warn!("weights: peer {}: {e}", peer.vm);
            FetchError::Unreachable
        })?;
        if !reply.status().is_success() {
            return Err(FetchError::NotAvailable);
        }
        reply.bytes(64 << 20).await.map_err(|e| {
            log::warn!("weights: peer {}: {e}", peer.vm);
            FetchError::Unreachable
        })
    }

    fn publish(&self, m: &Manifest, planner: &Planner) {
        let drawn = *self.drawn();
        self.admission.set_progress(Progress {
            version: m.version.clone(),
            verified: u32::try_from(planner.verified()).unwrap_or(u32::MAX),
            total: u32::try_from(planner.total()).unwrap_or(u32::MAX),
            origin_bytes: drawn.origin,
            peer_bytes: drawn.peers,
            serving: None,
        });
    }

    /// Orders the engine to load a complete version and waits for its word.
    async fn order(&self, id: &ModelId, model: &Model, m: &Manifest) -> anyhow::Result<()> {
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
            Ok(other) => anyhow::bail!("the engine answered the order with {other:?}"),
            // The order may have taken effect: the engine's own word decides.
            Err(e) => log::warn!("weights: no answer to the order: {e}"),
        }
        let begun = self.clock.now();
        while self.admission.serving() != Some(m.content) {
            anyhow::ensure!(
                self.clock.now() - begun < ORDER_LIMIT,
                "the engine does not report the version; check the engine"
            );
            Timer::after(LOOK_EVERY / 4).await;
            self.admission.probe().await;
        }
        log::info!("weights: engine serves {id} {}", model.version);
        self.admission.resume(m.content);
        Ok(())
    }

    /// The offset of this process's start record: higher than any predecessor's.
    async fn fence(&self) -> anyhow::Result<u64> {
        let known = *self.fence.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(fence) = known {
            return Ok(fence);
        }
        let record = json!({ "vm": self.settings.node.vm, "upstream": self.settings.upstream });
        let fence = self.log.append(streams::STARTS, &record).await?;
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

    fn store(&self) -> MutexGuard<'_, ChunkCache> {
        self.store.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn manifests(&self) -> MutexGuard<'_, HashMap<Digest, Arc<Manifest>>> {
        self.manifests
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    fn drawn(&self) -> MutexGuard<'_, Drawn> {
        self.drawn.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Service for WeightsService {
    fn name(&self) -> &'static str {
        Self::NAME
    }

    fn start(&self, peers: &Registry) -> anyhow::Result<()> {
        let own: Arc<WeightsService> = peers.find(Self::NAME)?;
        smol::spawn(own.follow().or(self.stopping.listen())).detach();
        Ok(())
    }

    fn stop(&self, _limit: Duration) -> BoxFuture<'_, ()> {
        self.stopping.notify(usize::MAX);
        Box::pin(std::future::ready(()))
    }
}
