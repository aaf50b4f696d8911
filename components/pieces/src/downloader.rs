use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_channel::{Sender, unbounded};
use bytes::Bytes;
use dispatch::{DigestSearch, FetchFailure, PieceFetch, PieceSet, PieceSource, Swarm, SwarmStep};
use domain::{EngineApi, Moment, Platform, now};
use futures_lite::FutureExt;
use http::Method;
use serde_json::json;
use smol::{Task, Timer};
use telemetry::{Outcome, decision};
use transport::{Pool, fetch, spawn, with_timeout};

use crate::digest_quorum::{DigestQuorum, Digests};
use crate::fetch_stats::FetchStats;
use crate::{Peers, TargetVersion};

/// Concurrent fetches of an agent: the next ones are requested while one arrives.
/// More would queue on the link ahead of the requests for the engine.
const MAX_FETCHES: usize = 3;
/// The same while an entry of its region serves pieces, which it does without
/// delay.
const MAX_SERVED_FETCHES: usize = 2;
/// Concurrent fetches of an entry, which has a wide link.
const MAX_ENTRY_FETCHES: usize = 8;
/// Shortest interval between notices to the peers that wait for pieces; long
/// enough for several pieces, because notices use the same narrow links.
const NOTICE_INTERVAL: Duration = Duration::from_millis(80);
/// The same for an agent while an entry of its region serves pieces.
const SERVED_NOTICE_INTERVAL: Duration = Duration::from_millis(320);
/// Interval between notices to all peers, some of which may have to take over the
/// fetching of pieces into their region.
const BROADCAST_INTERVAL: Duration = Duration::from_millis(1000);
/// Interval between notices once every piece is held.
const COMPLETE_NOTICE_INTERVAL: Duration = Duration::from_millis(500);
/// Longest wait for a fetch to end or a peer to announce pieces.
const IDLE_TIMEOUT: Duration = Duration::from_millis(60);
/// Delay before received notices are handled, so that those of many peers are
/// handled together.
const NOTICE_DELAY: Duration = Duration::from_millis(15);
/// Longest wait for a piece from a peer, whose link takes about 35 ms for a piece
/// and serves several peers.
const PEER_TIMEOUT: Duration = Duration::from_millis(2500);
/// Interval at which a process that searches for digests checks whether peers have announced
/// that they have them.
const DIGESTS_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// A fetch that has ended, its result and its duration.
type Fetched = (PieceFetch, Result<Bytes, FetchFailure>, Duration);

/// Downloads the pieces of one version into this process's cache.
pub struct Downloader<P: Platform> {
    peers: Arc<Peers<P>>,
    target: TargetVersion,
    /// Pieces in the last notice, and when it was sent.
    last_notice: Option<(PieceSet, Moment)>,
    last_broadcast: Moment,
    stats: FetchStats,
    /// An older version is fetched from the origin first.
    is_reserved: bool,
}

impl<P: Platform> Downloader<P> {
    /// A downloader for the pieces of `target`.
    pub fn new(peers: Arc<Peers<P>>, target: TargetVersion) -> Self {
        Downloader {
            peers,
            target,
            last_notice: None,
            last_broadcast: Duration::ZERO,
            stats: FetchStats::default(),
            is_reserved: false,
        }
    }

    /// Fetches until every piece is held, then announces the pieces to peers until
    /// the task is dropped. `restore` puts pieces that are on this VM already into
    /// the cache; it runs once the digests are trusted.
    pub async fn run(mut self, restore: impl Future<Output = ()>) {
        let started_at = now();
        let digests = self.digests().await;
        let agreed_at = now();
        let peers = self.peers.clone();
        let (model, version) = (self.target.model.clone(), self.target.version);
        peers.cache.trust_digests(&model, version, digests);
        restore.await;
        // Nobody fetched pieces before. Had the search taken seconds, counted from its start
        // every process would take over from the importers at once.
        let mut swarm = peers.swarm(agreed_at, self.target.pieces.count);
        let held = peers.cache.held(&model, version);
        let restored = (0..self.target.pieces.count).filter(|n| held.contains(*n));
        restored.for_each(|n| swarm.add_piece(n));
        self.fetch_all(&mut swarm).await;
        let fields = json!({
            "model": model,
            "version": version,
            "digests_s": agreed_at.saturating_sub(started_at).as_secs_f64(),
            "took_s": now().saturating_sub(started_at).as_secs_f64(),
            "fetches": self.stats.fields(),
        });
        decision("pieces", "pieces complete", Outcome::Change, fields);
        loop {
            swarm.set_holders(now(), peers.holders(&self.target));
            let incomplete = swarm.incomplete_peers();
            let held = swarm.held();
            peers.announce_pieces(&self.target, held, &incomplete).await;
            Timer::after(COMPLETE_NOTICE_INTERVAL).await;
        }
    }

    /// Digests on which two sources agree, from peers and from the origin.
    async fn digests(&self) -> Digests {
        let (peers, target) = (&self.peers, &self.target);
        if let Some(known) = peers.cache.trusted_digests(&target.model, target.version) {
            return known;
        }
        let mut quorum = DigestQuorum::default();
        let mut search = DigestSearch::default();
        loop {
            // Later versions wait for the pieces of this one, too.
            peers.reserve_origin(target, 0);
            let (rank, count) = peers.rank(target);
            let announced = peers.count_announced(target);
            let round = search.next(rank, count, announced);
            let agreed = peers.request_digests(target, &mut quorum, round).await;
            if let Some(agreed) = agreed {
                return agreed;
            }
            let asked_at = now();
            let end = asked_at + round.pause.mul_f64(0.7 + 0.6 * fastrand::f64());
            while now() < end {
                Timer::after(DIGESTS_CHECK_INTERVAL.min(end.saturating_sub(now()))).await;
                peers.reserve_origin(target, 0);
                // A piece of another version may have arrived.
                let returned =
                    round.from_origin && peers.has_origin_returned(&target.model, asked_at);
                if returned || announced == 0 && peers.count_announced(target) > 0 {
                    break;
                }
            }
        }
    }

    /// Fetches until every piece is held.
    async fn fetch_all(&mut self, swarm: &mut Swarm) {
        let (done, results) = unbounded();
        let mut tasks: Vec<Task<()>> = Vec::new();
        let mut running = 0;
        loop {
            swarm.set_holders(now(), self.peers.holders(&self.target));
            let known = swarm.known_pieces();
            let reserved = self.peers.reserve_origin(&self.target, known);
            self.record_reserved(reserved, known);
            swarm.set_origin_reserved(now(), reserved);
            let max = self.max_fetches(swarm);
            let mut step = SwarmStep::Wait;
            while running < max {
                step = swarm.next(now());
                let SwarmStep::Fetch(fetching) = step else {
                    break;
                };
                running += 1;
                tasks.push(self.start_fetch(fetching, done.clone()));
                step = SwarmStep::Wait;
            }
            let moment = now();
            self.stats.set_starved(moment, running < max);
            let held = swarm.held().len();
            let elapsed = moment.saturating_sub(swarm.started_at());
            self.stats
                .record_progress(elapsed, held, self.target.pieces.count);
            self.announce(swarm).await;
            if step == SwarmStep::Complete {
                return;
            }
            let announced = self.peers.announced.listen();
            let ended = async { Some(results.recv().await) }.or(async {
                Timer::after(NOTICE_DELAY).await;
                match running < max {
                    true => drop(with_timeout(IDLE_TIMEOUT, announced).await),
                    false => drop(Timer::after(IDLE_TIMEOUT).await),
                }
                None
            });
            if let Some(Ok((fetching, result, took))) = ended.await {
                running -= 1;
                tasks.retain(|t| !t.is_finished());
                let outcome = self.finish_fetch(swarm, &fetching, result);
                self.stats.count(&fetching.source, took, outcome);
            }
        }
    }

    /// Logs that the origin is now, or no longer, reserved for an older version while processes
    /// hold `known` pieces of this one.
    fn record_reserved(&mut self, reserved: bool, known: usize) {
        if self.is_reserved == reserved {
            return;
        }
        self.is_reserved = reserved;
        let what = match reserved {
            true => "origin reserved",
            false => "origin free",
        };
        let fields = json!({
            "model": self.target.model,
            "version": self.target.version,
            "known": known,
        });
        decision("pieces", what, Outcome::Change, fields);
        if reserved {
            metrics::counter!("turmerichold_origin_reserved_total").increment(1);
        }
    }

    fn max_fetches(&self, swarm: &Swarm) -> usize {
        match (self.peers.is_entry, swarm.has_entry_nearby()) {
            (true, _) => MAX_ENTRY_FETCHES,
            (false, true) => MAX_SERVED_FETCHES,
            (false, false) => MAX_FETCHES,
        }
    }

    /// Sends a notice of the held pieces when one is due.
    async fn announce(&mut self, swarm: &Swarm) {
        let (moment, held) = (now(), swarm.held());
        let interval = match !self.peers.is_entry && swarm.has_entry_nearby() {
            true => SERVED_NOTICE_INTERVAL,
            false => NOTICE_INTERVAL,
        };
        let due = match &self.last_notice {
            Some((set, at)) => set != held && moment >= *at + interval,
            None => true,
        };
        let broadcast = moment >= self.last_broadcast + BROADCAST_INTERVAL;
        if !due && !broadcast {
            return;
        }
        let to = match broadcast {
            true => swarm.all_peers(),
            false => swarm.notice_targets(),
        };
        self.peers.announce_pieces(&self.target, held, &to).await;
        self.last_notice = Some((held.clone(), moment));
        if broadcast {
            self.last_broadcast = moment;
        }
    }

    /// Starts a fetch; its result goes to `done`.
    fn start_fetch(&self, fetching: PieceFetch, done: Sender<Fetched>) -> Task<()> {
        let (peers, target) = (self.peers.clone(), self.target.clone());
        let started = now();
        spawn(async move {
            let result = match fetching.source {
                PieceSource::Origin => fetch_from_origin(&peers, &target, fetching.piece).await,
                PieceSource::Holder(addr) => {
                    fetch_from_peer(&peers.pool, addr, &target, fetching.piece).await
                }
            };
            let took = now().saturating_sub(started);
            // The receiver is dropped when the version is no longer wanted.
            let _ = done.send((fetching, result, took)).await;
        })
    }

    /// Verifies and caches a fetched piece, or records why the fetch failed.
    fn finish_fetch(
        &self,
        swarm: &mut Swarm,
        fetching: &PieceFetch,
        result: Result<Bytes, FetchFailure>,
    ) -> Result<(), FetchFailure> {
        let target = &self.target;
        let bytes =
            result.inspect_err(|failure| swarm.record_failure(now(), fetching, *failure))?;
        let cache = &self.peers.cache;
        if cache.insert_verified(&target.model, target.version, fetching.piece, bytes) {
            let source = match fetching.source {
                PieceSource::Origin => "origin",
                PieceSource::Holder(_) => "agent",
            };
            metrics::counter!("turmerichold_pieces_total", "source" => source).increment(1);
            swarm.add_piece(fetching.piece);
            return Ok(());
        }
        let fields = json!({
            "version": target.version,
            "piece": fetching.piece,
            "source": format!("{:?}", fetching.source),
        });
        decision("pieces", "wrong digest", Outcome::Failure, fields);
        swarm.record_failure(now(), fetching, FetchFailure::Failed);
        Err(FetchFailure::Failed)
    }
}

async fn fetch_from_origin<P: Platform>(
    peers: &Peers<P>,
    target: &TargetVersion,
    piece: u32,
) -> Result<Bytes, FetchFailure> {
    let origin = target.origin.ok_or(FetchFailure::Failed)?;
    let read = peers
        .platform
        .engines()
        .origin_piece(origin, &target.model, target.version, piece)
        .await;
    peers.record_origin(&target.model, &read);
    read.map_err(|e| {
        log::info!("pieces: piece {piece} not fetched from the origin {origin}: {e}");
        FetchFailure::Failed
    })
}

async fn fetch_from_peer(
    pool: &Pool,
    addr: SocketAddr,
    target: &TargetVersion,
    piece: u32,
) -> Result<Bytes, FetchFailure> {
    let path = format!("/piece/{}/{}/{piece}", target.model, target.version);
    let max = target.pieces.bytes.max(1) * 2;
    let get = Method::GET;
    let response = fetch(pool, addr, get, &path, Bytes::new(), PEER_TIMEOUT, max).await;
    let response = response.map_err(|e| {
        log::info!("pieces: piece {piece} not fetched from {addr}: {e}");
        pool.close_idle(addr);
        FetchFailure::Failed
    })?;
    match response.status {
        200 => Ok(response.body),
        503 => Err(FetchFailure::Busy),
        status => {
            log::info!("pieces: piece {piece} not fetched from {addr}: status {status}");
            Err(FetchFailure::Failed)
        }
    }
}
