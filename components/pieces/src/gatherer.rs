use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_channel::{Sender, unbounded};
use bytes::Bytes;
use dispatch::{FetchFailure, Fetching, PieceSet, PieceSource, Swarm, SwarmStep};
use domain::{EngineApi, Moment, Platform, now};
use futures_lite::FutureExt;
use http::Method;
use serde_json::json;
use smol::{Task, Timer};
use telemetry::{Outcome, decision};
use transport::{Pool, fetch, spawn, within};

use crate::agreement::{Agreement, Digests};
use crate::tally::Tally;
use crate::{Goal, Neighbours};

/// Fetches that an agent has in flight: some are asked for while one arrives.
/// More would queue on the link before the requests for the engine.
const FETCHES: usize = 3;
/// The same where entries give pieces without delay.
const NEAR_FETCHES: usize = 2;
/// Fetches that an entry has in flight, whose link is wide.
const WIDE_FETCHES: usize = 8;
/// Pause between two notices to the agents that wait for pieces: a few of them
/// arrive in it, and notices share the narrow links.
const NOTICE_PAUSE: Duration = Duration::from_millis(80);
/// Longest wait for something to happen.
const IDLE_PAUSE: Duration = Duration::from_millis(60);
/// Pause before notices of other agents are looked at.
const NEWS_PAUSE: Duration = Duration::from_millis(15);
/// The same of an agent while entries give pieces to everybody.
const RARE_PAUSE: Duration = Duration::from_millis(320);
/// Pause between two notices to all agents, some of which may have to step in.
const EVERYONE_PAUSE: Duration = Duration::from_millis(1000);
/// Pause between two notices once everything is here.
const COMPLETE_PAUSE: Duration = Duration::from_millis(500);
/// Longest wait for a piece from another agent, whose link takes about 35 ms
/// a piece and serves several.
const PEER_LIMIT: Duration = Duration::from_millis(2500);
/// Pause after failed questions for digests.
const DIGESTS_PAUSE: Duration = Duration::from_millis(150);
/// Round of questions in which every agent asks the origin.
const ORIGIN_ROUND: u32 = 6;

/// A fetch that has ended, and how long it took.
type Fetched = (Fetching, Result<Bytes, FetchFailure>, Duration);

/// Brings the pieces of one version into this process's memory.
pub struct Gatherer<P: Platform> {
    neighbours: Arc<Neighbours<P>>,
    goal: Goal,
    told: Option<(PieceSet, Moment)>,
    told_all: Moment,
    tally: Tally,
}

impl<P: Platform> Gatherer<P> {
    /// A gatherer of the pieces of `goal`.
    pub fn new(neighbours: Arc<Neighbours<P>>, goal: Goal) -> Self {
        Gatherer {
            neighbours,
            goal,
            told: None,
            told_all: Duration::ZERO,
            tally: Tally::default(),
        }
    }

    /// Fetches until every piece is here, then tells others as long as the task
    /// lives. `restore` puts what is there already into the depot.
    pub async fn run(mut self, restore: impl Future<Output = ()>) {
        let begun = now();
        let digests = self.digests().await;
        let agreed = now();
        let neighbours = self.neighbours.clone();
        let (model, version) = (self.goal.model.clone(), self.goal.version);
        neighbours.depot.trust(&model, version, digests);
        restore.await;
        let mut swarm = neighbours.swarm(begun, self.goal.pieces.count);
        let held = neighbours.depot.held(&model, version);
        let kept = (0..self.goal.pieces.count).filter(|n| held.contains(*n));
        kept.for_each(|n| swarm.hold(n));
        self.gather(&mut swarm).await;
        let fields = json!({
            "model": model,
            "version": version,
            "digests_s": agreed.saturating_sub(begun).as_secs_f64(),
            "took_s": now().saturating_sub(begun).as_secs_f64(),
            "fetches": self.tally.fields(),
        });
        decision("pieces", "pieces complete", Outcome::Change, fields);
        loop {
            swarm.set_holders(now(), neighbours.holders(&self.goal));
            let lacking = swarm.lacking();
            let held = swarm.held();
            neighbours.tell_pieces(&self.goal, held, &lacking).await;
            Timer::after(COMPLETE_PAUSE).await;
        }
    }

    /// Digests that two sources agree on. The first agents in rank ask the
    /// origin, the others ask them and turn to the origin only after a while.
    async fn digests(&self) -> Digests {
        let (near, goal) = (&self.neighbours, &self.goal);
        if let Some(known) = near.depot.trusted(&goal.model, goal.version) {
            return known;
        }
        let mut agreement = Agreement::default();
        for round in 0_u32.. {
            let direct = round >= ORIGIN_ROUND || near.is_early(goal);
            let agreed = near.ask_digests(goal, &mut agreement, direct).await;
            if let Some(agreed) = agreed {
                return agreed;
            }
            Timer::after(DIGESTS_PAUSE.mul_f64(0.7 + 0.6 * fastrand::f64())).await;
        }
        Digests::new()
    }

    async fn gather(&mut self, swarm: &mut Swarm) {
        let (done, results) = unbounded();
        let mut tasks: Vec<Task<()>> = Vec::new();
        let mut running = 0;
        loop {
            swarm.set_holders(now(), self.neighbours.holders(&self.goal));
            let fetches = self.fetches(swarm);
            let mut step = SwarmStep::Wait;
            while running < fetches {
                step = swarm.next(now());
                let SwarmStep::Fetch(fetching) = step else {
                    break;
                };
                running += 1;
                tasks.push(self.begin(fetching, done.clone()));
                step = SwarmStep::Wait;
            }
            let begun = now();
            self.tally.starved(begun, running < fetches);
            let held = swarm.held().len();
            let elapsed = begun.saturating_sub(swarm.begun());
            self.tally.held(elapsed, held, self.goal.pieces.count);
            self.tell(swarm).await;
            if step == SwarmStep::Complete {
                return;
            }
            let news = self.neighbours.news.listen();
            let arrived = async { Some(results.recv().await) }.or(async {
                // Notices of many agents are looked at together.
                Timer::after(NEWS_PAUSE).await;
                match running < fetches {
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

    fn fetches(&self, swarm: &Swarm) -> usize {
        match (self.neighbours.wide, swarm.is_served()) {
            (true, _) => WIDE_FETCHES,
            (false, true) => NEAR_FETCHES,
            (false, false) => FETCHES,
        }
    }

    async fn tell(&mut self, swarm: &Swarm) {
        let (moment, held) = (now(), swarm.held());
        let pause = match !self.neighbours.wide && swarm.is_served() {
            true => RARE_PAUSE,
            false => NOTICE_PAUSE,
        };
        let due = match &self.told {
            Some((set, at)) => set != held && moment >= *at + pause,
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
        self.neighbours.tell_pieces(&self.goal, held, &to).await;
        self.told = Some((held.clone(), moment));
        if everyone {
            self.told_all = moment;
        }
    }

    fn begin(&self, fetching: Fetching, done: Sender<Fetched>) -> Task<()> {
        let (near, goal) = (self.neighbours.clone(), self.goal.clone());
        let begun = now();
        spawn(async move {
            let result = match fetching.source {
                PieceSource::Origin => {
                    from_origin(near.platform.engines(), &goal, fetching.piece).await
                }
                PieceSource::Holder(addr) => {
                    from_peer(&near.pool, addr, &goal, fetching.piece).await
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
        let shelf = &self.neighbours.depot;
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
        decision("pieces", "wrong digest", Outcome::Failure, fields);
        swarm.fail(now(), fetching, FetchFailure::Failed);
        Err(FetchFailure::Failed)
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
        log::info!("pieces: piece {piece}: {e}");
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
        log::info!("pieces: piece {piece}: {e}");
        pool.close_idle(addr);
        FetchFailure::Failed
    })?;
    match answer.status {
        200 => Ok(answer.body),
        503 => Err(FetchFailure::Busy),
        status => {
            log::info!("pieces: piece {piece} of {addr}: status {status}");
            Err(FetchFailure::Failed)
        }
    }
}
