use std::future::Future;
use std::net::SocketAddr;
use std::sync::{Arc, OnceLock};
use std::time::Duration;

use anyhow::Context;
use dispatch::{LeastPace, MemoryLimits};
use domain::{EntrySettings, Platform, now};
use feed::{Feed, Member, Notice, NoticeSocket, PeerHandler, Role};
use pieces::{Peers, PieceCache};
use serde_json::json;
use smol::Timer;
use smol::net::TcpListener;
use telemetry::{Outcome, decision};
use transport::{CloseSignal, Listener, ListenerLimits, Pool, spawn};

use crate::body_buffers::BodyBuffers;
use crate::dispatcher::Dispatcher;
use crate::front::Front;
use crate::readiness::Readiness;
use crate::scheduler::Scheduler;
use crate::shutdown::Shutdown;
use crate::weight_prefetcher::WeightPrefetcher;

/// Interval between two notices to other entries.
const NOTICE_INTERVAL: Duration = Duration::from_millis(60);
/// Interval between two checks of the queues.
const TICK_INTERVAL: Duration = Duration::from_millis(15);
/// Mean pause between two attempts to announce the entry.
const ANNOUNCE_PAUSE: Duration = Duration::from_millis(700);
/// Time left before SIGKILL when the process ends.
const GRACE_MARGIN: Duration = Duration::from_millis(700);
/// Longest head of a request in bytes; the configuration allows 16 KiB.
const MAX_HEAD: usize = 32 << 10;
/// Idle timeout of a caller's connection; callers reuse connections that were
/// idle for up to 12 s.
const CALLER_IDLE: Duration = Duration::from_secs(16);
/// Most connections from other processes: several from each agent of a region.
const PEER_CONNECTIONS: usize = 768;
/// Most connections of readiness checks.
const CHECK_CONNECTIONS: usize = 128;
/// File descriptors reserved for upstreams, peers and the store.
const OTHER_DESCRIPTORS: usize = 1200;
/// Connections of callers that are accepted with fewer descriptors than these too.
const LEAST_CALLERS: usize = 256;

/// The entry process: its listeners and background tasks.
pub struct Gateway<P: Platform> {
    platform: P,
    settings: EntrySettings,
    descriptors: usize,
    metrics: fn() -> String,
}

impl<P: Platform> Gateway<P> {
    /// An entry with `settings` that may open `descriptors` sockets; `metrics` renders
    /// the metrics page.
    pub fn new(
        platform: P,
        settings: EntrySettings,
        descriptors: usize,
        metrics: fn() -> String,
    ) -> Self {
        Gateway {
            platform,
            settings,
            descriptors,
            metrics,
        }
    }

    /// Serves until `stop` resolves, then drains.
    pub async fn run(self, stop: impl Future<Output = ()>) -> anyhow::Result<()> {
        let node = self.settings.node.clone();
        let clients = node.clients;
        let scheduler_cell: Arc<OnceLock<Arc<Scheduler<P>>>> = Arc::default();
        let cell = scheduler_cell.clone();
        let feed = Feed::new(
            self.platform.clone(),
            node.clone(),
            Role::Entry,
            move |change| {
                if let Some(scheduler) = cell.get() {
                    scheduler.apply_change(change);
                }
            },
        );
        let feed = Arc::new(feed);
        let scheduler = Arc::new(Scheduler::new(feed.clone(), node.clone()));
        // Set once, before the feed starts and calls the closure above.
        let _ = scheduler_cell.set(scheduler.clone());
        let dispatcher = Arc::new(Dispatcher {
            platform: self.platform.clone(),
            feed: feed.clone(),
            scheduler: scheduler.clone(),
            connections: Pool::default(),
            body_buffers: BodyBuffers::new(MemoryLimits {
                total: clients.held_bytes,
                per_address: clients.address_bytes,
                per_account: clients.account_bytes,
            }),
            ending: CloseSignal::default(),
            accepts_until: OnceLock::new(),
        });
        let readiness = Arc::new(Readiness::new(feed.clone()));
        let caller_limits = ListenerLimits {
            connections: caller_connections(self.descriptors),
            head_bytes: MAX_HEAD,
            head_fields: clients.head_fields,
            head_timeout: clients.head_time,
            idle_timeout: CALLER_IDLE,
        };
        let caller_listener = Arc::new(Listener::new(
            Arc::new(Front::new(
                dispatcher.clone(),
                self.settings.has_accounts,
                LeastPace {
                    pause: clients.body_pause,
                    rate: clients.body_rate,
                },
            )),
            caller_limits,
        ));
        let readiness_limits = ListenerLimits {
            connections: CHECK_CONNECTIONS.min(self.descriptors / 10),
            ..caller_limits
        };
        let readiness_listener = Arc::new(Listener::new(readiness.clone(), readiness_limits));
        let peer_addr = SocketAddr::new(node.ip, node.peer_port);
        let notice_socket = Arc::new(
            NoticeSocket::bind(peer_addr)
                .await
                .context("gateway: cannot open the notice socket")?,
        );
        let piece_cache = Arc::new(PieceCache::new(node.link_rate));
        let piece_peers = Arc::new(Peers::new(
            self.platform.clone(),
            node.clone(),
            true,
            feed.clone(),
            piece_cache.clone(),
            notice_socket.clone(),
        ));
        let prefetcher =
            WeightPrefetcher::new(feed.clone(), piece_cache.clone(), piece_peers.clone());
        let peer_handler = PeerHandler::new(feed.clone(), piece_cache, self.metrics);
        let peer_limits = ListenerLimits {
            connections: PEER_CONNECTIONS.min(self.descriptors * 2 / 5),
            ..caller_limits
        };
        let peer_listener = Arc::new(Listener::new(Arc::new(peer_handler), peer_limits));
        let tasks = [
            spawn(serve(
                caller_listener.clone(),
                bind(self.settings.caller_addr).await?,
            )),
            spawn(serve(
                readiness_listener,
                bind(self.settings.readiness_addr).await?,
            )),
            spawn(serve(peer_listener, bind(peer_addr).await?)),
            spawn(feed.clone().follow()),
            spawn(send_notices(
                feed.clone(),
                scheduler.clone(),
                notice_socket.clone(),
            )),
            spawn(receive_notices(
                scheduler.clone(),
                piece_peers,
                notice_socket.clone(),
            )),
            spawn(run_periodic(scheduler.clone(), dispatcher.clone())),
        ];
        let announcing = spawn(announce(feed.clone(), peer_addr, node.region.clone()));
        let prefetching = spawn(prefetcher.run());
        decision(
            "gateway",
            "started",
            Outcome::Change,
            json!({ "callers": self.settings.caller_addr }),
        );
        stop.await;
        decision(
            "gateway",
            "stopping",
            Outcome::Change,
            json!({ "open": caller_listener.open_connections() }),
        );
        // Ends the notices of pieces, so that peers no longer rely on this entry.
        drop(prefetching);
        drop(announcing);
        let withdrawal = spawn(withdraw(feed.clone()));
        let shutdown = Shutdown {
            end: now() + node.bounds.shutdown_grace.saturating_sub(GRACE_MARGIN),
            readiness: &readiness,
            dispatcher: &dispatcher,
            listener: &caller_listener,
        };
        let drained = shutdown.run().await;
        decision(
            "gateway",
            "stopped",
            Outcome::Change,
            json!({ "drained": drained, "open": caller_listener.open_connections() }),
        );
        drop(withdrawal);
        drop(tasks);
        Ok(())
    }
}

/// Most connections of callers. With few descriptors a third of them, so that those of all
/// listeners together leave some for upstreams and the store.
fn caller_connections(descriptors: usize) -> usize {
    let least = LEAST_CALLERS.min(descriptors / 3);
    descriptors.saturating_sub(OTHER_DESCRIPTORS).max(least)
}

async fn bind(addr: SocketAddr) -> anyhow::Result<TcpListener> {
    let socket = TcpListener::bind(addr).await;
    socket.with_context(|| format!("gateway: cannot listen at {addr}; check the settings"))
}

async fn serve<H: transport::Handler>(listener: Arc<Listener<H>>, socket: TcpListener) {
    listener.accept(socket).await;
}

/// Announces the entry in the store, in each era of it; retries until it succeeds.
async fn announce<P: Platform>(feed: Arc<Feed<P>>, addr: SocketAddr, region: domain::RegionId) {
    let member = Member {
        vm: feed.vm().clone(),
        addr,
        region,
    };
    loop {
        match feed.announce(Some(&member)).await {
            // A copy from which the store comes back may not have the record.
            Ok(era) => feed.until_newer_era(era).await,
            Err(e) => {
                log::info!("gateway: cannot announce this entry yet: {e}");
                Timer::after(ANNOUNCE_PAUSE.mul_f64(0.7 + 0.6 * fastrand::f64())).await;
            }
        }
    }
}

/// Withdraws the announcement of the entry.
async fn withdraw<P: Platform>(feed: Arc<Feed<P>>) {
    loop {
        match feed.announce(None).await {
            Ok(era) => feed.until_newer_era(era).await,
            Err(e) => {
                // Peers remove this entry when its notices stop.
                log::info!("gateway: cannot withdraw the announcement: {e}");
                return;
            }
        }
    }
}

/// Sends the load of this entry to the other entries.
async fn send_notices<P: Platform>(
    feed: Arc<Feed<P>>,
    scheduler: Arc<Scheduler<P>>,
    notice_socket: Arc<NoticeSocket>,
) {
    let start = domain::millis(domain::now());
    loop {
        let members = feed.members();
        scheduler.update_announced(&members);
        let mut to: Vec<SocketAddr> = members.iter().map(|m| m.addr).collect();
        let stopping = scheduler.stopping_peers().into_iter();
        let unannounced: Vec<SocketAddr> = stopping.filter(|a| !to.contains(a)).collect();
        let mut due = scheduler.notice_targets(&members);
        due.extend(&unannounced);
        to.extend(unannounced);
        let notice = Notice::Entry(scheduler.load_notice(start));
        notice_socket.send(&notice, &due).await;
        let limits = scheduler.stated_limits();
        if !limits.is_empty() {
            notice_socket.send(&Notice::Limits(limits), &to).await;
        }
        if let Some(stopping) = scheduler.stopping_notice(start) {
            notice_socket.send(&Notice::Stopping(stopping), &to).await;
        }
        if let Some(starts) = scheduler.leaving_report() {
            notice_socket.send(&Notice::Leaving(starts), &to).await;
        }
        if let Some(report) = scheduler.crash_report() {
            notice_socket.send(&Notice::Crashes(report), &to).await;
        }
        Timer::after(NOTICE_INTERVAL).await;
    }
}

async fn receive_notices<P: Platform>(
    scheduler: Arc<Scheduler<P>>,
    piece_peers: Arc<Peers<P>>,
    notice_socket: Arc<NoticeSocket>,
) {
    loop {
        match notice_socket.receive().await {
            Notice::Entry(notice) => scheduler.apply_entry_notice(notice),
            Notice::Stopping(notice) => scheduler.apply_stopping(&notice),
            Notice::Crashes(report) => scheduler.apply_crash_report(report),
            Notice::Limits(limits) => scheduler.apply_limits(limits),
            Notice::Leaving(starts) => scheduler.apply_leaving(&starts),
            Notice::Engine(notice) => scheduler.apply_engine_notice(notice),
            Notice::Pieces(notice) => piece_peers.record_notice(notice),
        }
    }
}

/// Periodically updates the queues, the fleet view, idle connections and gauges.
async fn run_periodic<P: Platform>(scheduler: Arc<Scheduler<P>>, dispatcher: Arc<Dispatcher<P>>) {
    for round in 0_u64.. {
        Timer::after(TICK_INTERVAL).await;
        scheduler.tick();
        if round % 4 == 0 {
            dispatcher.feed.expire_upstreams();
        }
        if round % 64 == 0 {
            let shares = scheduler.idle_shares();
            let share = |addr| shares.get(&addr).copied().unwrap_or_default();
            dispatcher.connections.close_surplus(share);
            scheduler.publish_metrics(&dispatcher.connections);
            let held = u32::try_from(dispatcher.body_buffers.held()).unwrap_or(u32::MAX);
            metrics::gauge!("turmerichold_held_bytes").set(held);
        }
        if round % 640 == 0 {
            scheduler.log_paces();
        }
    }
}
