use std::collections::HashMap;
use std::future::Future;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use anyhow::Context;
use bytes::Bytes;
use dispatch::{Fetching, Holder, PieceSet, PieceSource, Swarm, SwarmStep};
use domain::{
    AgentPlace, EngineApi, EngineReport, ModelId, Moment, PieceSpec, Platform, WeightVersion, now,
};
use event_listener::Event;
use feed::{EngineNotice, Feed, Notice, PeerHandler, PiecesNotice, Post, Role};
use futures_lite::FutureExt;
use http::Method;
use serde_json::json;
use smol::net::TcpListener;
use smol::{Task, Timer};
use telemetry::{Outcome, decision};
use transport::{Listener, ListenerLimits, Pool, fetch, spawn, within};

use crate::origin_digests::{Agreement, Digests};
use crate::shelf::Shelf;

/// Pause between two looks at the engine, which cost nothing from its own VM.
const LOOK_PAUSE: Duration = Duration::from_millis(150);
/// Pause between two notices while nothing changes.
const NOTICE_PAUSE: Duration = Duration::from_millis(900);
/// Pause between two notices to near agents about pieces.
const NEAR_PAUSE: Duration = Duration::from_millis(60);
/// Pause between two notices to all agents about pieces.
const FAR_PAUSE: Duration = Duration::from_millis(120);
/// Age up to which an agent's word about its pieces counts.
const HEARD_MEMORY: Duration = Duration::from_secs(3);
/// Time before the bound on a version at which the last engine is ordered: from
/// the order on nothing begins on older weights.
const SWITCH_TIME: Duration = Duration::from_millis(1700);
/// Time from the declaration of a version to the first planned switch; by then
/// the first agents have all pieces.
const FIRST_SWITCH: Duration = Duration::from_millis(2300);
/// Fetches in flight at a time: one arrives while the next is asked for. More
/// would queue on the link before the requests for the engine.
const FETCHES: usize = 3;
/// Longest wait for a piece from another agent, whose link takes about 35 ms
/// a piece and serves several.
const PEER_LIMIT: Duration = Duration::from_millis(2500);
/// Longest wait for digests from another agent.
const DIGESTS_LIMIT: Duration = Duration::from_millis(500);
/// Pause after failed questions for digests.
const DIGESTS_PAUSE: Duration = Duration::from_millis(200);
/// Time in which entries learn that the engine is about to switch.
const CLOSE_LAG: Duration = Duration::from_millis(60);
/// Longest time that an order may take to show in the engine's report.
const ORDER_LIMIT: Duration = Duration::from_secs(10);
/// Longest list of digests that is read, in bytes.
const DIGESTS_BYTES: usize = 1 << 20;

/// The agent as a running process.
pub struct Loader<P: Platform> {
    platform: P,
    place: AgentPlace,
    metrics: fn() -> String,
}

struct Agent<P: Platform> {
    platform: P,
    place: AgentPlace,
    feed: Arc<Feed<P>>,
    shelf: Arc<Shelf<P::Engines>>,
    post: Post,
    news: Event,
    pool: Arc<Pool>,
    status: Mutex<Status>,
    heard: Mutex<HashMap<SocketAddr, Heard>>,
}

/// What another agent holds, as it last said.
struct Heard {
    model: ModelId,
    version: WeightVersion,
    pieces: PieceSet,
    at: Moment,
}

#[derive(Debug, Default)]
struct Status {
    report: Option<EngineReport>,
    switching: bool,
    told: Option<(EngineNotice, Moment)>,
}

/// A version to be brought to the engine.
#[derive(Debug, Clone, PartialEq)]
struct Goal {
    model: ModelId,
    version: WeightVersion,
    pieces: PieceSpec,
    origin: Option<SocketAddr>,
    /// When it was declared.
    since: Moment,
}

impl<P: Platform> Loader<P> {
    /// An agent at `place`.
    pub fn new(platform: P, place: AgentPlace, metrics: fn() -> String) -> Self {
        Loader {
            platform,
            place,
            metrics,
        }
    }

    /// Runs until `stop` resolves.
    pub async fn run(self, stop: impl Future<Output = ()>) -> anyhow::Result<()> {
        let node = self.place.node.clone();
        let inner = SocketAddr::new(node.ip, node.port);
        let feed = Arc::new(Feed::new(self.platform.clone(), node, Role::Agent, |_| {}));
        let engines = self.platform.engines().clone();
        let shelf = Arc::new(Shelf::new(engines, self.place.engine, self.place.node.link));
        let handler = PeerHandler::new(feed.clone(), shelf.clone(), self.metrics);
        let limits = ListenerLimits {
            connections: 256,
            head: 8 << 10,
            idle: Duration::from_secs(15),
        };
        let listener = Arc::new(Listener::new(Arc::new(handler), limits));
        let socket = TcpListener::bind(inner).await;
        let socket = socket.with_context(|| format!("loader: cannot listen at {inner}"))?;
        let agent = Arc::new(Agent {
            platform: self.platform,
            place: self.place,
            feed: feed.clone(),
            shelf,
            post: Post::open(inner).await.context("post: cannot listen")?,
            news: Event::new(),
            pool: Arc::default(),
            status: Mutex::default(),
            heard: Mutex::default(),
        });
        decision("loader", "started", Outcome::Change, json!({ "engine": agent.place.engine }));
        let tasks = [
            spawn(async move { listener.accept(socket).await }),
            spawn(feed.follow()),
            spawn(agent.clone().watch()),
            spawn(agent.clone().hear()),
            spawn(agent.bring()),
        ];
        stop.await;
        decision("loader", "stopped", Outcome::Change, json!({}));
        drop(tasks);
        Ok(())
    }
}

impl<P: Platform> Agent<P> {
    /// Looks at the engine again and again and tells the entries.
    async fn watch(self: Arc<Self>) {
        loop {
            self.look().await;
            self.tell().await;
            Timer::after(LOOK_PAUSE).await;
        }
    }

    async fn look(&self) {
        let report = self.platform.engines().report(self.place.engine).await;
        let mut status = self.status();
        match report {
            Ok(report) => {
                let born = status.report.as_ref().map(|r| r.born);
                if born.is_some_and(|b| b != report.born) {
                    // What was staged may be gone with the former start.
                    self.shelf.forget();
                    status.switching = false;
                    let fields = json!({ "born": report.born });
                    decision("loader", "engine restarted", Outcome::Change, fields);
                }
                status.report = Some(report);
            }
            Err(e) => {
                if status.report.take().is_some() {
                    let fields = json!({ "error": e.to_string() });
                    decision("loader", "engine lost", Outcome::Change, fields);
                }
            }
        }
    }

    /// Tells the entries what the engine holds and whether it takes work.
    async fn tell(&self) {
        let notice = {
            let mut status = self.status();
            let Some(report) = &status.report else { return };
            let held = report.models.iter();
            let notice = EngineNotice {
                engine: self.place.engine,
                born: report.born,
                switching: status.switching || report.busy,
                held: held.map(|h| (h.model.clone(), h.version)).collect(),
            };
            let now = now();
            let told = status.told.as_ref();
            if told.is_some_and(|(n, at)| *n == notice && now < *at + NOTICE_PAUSE) {
                return;
            }
            status.told = Some((notice.clone(), now));
            notice
        };
        let to: Vec<SocketAddr> = self.feed.members().iter().map(|m| m.addr).collect();
        self.post.send(&Notice::Engine(notice), &to).await;
    }

    /// Brings declared versions to the engine.
    async fn bring(self: Arc<Self>) {
        loop {
            let changed = self.feed.listen();
            match self.goal() {
                Some(goal) if !self.holds(&goal) => {
                    if let Err(e) = self.reach(&goal).await {
                        let fields = json!({
                            "model": goal.model, "version": goal.version,
                            "error": format!("{e:#}"),
                        });
                        decision("loader", "not loaded", Outcome::Failure, fields);
                        Timer::after(DIGESTS_PAUSE).await;
                    }
                }
                Some(goal) => {
                    self.adopt(&goal).await;
                    within(LOOK_PAUSE * 2, changed).await;
                }
                None => drop(within(LOOK_PAUSE * 2, changed).await),
            }
        }
    }

    /// What the engine has to hold, as far as that is known.
    fn goal(&self) -> Option<Goal> {
        self.feed.view(|v| {
            let plan = v.plan()?;
            let engine = plan.services.get(&self.place.service)?.engine.as_ref()?;
            let origin = plan.services.values().find_map(|s| s.origin);
            // Without a declaration version 1 is the one to hold.
            let first = || Some((engine.models.first()?, 1, Duration::ZERO));
            let (model, version, since) = v.newest().next().or_else(first)?;
            Some(Goal {
                model: model.clone(),
                version,
                pieces: engine.pieces,
                origin,
                since,
            })
        })
    }

    fn holds(&self, goal: &Goal) -> bool {
        let status = self.status();
        let Some(report) = &status.report else {
            // Nothing can be done for an engine that does not answer.
            return true;
        };
        let mut held = report.models.iter();
        held.any(|h| h.model == goal.model && h.version >= goal.version) || report.busy
    }

    /// Makes the staged pieces of a version that the engine holds available to
    /// other agents.
    async fn adopt(&self, goal: &Goal) {
        if self.status().report.is_none() || self.shelf.knows(&goal.model, goal.version) {
            return;
        }
        let Some(digests) = self.digests(goal).await else {
            return;
        };
        self.shelf.trust(&goal.model, goal.version, digests);
        for number in 0..goal.pieces.count {
            self.shelf.note_staged(&goal.model, goal.version, number);
        }
    }

    /// Fetches a version, stages it and orders the engine to load it.
    async fn reach(&self, goal: &Goal) -> anyhow::Result<()> {
        let digests = self.digests(goal).await.context("no agreed digests")?;
        self.shelf.trust(&goal.model, goal.version, digests);
        let begun = now();
        let node = &self.place.node;
        let own = node.ip.to_string().into();
        let mut swarm = Swarm::new(begun, own, node.region.clone(), goal.pieces.count);
        if !self.gather(goal, &mut swarm).await {
            return Ok(());
        }
        decision(
            "loader",
            "pieces complete",
            Outcome::Change,
            json!({ "version": goal.version, "took_ms": millis(now().saturating_sub(begun)) }),
        );
        self.switch(goal, &mut swarm).await
    }

    /// Hears what other agents hold.
    async fn hear(self: Arc<Self>) {
        loop {
            let Notice::Pieces(notice) = self.post.receive().await else {
                continue;
            };
            let heard = Heard {
                model: notice.model,
                version: notice.version,
                pieces: notice.words.into(),
                at: now(),
            };
            self.heard().insert(notice.holder, heard);
            self.news.notify(usize::MAX);
        }
    }

    /// Tells other agents which pieces are here.
    async fn tell_pieces(&self, goal: &Goal, pieces: &PieceSet, everyone: bool) {
        let node = &self.place.node;
        let notice = Notice::Pieces(PiecesNotice {
            holder: SocketAddr::new(node.ip, node.port),
            model: goal.model.clone(),
            version: goal.version,
            words: pieces.words().to_vec(),
        });
        let holders = self.holders(goal);
        let to = holders
            .iter()
            .filter(|h| everyone || h.region == node.region);
        let to: Vec<SocketAddr> = to.map(|h| h.addr).collect();
        self.post.send(&notice, &to).await;
    }

    /// Fetches all pieces; false when another version is wanted meanwhile.
    async fn gather(&self, goal: &Goal, swarm: &mut Swarm) -> bool {
        let (done, results) = async_channel::unbounded();
        let mut tasks: Vec<Task<()>> = Vec::new();
        let mut running = 0;
        let mut told: Option<(PieceSet, Moment)> = None;
        let mut told_all = Duration::ZERO;
        loop {
            if self.goal().as_ref() != Some(goal) || self.status().report.is_none() {
                return false;
            }
            swarm.set_holders(self.holders(goal));
            let complete = loop {
                if running >= FETCHES {
                    break false;
                }
                match swarm.next(now()) {
                    SwarmStep::Fetch(f) => {
                        running += 1;
                        tasks.push(self.begin(goal, f, done.clone()));
                    }
                    SwarmStep::Wait => break false,
                    SwarmStep::Complete => break true,
                }
            };
            let moment = now();
            let due = match &told {
                Some((set, at)) => set != swarm.held() && moment >= *at + NEAR_PAUSE,
                None => true,
            };
            let everyone = complete || moment >= told_all + FAR_PAUSE;
            if due || everyone {
                self.tell_pieces(goal, swarm.held(), everyone).await;
                told = Some((swarm.held().clone(), moment));
                if everyone {
                    told_all = moment;
                }
            }
            if complete {
                return true;
            }
            let news = self.news.listen();
            let arrived = async { Some(results.recv().await) }.or(async {
                match running < FETCHES {
                    true => drop(within(NEAR_PAUSE, news).await),
                    false => drop(Timer::after(NEAR_PAUSE).await),
                }
                None
            });
            if let Some(Ok((fetching, result))) = arrived.await {
                running -= 1;
                tasks.retain(|t| !t.is_finished());
                self.finish(goal, swarm, &fetching, result).await;
            }
        }
    }

    fn begin(
        &self,
        goal: &Goal,
        fetching: Fetching,
        done: async_channel::Sender<(Fetching, Option<Bytes>)>,
    ) -> Task<()> {
        let (engines, goal) = (self.platform.engines().clone(), goal.clone());
        let pool = self.pool.clone();
        spawn(async move {
            let result = match fetching.source {
                PieceSource::Origin => from_origin(&engines, &goal, fetching.piece).await,
                PieceSource::Holder(addr) => from_peer(&pool, addr, &goal, fetching.piece).await,
            };
            // The receiver is gone when another version is wanted.
            let _ = done.send((fetching, result)).await;
        })
    }

    /// Stages a fetched piece if it is the right one.
    async fn finish(
        &self,
        goal: &Goal,
        swarm: &mut Swarm,
        fetching: &Fetching,
        result: Option<Bytes>,
    ) {
        let piece = fetching.piece;
        if let Some(bytes) = result {
            if self.shelf.is_piece(&goal.model, goal.version, piece, &bytes) {
                match self.stage(goal, piece, bytes).await {
                    Ok(()) => return swarm.hold(piece),
                    Err(e) => log::warn!("loader: piece {piece} not staged: {e}"),
                }
            } else {
                let source = format!("{:?}", fetching.source);
                let fields = json!({ "piece": piece, "source": source });
                decision("loader", "wrong digest", Outcome::Failure, fields);
            }
        }
        swarm.fail(now(), fetching);
    }

    async fn stage(&self, goal: &Goal, piece: u32, bytes: Bytes) -> Result<(), domain::EngineError> {
        let engines = self.platform.engines();
        engines
            .stage(self.place.engine, &goal.model, piece, bytes)
            .await?;
        self.shelf.note_staged(&goal.model, goal.version, piece);
        Ok(())
    }

    /// Waits for the engine's turn, verifies everything that is staged once more
    /// and orders the engine.
    async fn switch(&self, goal: &Goal, swarm: &mut Swarm) -> anyhow::Result<()> {
        let turn = self.turn(goal);
        while now() < turn {
            if self.goal().as_ref() != Some(goal) {
                return Ok(());
            }
            self.tell_pieces(goal, swarm.held(), true).await;
            Timer::after((turn.saturating_sub(now())).min(FAR_PAUSE)).await;
        }
        if !self.verify(goal, swarm).await {
            return Ok(());
        }
        self.status().switching = true;
        self.tell().await;
        Timer::after(CLOSE_LAG).await;
        let result = self.order(goal).await;
        self.status().switching = false;
        self.tell().await;
        result
    }

    /// When the engine switches. Engines take turns, so that the others carry
    /// the load meanwhile; those that serve nothing or have skipped a version
    /// do not wait.
    fn turn(&self, goal: &Goal) -> Moment {
        let held = self.status().report.as_ref().and_then(|r| {
            let same = r.models.iter().filter(|h| h.model == goal.model);
            same.map(|h| h.version).max()
        });
        if held.is_none_or(|h| h + 1 < goal.version) {
            return now();
        }
        let holders = self.holders(goal);
        let own = self.place.node.ip.to_string();
        let before = holders.iter().filter(|h| h.vm.as_str() < own.as_str());
        // Neighbours in the order of addresses are in one failure domain; the
        // golden ratio spreads them over the window.
        let place = u32::try_from(before.count()).unwrap_or(0);
        let share = (f64::from(place) * 0.618_033_988_75).fract();
        let last = self.place.node.bounds.weights.saturating_sub(SWITCH_TIME);
        let window = last.saturating_sub(FIRST_SWITCH);
        goal.since + FIRST_SWITCH + window.mul_f64(share)
    }

    /// Verifies everything that is staged; false when another version is wanted.
    async fn verify(&self, goal: &Goal, swarm: &mut Swarm) -> bool {
        loop {
            let mut wrong = 0;
            for piece in 0..goal.pieces.count {
                let whole = self.shelf.verified(&goal.model, goal.version, piece).await;
                if whole.is_none() {
                    swarm.lose(piece);
                    wrong += 1;
                }
            }
            if wrong == 0 {
                return true;
            }
            let fields = json!({ "pieces": wrong, "version": goal.version });
            decision("loader", "staged pieces spoilt", Outcome::Failure, fields);
            if !self.gather(goal, swarm).await {
                return false;
            }
        }
    }

    async fn order(&self, goal: &Goal) -> anyhow::Result<()> {
        self.look().await;
        let report = self.status().report.clone();
        let report = report.context("the engine does not answer")?;
        anyhow::ensure!(self.goal().as_ref() == Some(goal), "another version is wanted");
        let engines = self.platform.engines();
        let fields = json!({
            "model": goal.model, "version": goal.version, "sequence": report.sequence,
        });
        decision("loader", "order", Outcome::Change, fields);
        let (engine, sequence) = (self.place.engine, report.sequence);
        let ordered = engines.load(engine, &goal.model, goal.version, sequence);
        if let Err(e) = ordered.await {
            // It may have begun nevertheless; the engine's report decides.
            log::warn!("loader: order: {e}");
        }
        let begun = now();
        while now().saturating_sub(begun) < ORDER_LIMIT {
            self.look().await;
            let report = self.status().report.clone().unwrap_or_default();
            let mut held = report.models.iter();
            if held.any(|h| h.model == goal.model && h.version >= goal.version) {
                let took = millis(now().saturating_sub(begun));
                let fields = json!({ "version": goal.version, "took_ms": took });
                decision("loader", "loaded", Outcome::Change, fields);
                return Ok(());
            }
            if !report.busy && now().saturating_sub(begun) > LOOK_PAUSE * 4 {
                anyhow::bail!("the order had no effect");
            }
            Timer::after(LOOK_PAUSE / 5).await;
        }
        anyhow::bail!("the engine does not report the version")
    }

    /// Digests that two sources agree on.
    async fn digests(&self, goal: &Goal) -> Option<Digests> {
        if let Some(known) = self.shelf.agreed(&goal.model, goal.version) {
            return Some(known);
        }
        let mut agreement = Agreement::default();
        let count = usize::try_from(goal.pieces.count).ok()?;
        let mut peers = self.holders(goal);
        fastrand::shuffle(&mut peers);
        let path = format!("/piece/{}/{}", goal.model, goal.version);
        for _ in 0..3 {
            let from_origin = async {
                let origin = goal.origin?;
                let engines = self.platform.engines();
                engines.digests(origin, &goal.model, goal.version).await.ok()
            };
            if let Some(list) = from_origin.await
                && let Some(agreed) = agreement.vote(list, count)
            {
                return Some(agreed);
            }
            for peer in peers.iter().take(3) {
                let list = digests_of(&self.pool, peer.addr, &path).await;
                if let Some(list) = list
                    && let Some(agreed) = agreement.vote(list, count)
                {
                    return Some(agreed);
                }
            }
            Timer::after(DIGESTS_PAUSE).await;
            fastrand::shuffle(&mut peers);
        }
        None
    }

    /// Other agents of the service.
    fn holders(&self, goal: &Goal) -> Vec<Holder> {
        self.feed.view(|v| {
            let others = v.upstreams().filter(|u| {
                u.service == self.place.service && u.addr.ip() != self.place.node.ip
            });
            let holder = |u: &domain::Upstream| Holder {
                vm: u.addr.ip().to_string().into(),
                addr: self.feed.peer_addr(u.addr.ip()),
                region: self.place.node.region_of(&u.domain).into(),
                pieces: self.pieces_of(u, goal),
            };
            others.map(holder).collect()
        })
    }

    /// What another agent holds of a version, by its own word or its engine's.
    fn pieces_of(&self, upstream: &domain::Upstream, goal: &Goal) -> Option<PieceSet> {
        let same = |h: &domain::HeldModel| h.model == goal.model && h.version == goal.version;
        if upstream.models.iter().any(same) {
            return Some(PieceSet::full(goal.pieces.count));
        }
        let addr = self.feed.peer_addr(upstream.addr.ip());
        let heard = self.heard();
        let heard = heard.get(&addr)?;
        let current = heard.model == goal.model && heard.version == goal.version;
        let recent = now().saturating_sub(heard.at) < HEARD_MEMORY;
        (current && recent).then(|| heard.pieces.clone())
    }

    fn heard(&self) -> MutexGuard<'_, HashMap<SocketAddr, Heard>> {
        self.heard.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn status(&self) -> MutexGuard<'_, Status> {
        self.status.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Whole milliseconds, for logs.
fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}

async fn from_origin<E: EngineApi>(engines: &E, goal: &Goal, piece: u32) -> Option<Bytes> {
    let origin = goal.origin?;
    let read = engines
        .origin_piece(origin, &goal.model, goal.version, piece)
        .await;
    read.inspect_err(|e| log::info!("loader: piece {piece}: {e}"))
        .ok()
}

async fn from_peer(pool: &Pool, addr: SocketAddr, goal: &Goal, piece: u32) -> Option<Bytes> {
    let path = format!("/piece/{}/{}/{piece}", goal.model, goal.version);
    let max = goal.pieces.bytes.max(1) * 2;
    let answer = fetch(pool, addr, Method::GET, &path, Bytes::new(), PEER_LIMIT, max).await;
    match answer {
        Ok(a) if a.status == 200 => Some(a.body),
        Ok(a) => {
            log::info!("loader: piece {piece} of {addr}: status {}", a.status);
            None
        }
        Err(e) => {
            log::info!("loader: piece {piece}: {e}");
            pool.forget(addr);
            None
        }
    }
}

async fn digests_of(pool: &Pool, addr: SocketAddr, path: &str) -> Option<Digests> {
    let get = Method::GET;
    let answer = fetch(pool, addr, get, path, Bytes::new(), DIGESTS_LIMIT, DIGESTS_BYTES);
    let answer = answer.await.ok().filter(|a| a.status == 200)?;
    let (list, rest) = answer.body.as_chunks::<32>();
    rest.is_empty().then(|| list.to_vec())
}
