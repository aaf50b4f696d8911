use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use domain::{Moment, RegionId, VmId};
use fleet::{id_hash, mix};

use crate::PieceSet;

/// Pause before a holder or an origin that failed is asked again.
const FAILED_PAUSE: Duration = Duration::from_millis(600);
/// Pause before a busy holder is asked again: about one piece on its link.
const BUSY_PAUSE: Duration = Duration::from_millis(40);
/// Time for which every listed agent counts in the order of homes; after it
/// only those that have been heard of do.
const HEARING_TIME: Duration = Duration::from_millis(900);
/// Time after which the next agent in rank takes over a piece that nobody near
/// has: a copy takes less than two seconds to leave the origin.
const TAKEOVER: Duration = Duration::from_millis(1500);
/// Time without a new piece anywhere after which the order of bringers begins
/// anew: longer than any pause while the origin answers.
const STANDSTILL: Duration = Duration::from_millis(1200);
/// Time after which homes outside of the first region turn to the origin.
const FAR_PATIENCE: Duration = Duration::from_millis(2600);
/// Fetches from the origin that a region has in flight: as many as any other,
/// whether one entry or five agents bring them, and together within the few
/// dozen connections of an origin.
const ORIGIN_FETCHES: usize = 8;

/// Processes of a region that draw pieces from outside of it. The origin accepts
/// a few dozen connections for all.
const BRINGERS: usize = 5;
/// Fetches that a wide holder serves in the time of one that an agent serves.
const WIDE_FETCHES: usize = 4;
/// Steps of [`TAKEOVER`] that agents leave to the entries of their region.
const WIDE_STEPS: usize = 2;
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
    /// Its link is wide, as entries' links are.
    pub wide: bool,
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
pub struct PieceFetch {
    /// Number of the piece.
    pub piece: u32,
    /// Where it is fetched.
    pub source: PieceSource,
}

/// Why a fetch failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FetchFailure {
    /// The holder has others to serve first.
    Busy,
    /// No usable answer, or bytes with another digest.
    Failed,
}

/// What to do next.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SwarmStep {
    /// Begin a fetch.
    Fetch(PieceFetch),
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
    wide: bool,
    count: u32,
    held: PieceSet,
    fetching: HashMap<u32, PieceSource>,
    holders: Vec<Holder>,
    order: Vec<u32>,
    avoided: HashMap<SocketAddr, Moment>,
    origin_until: Moment,
    started_at: Moment,
    hashes: HashMap<VmId, u64>,
    /// Pieces that any agent holds, and when there was last one more.
    known: usize,
    grown: Moment,
}

impl Swarm {
    /// A swarm for `count` pieces as seen by the process on VM `own`; `wide` tells
    /// an entry from an agent.
    pub fn new(now: Moment, own: VmId, region: RegionId, wide: bool, count: u32) -> Self {
        let mut order: Vec<u32> = (0..count).collect();
        let seed = id_hash(&own);
        // Agents begin at different pieces, so that near ones have something to
        // give to each other early.
        order.sort_by_key(|p| mix(u64::from(*p), seed));
        Swarm {
            own,
            region,
            wide,
            count,
            held: PieceSet::default(),
            fetching: HashMap::new(),
            holders: Vec::new(),
            order,
            avoided: HashMap::new(),
            origin_until: Duration::ZERO,
            started_at: now,
            hashes: HashMap::new(),
            known: 0,
            grown: now,
        }
    }

    /// Takes over what is known of other agents.
    pub fn set_holders(&mut self, now: Moment, holders: Vec<Holder>) {
        self.holders = holders;
        self.holders.retain(|h| h.vm != self.own);
        self.note_growth(now);
        let regions = self.holders.iter().map(|h| &h.region);
        let names = self.holders.iter().map(|h| &h.vm).chain(regions);
        for name in names.chain([&self.own, &self.region]) {
            if !self.hashes.contains_key(name) {
                self.hashes.insert(name.clone(), id_hash(name));
            }
        }
    }

    /// Begins the order of bringers anew when pieces arrive after a standstill:
    /// as long as the origin gave nothing to anybody, nobody was late.
    fn note_growth(&mut self, now: Moment) {
        let sets = self.holders.iter().filter_map(|h| h.pieces.as_ref());
        let known = |p: &u32| self.held.contains(*p) || sets.clone().any(|s| s.contains(*p));
        let known = self.order.iter().filter(|p| known(p)).count();
        if known <= self.known {
            return;
        }
        if now.saturating_sub(self.grown) > STANDSTILL {
            self.started_at = now;
        }
        self.known = known;
        self.grown = now;
    }

    /// When pieces began to be fetched, or arrive after a standstill.
    pub fn started_at(&self) -> Moment {
        self.started_at
    }

    /// All other agents.
    pub fn all_peers(&self) -> Vec<SocketAddr> {
        self.holders.iter().map(|h| h.addr).collect()
    }

    /// Agents that wait for what this one holds: all of the region, and those of
    /// other regions that bring pieces there.
    pub fn notice_targets(&self) -> Vec<SocketAddr> {
        let mut by_region: HashMap<&RegionId, Vec<&Holder>> = HashMap::new();
        for holder in &self.holders {
            by_region.entry(&holder.region).or_default().push(holder);
        }
        let mut notice_targets = Vec::new();
        for (region, mut holders) in by_region {
            if *region != self.region {
                holders.sort_by_cached_key(|h| (!h.wide, self.weight(&h.vm, ALL_PIECES)));
                let wide = holders.iter().filter(|h| h.wide).count();
                holders.truncate(bringers(wide, holders.len()));
            }
            notice_targets.extend(holders.into_iter().map(|h| h.addr));
        }
        notice_targets
    }

    /// All other processes that are not known to hold everything.
    pub fn incomplete_peers(&self) -> Vec<SocketAddr> {
        let complete = |h: &&Holder| {
            let pieces = h.pieces.as_ref();
            pieces.is_some_and(|p| p.len() >= self.count)
        };
        let lacking = self.holders.iter().filter(|h| !complete(h));
        lacking.map(|h| h.addr).collect()
    }

    /// Whether an entry of the region gives pieces.
    pub fn has_entry_nearby(&self) -> bool {
        let mut near = self.holders.iter().filter(|h| h.region == self.region);
        near.any(|h| h.wide && h.pieces.is_some())
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
    pub fn fail(&mut self, now: Moment, fetching: &PieceFetch, failure: FetchFailure) {
        self.fetching.remove(&fetching.piece);
        let pause = match failure {
            FetchFailure::Busy => BUSY_PAUSE,
            FetchFailure::Failed => FAILED_PAUSE,
        };
        match fetching.source {
            PieceSource::Origin => self.origin_until = now + pause,
            PieceSource::Holder(addr) => {
                self.avoided.insert(addr, now + pause);
            }
        }
    }

    /// What to do next.
    pub fn next(&mut self, now: Moment) -> SwarmStep {
        if self.is_complete() {
            return SwarmStep::Complete;
        }
        let source = self.choose(now);
        let Some((piece, source)) = source else {
            return SwarmStep::Wait;
        };
        self.fetching.insert(piece, source.clone());
        SwarmStep::Fetch(PieceFetch { piece, source })
    }

    fn choose(&self, now: Moment) -> Option<(u32, PieceSource)> {
        let usable = |h: &&Holder| self.avoided.get(&h.addr).is_none_or(|t| *t <= now);
        let (near, far): (Vec<&Holder>, Vec<&Holder>) = self
            .holders
            .iter()
            .filter(|h| h.pieces.is_some())
            .partition(|h| h.region == self.region);
        let missing = self.order.iter().copied().filter(|p| {
            let held = self.held.contains(*p) || self.fetching.contains_key(p);
            !held
        });
        let missing: Vec<u32> = missing.collect();
        // What only this agent brings into the region goes first.
        let waited = now.saturating_sub(self.started_at);
        let order = self.bringing_order(waited);
        let usable_far: Vec<&Holder> = far.into_iter().filter(usable).collect();
        let is_near = |p: &u32| near.iter().any(|h| has(h, *p));
        let wanted = missing.iter().filter(|p| !is_near(p));
        let ranked = wanted.map(|p| (self.rank(&order, *p), *p));
        let mut brought: Vec<(u32, u32)> =
            ranked.filter(|(r, _)| waited >= TAKEOVER * *r).collect();
        // Others still bring what is theirs while this one brings its own.
        brought.sort_by_key(|(rank, _)| *rank);
        let share = ORIGIN_FETCHES.div_ceil(bringers(order.1, order.0.len()).max(1));
        for (_, piece) in brought {
            if let Some(source) = self.far_source(now, piece, &usable_far, share) {
                return Some((piece, source));
            }
        }
        let usable_near: Vec<&Holder> = near.into_iter().filter(usable).collect();
        let found = |p: &u32| self.holder_of(*p, &usable_near).map(|s| (*p, s));
        missing.iter().find_map(found)
    }

    /// A source outside of the region for a piece that is this agent's to bring.
    /// `share` is the number of fetches that it may have at the origin.
    fn far_source(
        &self,
        now: Moment,
        piece: u32,
        far: &[&Holder],
        share: usize,
    ) -> Option<PieceSource> {
        if self.far_fetches() < FAR_FETCHES
            && let Some(source) = self.holder_of(piece, far)
        {
            return Some(source);
        }
        let first = *self.first_region(piece) == self.region;
        let origins = self
            .fetching
            .values()
            .filter(|s| **s == PieceSource::Origin);
        let free = origins.count() < share && self.origin_until <= now;
        let waited = now.saturating_sub(self.started_at);
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

    /// The process among `holders` with the piece and the fewest fetches of ours
    /// for what its link carries.
    fn holder_of(&self, piece: u32, holders: &[&Holder]) -> Option<PieceSource> {
        holders
            .iter()
            .filter(|h| has(h, piece))
            .map(|h| (h.wide, PieceSource::Holder(h.addr)))
            .min_by_key(|(wide, source)| {
                let busy = self.fetching.values().filter(|s| *s == source).count();
                let load = if *wide { busy / WIDE_FETCHES } else { busy + 1 };
                (load, !wide, fastrand::u32(..))
            })
            .map(|(_, source)| source)
    }

    /// Processes of the region in the order in which they bring pieces, this one
    /// included, and how many of them are entries.
    fn bringing_order(&self, waited: Duration) -> (Vec<&VmId>, usize) {
        let alive =
            |h: &&Holder| h.region == self.region && (waited < HEARING_TIME || h.pieces.is_some());
        let neighbours = self.holders.iter().filter(alive).map(|h| (h.wide, &h.vm));
        let mut order: Vec<(bool, &VmId)> = neighbours.chain([(self.wide, &self.own)]).collect();
        order.sort_by_cached_key(|(wide, vm)| (!wide, self.weight(vm, ALL_PIECES)));
        let wide = order.iter().filter(|(wide, _)| *wide).count();
        (order.into_iter().map(|(_, vm)| vm).collect(), wide)
    }

    /// Steps of [`TAKEOVER`] after which this process brings a piece: first those
    /// that bring pieces at all, by their rank for this one, then the others.
    fn rank(&self, (order, wide): &(Vec<&VmId>, usize), piece: u32) -> u32 {
        let place = order.iter().position(|vm| **vm == self.own).unwrap_or(0);
        let bringers = &order[..bringers(*wide, order.len())];
        let rank = if place < bringers.len() {
            let own = self.weight(&self.own, piece);
            let before = |vm: &&&VmId| self.weight(vm, piece) < own;
            bringers.iter().filter(before).count()
        } else if *wide > 0 {
            WIDE_STEPS + place - bringers.len()
        } else {
            place
        };
        u32::try_from(rank).unwrap_or(u32::MAX)
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

/// Processes of a region that bring pieces: its entries, or some of its agents.
fn bringers(wide: usize, all: usize) -> usize {
    let most = all.min(BRINGERS);
    match wide {
        0 => most,
        _ => most.min(wide),
    }
}
