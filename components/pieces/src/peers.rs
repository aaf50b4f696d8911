use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use dispatch::{DigestRound, DigestSearch, Holder, OriginOrder, PieceSet, Swarm};
use domain::{
    EngineApi, EngineError, HeldModel, ModelId, Moment, NodeSettings, Platform, Upstream,
    WeightVersion, now,
};
use event_listener::Event;
use feed::{Feed, Member, Notice, NoticeSocket, PiecesNotice};
use fleet::{id_hash, mix};
use http::Method;
use transport::{Pool, fetch};

use crate::digest_quorum::{DigestQuorum, Digests};
use crate::{PieceCache, TargetVersion};

/// Age up to which a notice of pieces is taken into account.
const NOTICE_LIFETIME: Duration = Duration::from_secs(3);
/// Longest wait for digests from a peer.
const DIGESTS_TIMEOUT: Duration = Duration::from_millis(500);
/// Number of processes among which those are that have the digests of a version first.
const FIRST_PROCESSES: usize = 12;
/// Longest list of digests that is read, in bytes.
const MAX_DIGESTS_BYTES: usize = 1 << 20;

/// The processes that may hold pieces of the same weights: agents of the service
/// and entries.
pub struct Peers<P: Platform> {
    pub(crate) platform: P,
    pub(crate) node: NodeSettings,
    /// This process is an entry, which has a wide link.
    pub(crate) is_entry: bool,
    pub(crate) feed: Arc<Feed<P>>,
    pub(crate) cache: Arc<PieceCache>,
    pub(crate) pool: Pool,
    /// Notified when a peer has announced its pieces.
    pub(crate) announced: Event,
    notice_socket: Arc<NoticeSocket>,
    /// The last announcement of each peer for each version.
    announcements: Mutex<HashMap<(SocketAddr, WeightVersion), Announcement>>,
    /// For each model, which version the origin is asked for.
    origin_orders: Mutex<HashMap<ModelId, OriginOrder>>,
}

/// The pieces of a version that a peer holds, as it announced them.
struct Announcement {
    model: ModelId,
    pieces: PieceSet,
    received_at: Moment,
}

impl<P: Platform> Peers<P> {
    /// The peers of the process on `node`, which holds its pieces in `cache`; it is
    /// an entry if `is_entry`, otherwise an agent.
    pub fn new(
        platform: P,
        node: NodeSettings,
        is_entry: bool,
        feed: Arc<Feed<P>>,
        cache: Arc<PieceCache>,
        notice_socket: Arc<NoticeSocket>,
    ) -> Self {
        Peers {
            platform,
            node,
            is_entry,
            feed,
            cache,
            pool: Pool::default(),
            announced: Event::new(),
            notice_socket,
            announcements: Mutex::default(),
            origin_orders: Mutex::default(),
        }
    }

    /// A swarm for `count` pieces, none of which this process holds yet.
    pub(crate) fn swarm(&self, started_at: Moment, count: u32) -> Swarm {
        let own = self.node.ip.to_string().into();
        Swarm::new(
            started_at,
            own,
            self.node.region.clone(),
            self.is_entry,
            count,
        )
    }

    /// Records the pieces that a peer announces.
    pub fn record_notice(&self, notice: PiecesNotice) {
        let announcement = Announcement {
            model: notice.model,
            pieces: notice.words.into(),
            received_at: now(),
        };
        {
            let mut all = self.announcements();
            all.retain(|_, a| now().saturating_sub(a.received_at) < NOTICE_LIFETIME);
            all.insert((notice.holder, notice.version), announcement);
        }
        self.announced.notify(usize::MAX);
    }

    /// Announces to the peers at `to` which pieces this process holds.
    pub async fn announce_pieces(
        &self,
        target: &TargetVersion,
        pieces: &PieceSet,
        to: &[SocketAddr],
    ) {
        let notice = Notice::Pieces(PiecesNotice {
            holder: SocketAddr::new(self.node.ip, self.node.peer_port),
            model: target.model.clone(),
            version: target.version,
            words: pieces.words().to_vec(),
        });
        self.notice_socket.send(&notice, to).await;
    }

    /// Entries and agents of the service, without this process.
    pub fn holders(&self, target: &TargetVersion) -> Vec<Holder> {
        let entry = |m: &Member| Holder {
            vm: m.addr.ip().to_string().into(),
            addr: m.addr,
            region: m.region.clone(),
            is_entry: true,
            pieces: self.announced_pieces(m.addr, target),
        };
        let mut holders: Vec<Holder> = self.feed.members().iter().map(entry).collect();
        self.feed.view(|v| {
            let others = v
                .upstreams()
                .filter(|u| u.service == target.service && u.addr.ip() != self.node.ip);
            let holder = |u: &Upstream| Holder {
                vm: u.addr.ip().to_string().into(),
                addr: self.feed.peer_addr(u.addr.ip()),
                region: self.node.region_of(&u.failure_domain).into(),
                is_entry: false,
                pieces: self.agent_pieces(u, target),
            };
            holders.extend(others.map(holder));
        });
        holders
    }

    /// The pieces that an agent holds: all if its engine has loaded the version,
    /// otherwise those that the agent announced.
    fn agent_pieces(&self, upstream: &Upstream, target: &TargetVersion) -> Option<PieceSet> {
        let same = |h: &HeldModel| h.model == target.model && h.version == target.version;
        if upstream.models.iter().any(same) {
            return Some(PieceSet::full(target.pieces.count));
        }
        self.announced_pieces(self.feed.peer_addr(upstream.addr.ip()), target)
    }

    fn announced_pieces(&self, addr: SocketAddr, target: &TargetVersion) -> Option<PieceSet> {
        let announcements = self.announcements();
        let last = announcements.get(&(addr, target.version))?;
        let current = now().saturating_sub(last.received_at) < NOTICE_LIFETIME;
        (last.model == target.model && current).then(|| last.pieces.clone())
    }

    /// Digests of a version on which two sources agree; none if one round of
    /// requests gives no agreement.
    pub async fn agreed_digests(&self, target: &TargetVersion) -> Option<Digests> {
        let known = self.cache.trusted_digests(&target.model, target.version);
        if known.is_some() {
            return known;
        }
        let (rank, _) = self.rank(target);
        let round = DigestSearch::once(rank);
        self.request_digests(target, &mut DigestQuorum::default(), round)
            .await
    }

    /// Records how many pieces of a version processes hold, and returns whether the origin is
    /// reserved for an older one.
    pub(crate) fn reserve_origin(&self, target: &TargetVersion, known: usize) -> bool {
        let now = now();
        let due = target.declared_at + self.node.bounds.weight_rollout;
        let mut orders = self.origin_orders();
        let order = orders.entry(target.model.clone()).or_default();
        order.record_progress(now, target.version, known, target.pieces.count);
        order.is_reserved(now, target.version, due)
    }

    /// Records whether the origin of a model responded to a request.
    pub(crate) fn record_origin<T>(&self, model: &ModelId, result: &Result<T, EngineError>) {
        let outcome = match result {
            Ok(_) => "ok",
            Err(EngineError::Refused { .. }) => "refused",
            Err(EngineError::NotSent { .. } | EngineError::NoResponse { .. }) => "no response",
        };
        metrics::counter!("turmerichold_origin_requests_total", "outcome" => outcome).increment(1);
        let responded = match result {
            Ok(_) | Err(EngineError::Refused { .. }) => true,
            Err(EngineError::NotSent { .. } | EngineError::NoResponse { .. }) => false,
        };
        let mut orders = self.origin_orders();
        let order = orders.entry(model.clone()).or_default();
        order.record_response(now(), responded);
    }

    /// Whether the origin of a model has begun to respond since `since`.
    pub(crate) fn has_origin_returned(&self, model: &ModelId, since: Moment) -> bool {
        let orders = self.origin_orders();
        let responds_since = orders.get(model).and_then(OriginOrder::responds_since);
        responds_since.is_some_and(|at| at >= since)
    }

    fn origin_orders(&self) -> MutexGuard<'_, HashMap<ModelId, OriginOrder>> {
        self.origin_orders
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Rank of this process among those that get the digests of a version, and their number.
    pub(crate) fn rank(&self, target: &TargetVersion) -> (usize, usize) {
        // Entries come first, because agents get the pieces from them.
        let rank = |vm: &str, is_entry: bool| (!is_entry, mix(id_hash(vm), target.version));
        let own = rank(&self.node.ip.to_string(), self.is_entry);
        let holders = self.holders(target);
        let before = holders.iter().filter(|h| rank(&h.vm, h.is_entry) < own);
        (before.count(), holders.len() + 1)
    }

    /// Number of peers that have announced pieces of a version, if only none. They have its
    /// digests.
    pub(crate) fn count_announced(&self, target: &TargetVersion) -> usize {
        let announcements = self.announcements();
        let known = announcements.iter().filter(|((_, version), a)| {
            let is_current = now().saturating_sub(a.received_at) < NOTICE_LIFETIME;
            *version == target.version && a.model == target.model && is_current
        });
        known.count()
    }

    /// Requests the digests of a version from the sources of a round; returns them once
    /// `quorum` agrees.
    pub(crate) async fn request_digests(
        &self,
        target: &TargetVersion,
        quorum: &mut DigestQuorum,
        round: DigestRound,
    ) -> Option<Digests> {
        let count = usize::try_from(target.pieces.count).unwrap_or(usize::MAX);
        let reads = if round.from_origin {
            round.origin_reads
        } else {
            0
        };
        for _ in 0..reads {
            let Some(list) = self.origin_digests(target).await else {
                break;
            };
            if let Some(agreed) = quorum.vote_of_origin(list, count) {
                return Some(agreed);
            }
        }
        let mut peers = self.holders(target);
        fastrand::shuffle(&mut peers);
        match peers.iter().any(|h| h.pieces.is_some()) {
            // The nearest of those that have the digests.
            true => {
                peers.retain(|h| h.pieces.is_some());
                peers.sort_by_key(|h| h.region != self.node.region);
            }
            false => {
                let rank = |h: &Holder| (!h.is_entry, mix(id_hash(&h.vm), target.version));
                peers.sort_by_cached_key(rank);
                peers.truncate(FIRST_PROCESSES);
                fastrand::shuffle(&mut peers);
            }
        }
        let path = format!("/piece/{}/{}", target.model, target.version);
        for peer in peers.iter().take(round.peers) {
            let list = fetch_digests(&self.pool, peer.addr, &path).await;
            let agreed = list.and_then(|l| quorum.vote_of_peer(peer.addr, l, count));
            if agreed.is_some() {
                return agreed;
            }
        }
        None
    }

    /// One list of digests that the origin sends, which is kept for other processes.
    async fn origin_digests(&self, target: &TargetVersion) -> Option<Digests> {
        let (model, version) = (&target.model, target.version);
        let origin = target.origin?;
        let engines = self.platform.engines();
        let read = engines.digests(origin, model, version).await;
        self.record_origin(model, &read);
        match read {
            Ok(list) => {
                self.cache
                    .store_origin_digests(model, version, list.clone());
                Some(list)
            }
            Err(e) => {
                log::info!("pieces: no digests from the origin {origin}: {e}");
                None
            }
        }
    }

    fn announcements(&self) -> MutexGuard<'_, HashMap<(SocketAddr, WeightVersion), Announcement>> {
        self.announcements
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

async fn fetch_digests(pool: &Pool, addr: SocketAddr, path: &str) -> Option<Digests> {
    let get = Method::GET;
    let (timeout, max) = (DIGESTS_TIMEOUT, MAX_DIGESTS_BYTES);
    let response = fetch(pool, addr, get, path, Bytes::new(), timeout, max);
    let response = response.await.ok().filter(|r| r.status == 200)?;
    let (list, rest) = response.body.as_chunks::<32>();
    rest.is_empty().then(|| list.to_vec())
}
