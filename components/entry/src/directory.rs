use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use config::{ConfigCell, NodeSettings};
use event_listener::Event;
use fleet::{HeartbeatTiming, Member, Role, subset};
use futures_lite::FutureExt;
use kernel::{BoxFuture, Clock, Registry, Service};
use platform::{VmListClient, VmListing};
use protocol::{Heartbeat, HeartbeatReply, paths};
use smol::Timer;
use wire::Client;

use crate::config_service::ConfigService;
use crate::crash_tracker::CrashTracker;
use crate::schedulers::{Schedulers, lock};

/// Time between two readings of the list of VMs.
const LIST_EVERY: Duration = Duration::from_secs(1);
/// Longest wait for the answer to a heartbeat.
const HEARTBEAT_LIMIT: Duration = Duration::from_secs(1);
/// Time between two looks at the queues.
const TICK: Duration = Duration::from_millis(20);

/// Knows the upstreams: the platform's list, heartbeats and the queues' clock.
pub struct Directory {
    schedulers: Arc<Schedulers>,
    cell: Arc<ConfigCell>,
    crashes: Arc<CrashTracker>,
    list: VmListClient,
    listing: Mutex<VmListing>,
    client: Client,
    clock: Clock,
    settings: NodeSettings,
    stopping: Event,
}

impl Directory {
    /// Name in the registry.
    pub const NAME: &'static str = "directory";

    /// The directory of the entry described by `settings`.
    pub fn new(
        settings: &NodeSettings,
        config: &ConfigService,
        client: Client,
        clock: Clock,
    ) -> Self {
        Directory {
            schedulers: Arc::new(Schedulers::new(settings)),
            cell: config.cell().clone(),
            crashes: config.crashes().clone(),
            list: VmListClient::new(settings.platform.vms, client.clone()),
            listing: Mutex::default(),
            client,
            clock,
            settings: settings.clone(),
            stopping: Event::new(),
        }
    }

    /// The schedulers that the directory fills.
    pub fn schedulers(&self) -> &Arc<Schedulers> {
        &self.schedulers
    }

    async fn follow_config(self: Arc<Self>) {
        loop {
            let changed = self.cell.listen();
            if let Some(c) = self.cell.get() {
                self.schedulers.configure(&c.declaration);
                self.assign();
                self.tick();
                // Agents learn of a change at once, not at their next heartbeat.
                self.beat_all().await;
            }
            changed.await;
        }
    }

    async fn follow_list(self: Arc<Self>) {
        loop {
            let version = self.listing().version;
            match self.list.read(version).await {
                Ok(Some(listing)) => {
                    *self.listing() = listing;
                    self.assign();
                }
                Ok(None) => {}
                Err(e) => log::warn!("directory: list of VMs not read: {e}"),
            }
            Timer::after(LIST_EVERY).await;
        }
    }

    async fn beat(self: Arc<Self>) {
        loop {
            let pause = self.beat_all().await;
            Timer::after(pause).await;
        }
    }

    async fn keep_time(self: Arc<Self>) {
        loop {
            self.tick();
            Timer::after(TICK).await;
        }
    }

    fn tick(&self) {
        let now = self.clock.now();
        for (_, scheduler) in self.schedulers.all() {
            lock(&scheduler).tick(now);
        }
    }

    /// Gives each scheduler its subset of the listed upstreams.
    fn assign(&self) {
        let vms = self.listing().vms.clone();
        let entries: Vec<&Member> = vms.iter().filter(|m| m.role == Role::Entry).collect();
        for (service, scheduler) in self.schedulers.all() {
            let upstreams: Vec<&Member> = vms
                .iter()
                .filter(|m| m.role == Role::Upstream && m.service == service)
                .collect();
            let known = subset(&self.settings.vm, &entries, &upstreams);
            lock(&scheduler).set_members(&known);
        }
    }

    /// Sends one heartbeat to every known agent; returns the pause to the next.
    async fn beat_all(self: &Arc<Self>) -> Duration {
        let schedulers = self.schedulers.all();
        let known = schedulers
            .iter()
            .map(|(_, p)| lock(p).members().count())
            .sum();
        let pace = HeartbeatTiming::for_agents(known);
        for (_, scheduler) in schedulers {
            let members: Vec<Member> = {
                let mut scheduler = lock(&scheduler);
                scheduler.set_heartbeat_timeout(pace.timeout);
                scheduler.members().cloned().collect()
            };
            for member in members {
                let own = self.clone();
                let scheduler = scheduler.clone();
                smol::spawn(async move {
                    if let Some(reply) = own.ask(&member).await {
                        for c in &reply.crashes {
                            own.crashes.record_crash(&c.id, &c.fingerprints);
                        }
                        lock(&scheduler).record_heartbeat(own.clock.now(), reply);
                    }
                })
                .detach();
            }
        }
        pace.interval
    }

    async fn ask(&self, member: &Member) -> Option<HeartbeatReply> {
        let message = Heartbeat {
            vm: self.settings.vm.clone(),
            addr: self.settings.listen,
            revision: self.cell.revision(),
        };
        self.client
            .exchange(member.addr, paths::HEARTBEAT, &message, HEARTBEAT_LIMIT)
            .await
            .map_err(|e| log::debug!("directory: heartbeat to {}: {e}", member.vm))
            .ok()
            .filter(|r: &HeartbeatReply| r.vm == member.vm)
    }

    fn listing(&self) -> std::sync::MutexGuard<'_, VmListing> {
        self.listing.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Service for Directory {
    fn name(&self) -> &'static str {
        Self::NAME
    }

    fn start(&self, peers: &Registry) -> anyhow::Result<()> {
        let own: Arc<Directory> = peers.find(Self::NAME)?;
        smol::spawn(own.clone().follow_config().or(self.stopping.listen())).detach();
        smol::spawn(own.clone().follow_list().or(self.stopping.listen())).detach();
        smol::spawn(own.clone().beat().or(self.stopping.listen())).detach();
        smol::spawn(own.keep_time().or(self.stopping.listen())).detach();
        Ok(())
    }

    fn stop(&self, _limit: Duration) -> BoxFuture<'_, ()> {
        self.stopping.notify(usize::MAX);
        Box::pin(std::future::ready(()))
    }
}
