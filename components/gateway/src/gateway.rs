use std::future::Future;
use std::net::SocketAddr;
use std::sync::{Arc, OnceLock};
use std::time::Duration;

use anyhow::Context;
use domain::{EntrySettings, Platform};
use feed::{Feed, Member, Notice, NoticeSocket, PeerHandler, Role};
use pieces::{Depot, Neighbours};
use serde_json::json;
use smol::Timer;
use smol::net::TcpListener;
use telemetry::{Outcome, decision};
use transport::{Listener, ListenerLimits, Pool, spawn, within};

use crate::desk::Desk;
use crate::dispatcher::Dispatcher;
use crate::front::Front;
use crate::readiness::Readiness;
use crate::stock::Stock;

/// Pause between two notices to other entries.
const NOTICE_PAUSE: Duration = Duration::from_millis(60);
/// Pause between two looks at the queues.
const TICK: Duration = Duration::from_millis(15);
/// Pause between two tries to announce the entry.
const ANNOUNCE_PAUSE: Duration = Duration::from_millis(700);
/// Time in which the balancer notices that an entry is leaving: two checks a
/// second apart.
const BALANCER_LAG: Duration = Duration::from_millis(2200);
/// Time before SIGKILL at which the process ends.
const GRACE_MARGIN: Duration = Duration::from_millis(700);
/// Longest head of a request in bytes; the configuration allows 16 KiB.
const MAX_HEAD: usize = 32 << 10;
/// Idle time of a caller's connection; callers reuse them up to 12 s.
const CALLER_IDLE: Duration = Duration::from_secs(16);
/// Connections of other processes: all agents of a region, each with some.
const PEER_CONNECTIONS: usize = 768;
/// Descriptors kept for upstreams, peers and the store.
const OTHER_DESCRIPTORS: usize = 1200;

/// The entry as a running process.
pub struct Gateway<P: Platform> {
    platform: P,
    place: EntrySettings,
    descriptors: usize,
    metrics: fn() -> String,
}

impl<P: Platform> Gateway<P> {
    /// An entry at `place` that may use `descriptors` sockets.
    pub fn new(
        platform: P,
        place: EntrySettings,
        descriptors: usize,
        metrics: fn() -> String,
    ) -> Self {
        Gateway {
            platform,
            place,
            descriptors,
            metrics,
        }
    }

    /// Serves until `stop` resolves, then drains.
    pub async fn run(self, stop: impl Future<Output = ()>) -> anyhow::Result<()> {
        let node = self.place.node.clone();
        let slot: Arc<OnceLock<Arc<Desk<P>>>> = Arc::default();
        let sink = slot.clone();
        let feed = Feed::new(
            self.platform.clone(),
            node.clone(),
            Role::Entry,
            move |change| {
                if let Some(desk) = sink.get() {
                    desk.changed(change);
                }
            },
        );
        let feed = Arc::new(feed);
        let desk = Arc::new(Desk::new(feed.clone(), node.clone()));
        // Set once, before the feed starts.
        let _ = slot.set(desk.clone());
        let dispatcher = Arc::new(Dispatcher {
            platform: self.platform.clone(),
            feed: feed.clone(),
            desk: desk.clone(),
            pool: Pool::default(),
        });
        let readiness = Arc::new(Readiness::new(feed.clone()));
        let callers = ListenerLimits {
            connections: self.descriptors.saturating_sub(OTHER_DESCRIPTORS).max(256),
            head_bytes: MAX_HEAD,
            idle_timeout: CALLER_IDLE,
        };
        let front = Arc::new(Listener::new(
            Arc::new(Front::new(dispatcher.clone())),
            callers,
        ));
        let small = ListenerLimits {
            connections: 128,
            ..callers
        };
        let checks = Arc::new(Listener::new(readiness.clone(), small));
        let inner = SocketAddr::new(node.ip, node.peer_port);
        let post = Arc::new(
            NoticeSocket::bind(inner)
                .await
                .context("post: cannot listen")?,
        );
        let depot = Arc::new(Depot::new(node.link_rate));
        let neighbours = Arc::new(Neighbours::new(
            self.platform.clone(),
            node.clone(),
            true,
            feed.clone(),
            depot.clone(),
            post.clone(),
        ));
        let stock = Stock::new(feed.clone(), depot.clone(), neighbours.clone());
        let peers = PeerHandler::new(feed.clone(), depot, self.metrics);
        let inner_limits = ListenerLimits {
            connections: PEER_CONNECTIONS,
            ..callers
        };
        let peers = Arc::new(Listener::new(Arc::new(peers), inner_limits));
        let tasks = [
            spawn(serve(front.clone(), bind(self.place.caller_addr).await?)),
            spawn(serve(checks, bind(self.place.readiness_addr).await?)),
            spawn(serve(peers, bind(inner).await?)),
            spawn(feed.clone().follow()),
            spawn(announce(feed.clone(), inner, node.region.clone())),
            spawn(tell(feed.clone(), desk.clone(), post.clone())),
            spawn(hear(desk.clone(), neighbours, post.clone())),
            spawn(tick(desk.clone(), dispatcher.clone())),
        ];
        let bringing = spawn(stock.run());
        decision(
            "gateway",
            "started",
            Outcome::Change,
            json!({ "callers": self.place.caller_addr }),
        );
        stop.await;
        decision(
            "gateway",
            "stopping",
            Outcome::Change,
            json!({ "open": front.open_connections() }),
        );
        readiness.leave();
        // Others no longer count on this entry to bring pieces.
        drop(bringing);
        let farewell = spawn(farewell(feed.clone()));
        Timer::after(BALANCER_LAG).await;
        front.close();
        let limit = node
            .bounds
            .shutdown_grace
            .saturating_sub(BALANCER_LAG + GRACE_MARGIN);
        let ended = within(limit, front.wait_closed()).await.is_some();
        decision(
            "gateway",
            "stopped",
            Outcome::Change,
            json!({ "drained": ended }),
        );
        drop(farewell);
        drop(tasks);
        Ok(())
    }
}

async fn bind(addr: SocketAddr) -> anyhow::Result<TcpListener> {
    let socket = TcpListener::bind(addr).await;
    socket.with_context(|| format!("gateway: cannot listen at {addr}; check the settings"))
}

async fn serve<H: transport::Handler>(listener: Arc<Listener<H>>, socket: TcpListener) {
    listener.accept(socket).await;
}

/// Announces the entry in the store until that has succeeded.
async fn announce<P: Platform>(feed: Arc<Feed<P>>, addr: SocketAddr, region: domain::RegionId) {
    let member = Member {
        vm: feed.vm().clone(),
        addr,
        region,
    };
    while let Err(e) = feed.announce(Some(&member)).await {
        log::info!("gateway: not announced yet: {e}");
        Timer::after(ANNOUNCE_PAUSE.mul_f64(0.7 + 0.6 * fastrand::f64())).await;
    }
}

async fn farewell<P: Platform>(feed: Arc<Feed<P>>) {
    if let Err(e) = feed.announce(None).await {
        // Others notice by the silence.
        log::info!("gateway: announcement not taken back: {e}");
    }
}

/// Tells the other entries what is in flight here.
async fn tell<P: Platform>(feed: Arc<Feed<P>>, desk: Arc<Desk<P>>, post: Arc<NoticeSocket>) {
    let start = domain::millis(domain::now());
    loop {
        let to: Vec<SocketAddr> = feed.members().iter().map(|m| m.addr).collect();
        let notice = Notice::Entry(desk.notice(start));
        post.send(&notice, &to).await;
        Timer::after(NOTICE_PAUSE).await;
    }
}

async fn hear<P: Platform>(
    desk: Arc<Desk<P>>,
    neighbours: Arc<Neighbours<P>>,
    post: Arc<NoticeSocket>,
) {
    loop {
        match post.receive().await {
            Notice::Entry(notice) => desk.entry_notice(notice),
            Notice::Engine(notice) => desk.engine_notice(notice),
            Notice::Pieces(notice) => neighbours.hear(notice),
        }
    }
}

async fn tick<P: Platform>(desk: Arc<Desk<P>>, dispatcher: Arc<Dispatcher<P>>) {
    for turn in 0_u64.. {
        Timer::after(TICK).await;
        desk.tick();
        if turn % 4 == 0 {
            dispatcher.feed.expire_upstreams();
        }
        if turn % 64 == 0 {
            dispatcher.pool.close_expired();
            desk.publish();
        }
    }
}
