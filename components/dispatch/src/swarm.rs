use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use domain::{Moment, RegionId, VmId};
use fleet::{id_hash, mix};

use crate::PieceSet;

/// Pause before a holder or an origin that failed is asked again.
const FAILED_PAUSE: Duration = Duration::from_millis(600);
/// Time for which every listed agent counts in the order of homes; after it
/// only those that have been heard of do.
const HEARING_TIME: Duration = Duration::from_millis(900);
/// Time after which the next agent in rank takes over a piece that nobody near
/// has: a copy takes less than two seconds to leave the origin.
const TAKEOVER: Duration = Duration::from_millis(1500);
/// Time after which homes outside of the first region turn to the origin.
const FAR_PATIENCE: Duration = Duration::from_millis(2600);
/// Fetches from the origin that one agent has in flight: its link is narrow
/// and its connections are few.
const ORIGIN_FETCHES: usize = 2;

/// Agents of a region that draw pieces from outside of it. The origin accepts a
/// few dozen connections for all.
const BRINGERS: usize = 5;
/// Fetches from other regions that one agent has in flight: the lines between
/// regions carry the live streams as well.
const FAR_FETCHES: usize = 2;

/// Stands for all pieces in ranks.
const ALL_PIECES: u32 = u32::MAX;

/// An agent that may hold pieces of the same version.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Holder {
    /// Its VM, or another name that is the same for all agents.
    pub vm: VmId,
    /// Where it answers other agents.
    pub addr: SocketAddr,
    /// Its region.
    pub region: RegionId,
    /// Pieces that it holds; `None` when it has not been heard of.
    pub pieces: Option<PieceSet>,
}

/// Where a piece is fetched.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PieceSource {
    /// The origin of weights.
    Origin,
    /// Another agent.
    Holder(SocketAddr),
}

/// A fetch to be begun.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Fetching {
    /// Number of the piece.
    pub piece: u32,
    /// Where it is fetched.
    pub source: PieceSource,
}

/// What to do next.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SwarmStep {
    /// Begin a fetch.
    Fetch(Fetching),
    /// Nothing can be begun until something is heard.
    Wait,
    /// Every piece is there.
    Complete,
}

/// Decides which piece an agent fetches from whom.
///
/// Answers the morning on which a new version has to be everywhere within
/// seconds over links that carry a few copies only. Each piece has a home in
/// each region by rendezvous rank. The home in the piece's first region draws
/// it from the origin, the homes of other regions from an agent that has it,
/// and everybody else from any near agent that has it: one copy from the
/// origin, one over each line between regions.
#[derive(Debug)]
pub struct Swarm {
    own: VmId,
    region: RegionId,
    count: u32,
    held: PieceSet,
    fetching: HashMap<u32, PieceSource>,
    holders: Vec<Holder>,
    order: Vec<u32>,
    avoided: HashMap<SocketAddr, Moment>,
    origin_until: Moment,
    begun: Moment,
    hashes: HashMap<VmId, u64>,
}

impl Swarm {
    /// A swarm for `count` pieces as seen by the agent on VM `own`.
    pub fn new(now: Moment, own: VmId, region: RegionId, count: u32) -> Self {
        let mut order: Vec<u32> = (0..count).collect();
        let seed = id_hash(&own);
        // Agents begin at different pieces, so that near ones have something to
        // give to each other early.
        order.sort_by_key(|p| mix(u64::from(*p), seed));
        Swarm {
            own,
            region,
            count,
            held: PieceSet::default(),
            fetching: HashMap::new(),
            holders: Vec::new(),
            order,
            avoided: HashMap::new(),
            origin_until: Duration::ZERO,
            begun: now,
            hashes: HashMap::new(),
        }
    }

    /// Takes over what is known of other agents.
    pub fn set_holders(&mut self, holders: Vec<Holder>) {
        self.holders = holders;
        self.holders.retain(|h| h.vm != self.own);
        let regions = self.holders.iter().map(|h| &h.region);
        let names = self.holders.iter().map(|h| &h.vm).chain(regions);
        for name in names.chain([&self.own, &self.region]) {
            if !self.hashes.contains_key(name) {
                self.hashes.insert(name.clone(), id_hash(name));
            }
        }
    }

    /// Pieces that are held.
    pub fn held(&self) -> &PieceSet {
        &self.held
    }

    /// Whether every piece is held.
    pub fn is_complete(&self) -> bool {
        self.held.len() >= self.count
    }

    /// Records a piece that was verified and staged.
    pub fn hold(&mut self, piece: u32) {
        self.fetching.remove(&piece);
        self.held.insert(piece);
    }

    /// Records that a held piece turned out to be missing or wrong.
    pub fn lose(&mut self, piece: u32) {
        self.held.remove(piece);
    }

    /// Records that a fetch failed.
    pub fn fail(&mut self, now: Moment, fetching: &Fetching) {
        self.fetching.remove(&fetching.piece);
        match fetching.source {
            PieceSource::Origin => self.origin_until = now + FAILED_PAUSE,
            PieceSource::Holder(addr) => {
                self.avoided.insert(addr, now + FAILED_PAUSE);
            }
        }
    }

    /// What to do next.
    pub fn next(&mut self, now: Moment) -> SwarmStep {
        if self.is_complete() {
            return SwarmStep::Complete;
        }
        // What only this agent brings into the region goes first.
        for near in [false, true] {
            for i in 0..self.order.len() {
                let piece = self.order[i];
                if self.held.contains(piece) || self.fetching.contains_key(&piece) {
                    continue;
                }
                let source = match near {
                    true => self.near_source(now, piece),
                    false => self.far_source(now, piece),
                };
                if let Some(source) = source {
                    self.fetching.insert(piece, source.clone());
                    return SwarmStep::Fetch(Fetching { piece, source });
                }
            }
        }
        SwarmStep::Wait
    }

    /// A near agent that has the piece; the one with the fewest fetches of ours.
    fn near_source(&self, now: Moment, piece: u32) -> Option<PieceSource> {
        let near = |h: &&Holder| h.region == self.region;
        self.holder_of(now, piece, near)
    }

    /// A source outside of the region, if the piece is this agent's to bring.
    fn far_source(&self, now: Moment, piece: u32) -> Option<PieceSource> {
        let known = |h: &Holder| h.region == self.region && has(h, piece);
        if self.holders.iter().any(known) {
            return None;
        }
        let waited = now.saturating_sub(self.begun);
        let rank = self.rank(waited, piece);
        if waited < TAKEOVER * rank {
            return None;
        }
        let far = |h: &&Holder| h.region != self.region;
        if self.far_fetches() >= FAR_FETCHES {
            return None;
        }
        if let Some(source) = self.holder_of(now, piece, far) {
            return Some(source);
        }
        let first = *self.first_region(piece) == self.region;
        let origins = self
            .fetching
            .values()
            .filter(|s| **s == PieceSource::Origin);
        let free = origins.count() < ORIGIN_FETCHES && self.origin_until <= now;
        (free && (first || waited >= FAR_PATIENCE)).then_some(PieceSource::Origin)
    }

    fn far_fetches(&self) -> usize {
        let far = |s: &&PieceSource| match s {
            PieceSource::Origin => false,
            PieceSource::Holder(addr) => {
                let mut holders = self.holders.iter();
                holders.any(|h| h.addr == *addr && h.region != self.region)
            }
        };
        self.fetching.values().filter(far).count()
    }

    fn holder_of(
        &self,
        now: Moment,
        piece: u32,
        among: impl Fn(&&Holder) -> bool,
    ) -> Option<PieceSource> {
        let usable = |h: &&Holder| self.avoided.get(&h.addr).is_none_or(|t| *t <= now);
        self.holders
            .iter()
            .filter(|h| has(h, piece) && among(h) && usable(h))
            .min_by_key(|h| {
                let source = PieceSource::Holder(h.addr);
                let busy = self.fetching.values().filter(|s| **s == source).count();
                (busy, fastrand::u32(..))
            })
            .map(|h| PieceSource::Holder(h.addr))
    }

    /// Agents of the region that bring the piece before this one: first those
    /// that bring pieces at all, by their rank for this one, then the others.
    fn rank(&self, waited: Duration, piece: u32) -> u32 {
        let alive =
            |h: &&Holder| h.region == self.region && (waited < HEARING_TIME || h.pieces.is_some());
        let neighbours = self.holders.iter().filter(alive).map(|h| &h.vm);
        let mut order: Vec<&VmId> = neighbours.chain([&self.own]).collect();
        order.sort_by_key(|vm| self.weight(vm, ALL_PIECES));
        let bringers = order.len().min(BRINGERS);
        order[..bringers].sort_by_key(|vm| self.weight(vm, piece));
        let place = order.iter().position(|vm| **vm == self.own);
        place.and_then(|p| u32::try_from(p).ok()).unwrap_or(0)
    }

    /// Rendezvous weight of a name for a piece; the lowest is first in rank.
    fn weight(&self, name: &str, piece: u32) -> u64 {
        let hash = self.hashes.get(name).copied();
        mix(hash.unwrap_or_else(|| id_hash(name)), u64::from(piece))
    }

    /// Region whose home draws a piece from the origin.
    fn first_region(&self, piece: u32) -> &RegionId {
        self.holders
            .iter()
            .map(|h| &h.region)
            .chain([&self.region])
            .min_by_key(|r| (self.weight(r, piece), r.as_str()))
            .unwrap_or(&self.region)
    }
}

fn has(holder: &Holder, piece: u32) -> bool {
    holder.pieces.as_ref().is_some_and(|p| p.contains(piece))
}
