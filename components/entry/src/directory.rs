use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use config::{ConfigCell, NodeSettings};
use event_listener::Event;
use fleet::{HeartbeatTiming, Member, Role, subset};
use futures_lite::FutureExt;
use kernel::{BoxFuture, Clock, Drain, Registry, Service};
use platform::{VmListClient, VmListing};
use protocol::{Heartbeat, HeartbeatReply, paths};
use smol::Timer;
use wire::Client;

use crate::config_service::ConfigService;
use crate::crash_tracker::CrashTracker;
use crate::schedulers::{Schedulers, lock};

/// Time between two reads of the list of VMs.
const LIST_INTERVAL: Duration = Duration::from_secs(1);
/// Longest wait for the reply to a heartbeat.
const REPLY_TIMEOUT: Duration = Duration::from_secs(1);
/// Time between two ticks of the schedulers.
const TICK_INTERVAL: Duration = Duration::from_millis(20);

/// Keeps the schedulers up to date: reads the list of VMs, sends heartbeats to the
/// agents, applies the configuration and calls `tick`.
pub struct Directory {
    schedulers: Arc<Schedulers>,
    cell: Arc<ConfigCell>,
    crashes: Arc<CrashTracker>,
    vm_list: VmListClient,
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
            vm_list: VmListClient::new(settings.platform.vms, client.clone()),
            listing: Mutex::default(),
            client,
            clock,
            settings: settings.clone(),
            stopping: Event::new(),
        }
    }

    /// The schedulers that the directory keeps up to date.
    pub fn schedulers(&self) -> &Arc<Schedulers> {
        &self.schedulers
    }

    async fn follow_config(self: Arc<Self>) {
        loop {
            let changed = self.cell.listen();
            if let Some(active) = self.cell.get() {
                self.schedulers.configure(&active.declaration);
                self.update_members();
                self.tick();
                // Sends the new revision to the agents at once, not with the next
                // periodic heartbeat.
                self.send_heartbeats().await;
            }
            changed.await;
        }
    }

    async fn follow_vm_list(self: Arc<Self>) {
        loop {
            let version = self.listing().version;
            match self.vm_list.read(version).await {
                Ok(Some(listing)) => {
                    *self.listing() = listing;
                    self.update_members();
                }
                Ok(None) => {}
                Err(e) => log::warn!("directory: cannot read the list of VMs: {e}"),
            }
            Timer::after(LIST_INTERVAL).await;
        }
    }

    async fn heartbeat_loop(self: Arc<Self>) {
        loop {
            let pause = self.send_heartbeats().await;
            Timer::after(pause).await;
        }
    }

    async fn tick_loop(self: Arc<Self>) {
        loop {
            self.tick();
            Timer::after(TICK_INTERVAL).await;
        }
    }

    fn tick(&self) {
        let now = self.clock.now();
        for (_, scheduler) in self.schedulers.all() {
            lock(&scheduler).tick(now);
        }
    }

    /// Sets the upstreams of each scheduler: its subset of the listed ones.
    fn update_members(&self) {
        let vms = self.listing().vms.clone();
        let entries: Vec<&Member> = vms.iter().filter(|m| m.role == Role::Entry).collect();
        for (service, scheduler) in self.schedulers.all() {
            let upstreams: Vec<&Member> = vms
                .iter()
                .filter(|m| m.role == Role::Upstream && m.service == service)
                .collect();
            let members = subset(&self.settings.vm, &entries, &upstreams);
            lock(&scheduler).set_members(&members);
        }
    }

    /// Sends a heartbeat to the agent of each upstream; returns the time to the next one.
    async fn send_heartbeats(self: &Arc<Self>) -> Duration {
        let schedulers = self.schedulers.all();
        let agents = schedulers
            .iter()
            .map(|(_, s)| lock(s).members().count())
            .sum();
        let timing = HeartbeatTiming::for_agents(agents);
        for (_, scheduler) in schedulers {
            let members: Vec<Member> = {
                let mut scheduler = lock(&scheduler);
                scheduler.set_heartbeat_timeout(timing.timeout);
                scheduler.members().cloned().collect()
            };
            for member in members {
                let this = self.clone();
                let scheduler = scheduler.clone();
                smol::spawn(async move {
                    let sent_at = this.clock.now();
                    if let Some(reply) = this.send_heartbeat(&member).await {
                        for crash in &reply.crashes {
                            this.crashes.record_crash(&crash.id, &crash.fingerprints);
                        }
                        let now = this.clock.now();
                        lock(&scheduler).record_heartbeat(now, sent_at, reply);
                    }
                })
                .detach();
            }
        }
        timing.interval
    }

    async fn send_heartbeat(&self, member: &Member) -> Option<HeartbeatReply> {
        let message = Heartbeat {
            vm: self.settings.vm.clone(),
            addr: self.settings.listen,
            revision: self.cell.revision(),
        };
        self.client
            .exchange(member.addr, paths::HEARTBEAT, &message, REPLY_TIMEOUT)
            .await
            .map_err(|e| log::debug!("directory: heartbeat to {} failed: {e}", member.vm))
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

    fn start(&self, registry: &Registry) -> anyhow::Result<()> {
        let this: Arc<Directory> = registry.find(Self::NAME)?;
        smol::spawn(this.clone().follow_config().or(self.stopping.listen())).detach();
        smol::spawn(this.clone().follow_vm_list().or(self.stopping.listen())).detach();
        smol::spawn(this.clone().heartbeat_loop().or(self.stopping.listen())).detach();
        smol::spawn(this.tick_loop().or(self.stopping.listen())).detach();
        Ok(())
    }

    fn stop(&self, _timeout: Duration) -> BoxFuture<'_, Drain> {
        self.stopping.notify(usize::MAX);
        Box::pin(std::future::ready(Drain::Complete))
    }
}
