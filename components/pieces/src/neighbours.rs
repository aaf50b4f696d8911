use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use dispatch::{Holder, PieceSet, Swarm};
use domain::{
    EngineApi, HeldModel, ModelId, Moment, NodeSettings, Platform, Upstream, WeightVersion, now,
};
use event_listener::Event;
use feed::{Feed, Member, Notice, NoticeSocket, PiecesNotice};
use fleet::{id_hash, mix};
use http::Method;
use transport::{Pool, fetch};

use crate::agreement::{Agreement, Digests};
use crate::{Depot, Goal};

/// Age up to which another process's word about its pieces counts.
const HEARD_MEMORY: Duration = Duration::from_secs(3);
/// Longest wait for digests from another process.
const DIGESTS_LIMIT: Duration = Duration::from_millis(500);
/// Processes asked for digests in one round.
const DIGESTS_PEERS: usize = 4;
/// Processes that ask the origin for digests at once.
const EARLY: usize = 6;
/// Longest list of digests that is read, in bytes.
const DIGESTS_BYTES: usize = 1 << 20;

/// The processes that may hold pieces of the same weights: agents of the service
/// and entries.
pub struct Neighbours<P: Platform> {
    pub(crate) platform: P,
    pub(crate) node: NodeSettings,
    /// This process is an entry, whose link is wide.
    pub(crate) wide: bool,
    pub(crate) feed: Arc<Feed<P>>,
    pub(crate) depot: Arc<Depot>,
    pub(crate) pool: Pool,
    /// Notified when another process has told what it holds.
    pub(crate) news: Event,
    post: Arc<NoticeSocket>,
    heard: Mutex<HashMap<(SocketAddr, WeightVersion), Heard>>,
}

/// What another process holds of a version, as it last said.
struct Heard {
    model: ModelId,
    pieces: PieceSet,
    at: Moment,
}

impl<P: Platform> Neighbours<P> {
    /// The neighbours of the process on `node`, which keeps its pieces in `depot`;
    /// `wide` tells an entry from an agent.
    pub fn new(
        platform: P,
        node: NodeSettings,
        wide: bool,
        feed: Arc<Feed<P>>,
        depot: Arc<Depot>,
        post: Arc<NoticeSocket>,
    ) -> Self {
        Neighbours {
            platform,
            node,
            wide,
            feed,
            depot,
            pool: Pool::default(),
            news: Event::new(),
            post,
            heard: Mutex::default(),
        }
    }

    /// A swarm for `count` pieces in which nothing is here yet.
    pub(crate) fn swarm(&self, begun: Moment, count: u32) -> Swarm {
        let own = self.node.ip.to_string().into();
        Swarm::new(begun, own, self.node.region.clone(), self.wide, count)
    }

    /// Takes over what another process holds.
    pub fn hear(&self, notice: PiecesNotice) {
        let heard = Heard {
            model: notice.model,
            pieces: notice.words.into(),
            at: now(),
        };
        {
            let mut all = self.heard();
            all.retain(|_, h| now().saturating_sub(h.at) < HEARD_MEMORY);
            all.insert((notice.holder, notice.version), heard);
        }
        self.news.notify(usize::MAX);
    }

    /// Tells other processes which pieces are here.
    pub async fn tell_pieces(&self, goal: &Goal, pieces: &PieceSet, to: &[SocketAddr]) {
        let notice = Notice::Pieces(PiecesNotice {
            holder: SocketAddr::new(self.node.ip, self.node.peer_port),
            model: goal.model.clone(),
            version: goal.version,
            words: pieces.words().to_vec(),
        });
        self.post.send(&notice, to).await;
    }

    /// Agents of the service and entries, without this process.
    pub fn holders(&self, goal: &Goal) -> Vec<Holder> {
        let entry = |m: &Member| Holder {
            vm: m.addr.ip().to_string().into(),
            addr: m.addr,
            region: m.region.clone(),
            wide: true,
            pieces: self.heard_of(m.addr, goal),
        };
        let mut holders: Vec<Holder> = self.feed.members().iter().map(entry).collect();
        self.feed.view(|v| {
            let others = v
                .upstreams()
                .filter(|u| u.service == goal.service && u.addr.ip() != self.node.ip);
            let holder = |u: &Upstream| Holder {
                vm: u.addr.ip().to_string().into(),
                addr: self.feed.peer_addr(u.addr.ip()),
                region: self.node.region_of(&u.failure_domain).into(),
                wide: false,
                pieces: self.pieces_of(u, goal),
            };
            holders.extend(others.map(holder));
        });
        holders
    }

    /// What an agent holds of a version, by its own word or its engine's.
    fn pieces_of(&self, upstream: &Upstream, goal: &Goal) -> Option<PieceSet> {
        let same = |h: &HeldModel| h.model == goal.model && h.version == goal.version;
        if upstream.models.iter().any(same) {
            return Some(PieceSet::full(goal.pieces.count));
        }
        self.heard_of(self.feed.peer_addr(upstream.addr.ip()), goal)
    }

    fn heard_of(&self, addr: SocketAddr, goal: &Goal) -> Option<PieceSet> {
        let heard = self.heard();
        let heard = heard.get(&(addr, goal.version))?;
        let recent = now().saturating_sub(heard.at) < HEARD_MEMORY;
        (heard.model == goal.model && recent).then(|| heard.pieces.clone())
    }

    /// Digests of a version that two sources agree on; none when one round of
    /// questions has not settled it.
    pub async fn agreed_digests(&self, goal: &Goal) -> Option<Digests> {
        let known = self.depot.trusted(&goal.model, goal.version);
        if known.is_some() {
            return known;
        }
        let direct = self.is_early(goal);
        self.ask_digests(goal, &mut Agreement::default(), direct)
            .await
    }

    /// Whether this process is one of the first to ask the origin about a version.
    pub(crate) fn is_early(&self, goal: &Goal) -> bool {
        // Entries bring the pieces, so they go first.
        let rank = |vm: &str, wide: bool| (!wide, mix(id_hash(vm), goal.version));
        let own = rank(&self.node.ip.to_string(), self.wide);
        let holders = self.holders(goal);
        let before = holders.iter().filter(|h| rank(&h.vm, h.wide) < own);
        before.count() < EARLY
    }

    /// One round of questions, to the origin as well if `direct`.
    pub(crate) async fn ask_digests(
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
                    self.depot
                        .note_read(&goal.model, goal.version, list.clone());
                    if let Some(agreed) = agreement.vote(list, count) {
                        return Some(agreed);
                    }
                }
                Err(e) => log::info!("pieces: digests: {e}"),
            }
        }
        let mut peers = self.holders(goal);
        // Those who ask the origin know first.
        peers.sort_by_cached_key(|h| (!h.wide, mix(id_hash(&h.vm), goal.version)));
        peers.truncate(EARLY * 2);
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

    fn heard(&self) -> MutexGuard<'_, HashMap<(SocketAddr, WeightVersion), Heard>> {
        self.heard.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

async fn digests_of(pool: &Pool, addr: SocketAddr, path: &str) -> Option<Digests> {
    let get = Method::GET;
    let (limit, longest) = (DIGESTS_LIMIT, DIGESTS_BYTES);
    let answer = fetch(pool, addr, get, path, Bytes::new(), limit, longest);
    let answer = answer.await.ok().filter(|a| a.status == 200)?;
    let (list, rest) = answer.body.as_chunks::<32>();
    rest.is_empty().then(|| list.to_vec())
}
