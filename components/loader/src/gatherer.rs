use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_channel::{Sender, unbounded};
use bytes::Bytes;
use dispatch::{FetchFailure, Fetching, PieceSet, PieceSource, Swarm, SwarmStep};
use domain::{EngineApi, Moment, Platform, now};
use fleet::{id_hash, mix};
use futures_lite::FutureExt;
use http::Method;
use serde_json::json;
use smol::{Task, Timer};
use telemetry::{Outcome, decision};
use transport::{Pool, fetch, spawn, within};

use crate::agent::Agent;
use crate::agreement::{Agreement, Digests};
use crate::goal::Goal;
use crate::tally::Tally;

/// Fetches in flight at a time: some are asked for while one arrives. More
/// would queue on the link before the requests for the engine.
const FETCHES: usize = 3;
/// Pause between two notices to the agents that wait for pieces: a few of them
/// arrive in it, and notices share the narrow links.
const NOTICE_PAUSE: Duration = Duration::from_millis(80);
/// Longest wait for something to happen.
const IDLE_PAUSE: Duration = Duration::from_millis(60);
/// Pause before notices of other agents are looked at.
const NEWS_PAUSE: Duration = Duration::from_millis(15);
/// Pause between two notices to all agents, some of which may have to step in.
const EVERYONE_PAUSE: Duration = Duration::from_millis(1000);
/// Pause between two notices once everything is here.
const COMPLETE_PAUSE: Duration = Duration::from_millis(500);
/// Longest wait for a piece from another agent, whose link takes about 35 ms
/// a piece and serves several.
const PEER_LIMIT: Duration = Duration::from_millis(2500);
/// Longest wait for digests from another agent.
const DIGESTS_LIMIT: Duration = Duration::from_millis(500);
/// Pause after failed questions for digests.
const DIGESTS_PAUSE: Duration = Duration::from_millis(150);
/// Agents asked for digests in one round.
const DIGESTS_PEERS: usize = 4;
/// Agents that ask the origin for digests at once.
const EARLY_AGENTS: usize = 6;
/// Round of questions in which every agent asks the origin.
const ORIGIN_ROUND: u32 = 6;
/// Longest list of digests that is read, in bytes.
const DIGESTS_BYTES: usize = 1 << 20;

/// A fetch that has ended, and how long it took.
type Fetched = (Fetching, Result<Bytes, FetchFailure>, Duration);

/// Brings the pieces of one version into this agent's memory.
pub struct Gatherer<P: Platform> {
    agent: Arc<Agent<P>>,
    goal: Goal,
    told: Option<(PieceSet, Moment)>,
    told_all: Moment,
    tally: Tally,
}

impl<P: Platform> Gatherer<P> {
    /// A gatherer of the pieces of `goal`.
    pub fn new(agent: Arc<Agent<P>>, goal: Goal) -> Self {
        Gatherer {
            agent,
            goal,
            told: None,
            told_all: Duration::ZERO,
            tally: Tally::default(),
        }
    }

    /// Fetches until every piece is here, then tells others as long as the task
    /// lives.
    pub async fn run(mut self) {
        let begun = now();
        let digests = self.digests().await;
        let agreed = now();
        let (model, version) = (self.goal.model.clone(), self.goal.version);
        self.agent.shelf.trust(&model, version, digests);
        let node = &self.agent.place.node;
        let (own, region) = (node.ip.to_string().into(), node.region.clone());
        let mut swarm = Swarm::new(begun, own, region, self.goal.pieces.count);
        self.take_staged(&mut swarm).await;
        self.gather(&mut swarm).await;
        let fields = json!({
            "model": model,
            "version": version,
            "digests_s": agreed.saturating_sub(begun).as_secs_f64(),
            "took_s": now().saturating_sub(begun).as_secs_f64(),
            "fetches": self.tally.fields(),
        });
        decision("loader", "pieces complete", Outcome::Change, fields);
        loop {
            swarm.set_holders(now(), self.agent.holders(&self.goal));
            let everyone = swarm.everyone();
            let held = swarm.held();
            self.agent.tell_pieces(&self.goal, held, &everyone).await;
            Timer::after(COMPLETE_PAUSE).await;
        }
    }

    /// Digests that two sources agree on. The first agents in rank ask the
    /// origin, the others ask them and turn to the origin only after a while.
    async fn digests(&self) -> Digests {
        let (agent, goal) = (&self.agent, &self.goal);
        if let Some(known) = agent.shelf.trusted(&goal.model, goal.version) {
            return known;
        }
        let mut agreement = Agreement::default();
        for round in 0_u32.. {
            let direct = round >= ORIGIN_ROUND || agent.is_early(goal);
            let agreed = agent.ask_digests(goal, &mut agreement, direct).await;
            if let Some(agreed) = agreed {
                return agreed;
            }
            Timer::after(DIGESTS_PAUSE.mul_f64(0.7 + 0.6 * fastrand::f64())).await;
        }
        Digests::new()
    }

    /// Takes over what survived a restart of the engine or of this process.
    async fn take_staged(&self, swarm: &mut Swarm) {
        let (agent, goal) = (&self.agent, &self.goal);
        let engines = agent.platform.engines();
        let held = agent.shelf.held(&goal.model, goal.version);
        let staged = match engines.staged(agent.place.engine, &goal.model).await {
            Ok(staged) => staged,
            Err(e) => {
                log::info!("gatherer: staged pieces not listed: {e}");
                Vec::new()
            }
        };
        // One look tells whether another version lies there.
        for number in staged {
            let read = agent.shelf.verified(&goal.model, goal.version, number);
            let Some(bytes) = read.await else { break };
            if agent.shelf.keep(&goal.model, goal.version, number, bytes) {
                swarm.hold(number);
            }
        }
        let kept = (0..goal.pieces.count).filter(|n| held.contains(*n));
        kept.for_each(|n| swarm.hold(n));
    }

    async fn gather(&mut self, swarm: &mut Swarm) {
        let (done, results) = unbounded();
        let mut tasks: Vec<Task<()>> = Vec::new();
        let mut running = 0;
        loop {
            swarm.set_holders(now(), self.agent.holders(&self.goal));
            let mut step = SwarmStep::Wait;
            while running < FETCHES {
                step = swarm.next(now());
                let SwarmStep::Fetch(fetching) = step else {
                    break;
                };
                running += 1;
                tasks.push(self.begin(fetching, done.clone()));
                step = SwarmStep::Wait;
            }
            let begun = now();
            self.tally.starved(begun, running < FETCHES);
            let held = swarm.held().len();
            let elapsed = begun.saturating_sub(swarm.begun());
            self.tally.held(elapsed, held, self.goal.pieces.count);
            self.tell(swarm).await;
            if step == SwarmStep::Complete {
                return;
            }
            let news = self.agent.news.listen();
            let arrived = async { Some(results.recv().await) }.or(async {
                // Notices of many agents are looked at together.
                Timer::after(NEWS_PAUSE).await;
                match running < FETCHES {
                    true => drop(within(IDLE_PAUSE, news).await),
                    false => drop(Timer::after(IDLE_PAUSE).await),
                }
                None
            });
            if let Some(Ok((fetching, result, took))) = arrived.await {
                running -= 1;
                tasks.retain(|t| !t.is_finished());
                let outcome = self.finish(swarm, &fetching, result);
                self.tally.count(&fetching.source, took, outcome);
            }
        }
    }

    async fn tell(&mut self, swarm: &Swarm) {
        let (moment, held) = (now(), swarm.held());
        let due = match &self.told {
            Some((set, at)) => set != held && moment >= *at + NOTICE_PAUSE,
            None => true,
        };
        let everyone = moment >= self.told_all + EVERYONE_PAUSE;
        if !due && !everyone {
            return;
        }
        let to = match everyone {
            true => swarm.everyone(),
            false => swarm.audience(),
        };
        self.agent.tell_pieces(&self.goal, held, &to).await;
        self.told = Some((held.clone(), moment));
        if everyone {
            self.told_all = moment;
        }
    }

    fn begin(&self, fetching: Fetching, done: Sender<Fetched>) -> Task<()> {
        let (agent, goal) = (self.agent.clone(), self.goal.clone());
        let begun = now();
        spawn(async move {
            let result = match fetching.source {
                PieceSource::Origin => {
                    from_origin(agent.platform.engines(), &goal, fetching.piece).await
                }
                PieceSource::Holder(addr) => {
                    from_peer(&agent.pool, addr, &goal, fetching.piece).await
                }
            };
            let took = now().saturating_sub(begun);
            // The receiver is gone when the version is no longer wanted.
            let _ = done.send((fetching, result, took)).await;
        })
    }

    fn finish(
        &self,
        swarm: &mut Swarm,
        fetching: &Fetching,
        result: Result<Bytes, FetchFailure>,
    ) -> Result<(), FetchFailure> {
        let goal = &self.goal;
        let bytes = result.inspect_err(|failure| swarm.fail(now(), fetching, *failure))?;
        let shelf = &self.agent.shelf;
        if shelf.keep(&goal.model, goal.version, fetching.piece, bytes) {
            let source = match fetching.source {
                PieceSource::Origin => "origin",
                PieceSource::Holder(_) => "agent",
            };
            metrics::counter!("turmerichold_pieces_total", "source" => source).increment(1);
            swarm.hold(fetching.piece);
            return Ok(());
        }
        let fields = json!({
            "version": goal.version,
            "piece": fetching.piece,
            "source": format!("{:?}", fetching.source),
        });
        decision("loader", "wrong digest", Outcome::Failure, fields);
        swarm.fail(now(), fetching, FetchFailure::Failed);
        Err(FetchFailure::Failed)
    }
}

impl<P: Platform> Agent<P> {
    /// Digests of a version that two sources agree on; none when one round of
    /// questions has not settled it.
    pub(crate) async fn agreed_digests(&self, goal: &Goal) -> Option<Digests> {
        let known = self.shelf.trusted(&goal.model, goal.version);
        if known.is_some() {
            return known;
        }
        let direct = self.is_early(goal);
        self.ask_digests(goal, &mut Agreement::default(), direct)
            .await
    }

    /// Whether this agent is one of the first to ask the origin about a version.
    fn is_early(&self, goal: &Goal) -> bool {
        let rank = |vm: &str| mix(id_hash(vm), goal.version);
        let own = rank(&self.place.node.ip.to_string());
        let holders = self.holders(goal);
        let before = holders.iter().filter(|h| rank(&h.vm) < own);
        before.count() < EARLY_AGENTS
    }

    /// One round of questions, to the origin as well if `direct`.
    async fn ask_digests(
        &self,
        goal: &Goal,
        agreement: &mut Agreement,
        direct: bool,
    ) -> Option<Digests> {
        let count = usize::try_from(goal.pieces.count).unwrap_or(usize::MAX);
        if let Some(origin) = goal.origin.filter(|_| direct) {
            let engines = self.platform.engines();
            match engines.digests(origin, &goal.model, goal.version).await {
                Ok(list) => {
                    self.shelf
                        .note_read(&goal.model, goal.version, list.clone());
                    if let Some(agreed) = agreement.vote(list, count) {
                        return Some(agreed);
                    }
                }
                Err(e) => log::info!("gatherer: digests: {e}"),
            }
        }
        let mut peers = self.holders(goal);
        // Those who ask the origin know first.
        peers.sort_by_cached_key(|h| mix(id_hash(&h.vm), goal.version));
        peers.truncate(EARLY_AGENTS * 2);
        fastrand::shuffle(&mut peers);
        let path = format!("/piece/{}/{}", goal.model, goal.version);
        for peer in peers.iter().take(DIGESTS_PEERS) {
            let list = digests_of(&self.pool, peer.addr, &path).await;
            let agreed = list.and_then(|l| agreement.vote(l, count));
            if agreed.is_some() {
                return agreed;
            }
        }
        None
    }
}

async fn from_origin<E: EngineApi>(
    engines: &E,
    goal: &Goal,
    piece: u32,
) -> Result<Bytes, FetchFailure> {
    let origin = goal.origin.ok_or(FetchFailure::Failed)?;
    let read = engines
        .origin_piece(origin, &goal.model, goal.version, piece)
        .await;
    read.map_err(|e| {
        log::info!("gatherer: piece {piece}: {e}");
        FetchFailure::Failed
    })
}

async fn from_peer(
    pool: &Pool,
    addr: SocketAddr,
    goal: &Goal,
    piece: u32,
) -> Result<Bytes, FetchFailure> {
    let path = format!("/piece/{}/{}/{piece}", goal.model, goal.version);
    let max = goal.pieces.bytes.max(1) * 2;
    let get = Method::GET;
    let answer = fetch(pool, addr, get, &path, Bytes::new(), PEER_LIMIT, max).await;
    let answer = answer.map_err(|e| {
        log::info!("gatherer: piece {piece}: {e}");
        pool.forget(addr);
        FetchFailure::Failed
    })?;
    match answer.status {
        200 => Ok(answer.body),
        503 => Err(FetchFailure::Busy),
        status => {
            log::info!("gatherer: piece {piece} of {addr}: status {status}");
            Err(FetchFailure::Failed)
        }
    }
}

async fn digests_of(pool: &Pool, addr: SocketAddr, path: &str) -> Option<Digests> {
    let get = Method::GET;
    let answer = fetch(
        pool,
        addr,
        get,
        path,
        Bytes::new(),
        DIGESTS_LIMIT,
        DIGESTS_BYTES,
    );
    let answer = answer.await.ok().filter(|a| a.status == 200)?;
    let (list, rest) = answer.body.as_chunks::<32>();
    rest.is_empty().then(|| list.to_vec())
}
