use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use domain::{Moment, RegionId, VmId};
use fleet::{id_hash, mix};

use crate::PieceSet;

/// Pause before another fetch from a holder that failed.
const FAILED_PAUSE: Duration = Duration::from_millis(600);
/// The same for the origin, which few processes ask: they notice its return sooner.
const ORIGIN_PAUSE: Duration = Duration::from_millis(300);
/// Pause before another fetch from a busy holder: about one piece on its link.
const BUSY_PAUSE: Duration = Duration::from_millis(40);
/// Time for which every listed agent is part of the import order; after it, only
/// those that have sent a notice.
const NOTICE_TIME: Duration = Duration::from_millis(900);
/// Time after which the next agent in rank imports a piece that no process of the
/// region holds: a full copy leaves the origin in less than two seconds.
const TAKEOVER: Duration = Duration::from_millis(1500);
/// Time without a new piece anywhere after which the takeover times start again:
/// longer than any pause while the origin responds.
const STANDSTILL: Duration = Duration::from_millis(1200);
/// Time after which importers outside of a piece's first region fetch it from the
/// origin.
const FAR_ORIGIN_DELAY: Duration = Duration::from_millis(2600);
/// Time without a new piece anywhere after which processes ask the origin for pieces of other
/// importers: as long as pieces arrive, one that takes over would fetch what is already queued
/// there. On a slow origin, a copy takes longer than [`TAKEOVER`].
const QUIET_TIME: Duration = Duration::from_millis(400);
/// Fetches from the origin that a region has in flight, one for each importer at least. The
/// number is the same for every region, whether one entry or some agents import. A piece
/// takes up to 44 ms on the origin's link and the round trip some milliseconds, so two keep it
/// busy. With eight, digests of the next version waited behind a second of pieces, all of
/// which were lost in a crash.
const ORIGIN_FETCHES: usize = 2;

/// Most processes of a region that fetch pieces from outside of it. Each has a fetch in flight
/// at the origin: those of three regions take 0.4 s on a link on which a piece takes 44 ms.
const MAX_IMPORTERS: usize = 3;
/// Fetches that an entry serves over its wide link in the time in which an agent
/// serves one.
const ENTRY_FETCHES: usize = 4;
/// Number of [`TAKEOVER`] times for which agents wait for the entries of their region.
const ENTRY_STEPS: usize = 2;
/// Fetches from other regions that one process has in flight: the links between
/// regions also carry the live streams.
const FAR_FETCHES: usize = 2;

/// Piece number for ranks that apply to all pieces.
const ALL_PIECES: u32 = u32::MAX;

/// A process that may hold pieces of the same version.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Holder {
    /// Its VM, or another name that all processes use for it.
    pub vm: VmId,
    /// Address at which it serves pieces to other processes.
    pub addr: SocketAddr,
    /// Its region.
    pub region: RegionId,
    /// Whether it is an entry, whose link is wide.
    pub is_entry: bool,
    /// Pieces that it announced; `None` if it has sent no notice.
    pub pieces: Option<PieceSet>,
}

/// Source of a piece.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PieceSource {
    /// The origin of the weights.
    Origin,
    /// Another process, by its address.
    Holder(SocketAddr),
}

/// A fetch of a piece from a source.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PieceFetch {
    /// Number of the piece.
    pub piece: u32,
    /// Source that it is fetched from.
    pub source: PieceSource,
}

/// Why a fetch failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FetchFailure {
    /// The holder is serving other processes.
    Busy,
    /// No valid response, or bytes with a wrong digest.
    Failed,
}

/// Next step of a swarm.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SwarmStep {
    /// Start a fetch.
    Fetch(PieceFetch),
    /// No fetch can start until a notice arrives or time passes.
    Wait,
    /// Every piece is held.
    Complete,
}

/// Decides which piece a process fetches next, and from which source.
///
/// A new version has to reach all agents within seconds over links that carry only a
/// few copies. Each piece has an importer in each region, by rendezvous rank. The
/// importer in the piece's first region fetches it from the origin, importers of other
/// regions from a process that holds it, and all other processes from a holder of
/// their region. One copy leaves the origin and one crosses each link between regions.
#[derive(Debug)]
pub struct Swarm {
    own: VmId,
    region: RegionId,
    is_entry: bool,
    count: u32,
    held: PieceSet,
    fetching: HashMap<u32, PieceSource>,
    holders: Vec<Holder>,
    /// All pieces, in the order in which this process fetches them.
    order: Vec<u32>,
    /// Moment until which no fetch is sent to a holder.
    paused_until: HashMap<SocketAddr, Moment>,
    /// Moment until which no fetch is sent to the origin.
    origin_paused_until: Moment,
    /// The origin is asked for no piece, because an older version goes first.
    origin_reserved: bool,
    started_at: Moment,
    /// Hashes of the names of processes and regions.
    hashes: HashMap<VmId, u64>,
    /// Number of pieces held by any process of the swarm.
    known_pieces: usize,
    /// When that number last grew.
    grown_at: Moment,
}

impl Swarm {
    /// A swarm for `count` pieces as seen by the process on VM `own`; `is_entry` is true
    /// for an entry and false for an agent.
    pub fn new(now: Moment, own: VmId, region: RegionId, is_entry: bool, count: u32) -> Self {
        let mut order: Vec<u32> = (0..count).collect();
        let seed = id_hash(&own);
        // Processes start at different pieces, so that those of a region can exchange
        // pieces early.
        order.sort_by_key(|p| mix(u64::from(*p), seed));
        Swarm {
            own,
            region,
            is_entry,
            count,
            held: PieceSet::default(),
            fetching: HashMap::new(),
            holders: Vec::new(),
            order,
            paused_until: HashMap::new(),
            origin_paused_until: Duration::ZERO,
            origin_reserved: false,
            started_at: now,
            hashes: HashMap::new(),
            known_pieces: 0,
            grown_at: now,
        }
    }

    /// Replaces the other processes and their announced pieces.
    pub fn set_holders(&mut self, now: Moment, holders: Vec<Holder>) {
        self.holders = holders;
        self.holders.retain(|h| h.vm != self.own);
        self.record_growth(now);
        let regions = self.holders.iter().map(|h| &h.region);
        let names = self.holders.iter().map(|h| &h.vm).chain(regions);
        for name in names.chain([&self.own, &self.region]) {
            if !self.hashes.contains_key(name) {
                self.hashes.insert(name.clone(), id_hash(name));
            }
        }
    }

    /// Restarts the takeover times when pieces arrive after a standstill: while the
    /// origin served no pieces, no importer was late.
    fn record_growth(&mut self, now: Moment) {
        let sets = self.holders.iter().filter_map(|h| h.pieces.as_ref());
        let is_held = |p: &u32| self.held.contains(*p) || sets.clone().any(|s| s.contains(*p));
        let known_pieces = self.order.iter().filter(|p| is_held(p)).count();
        if known_pieces <= self.known_pieces {
            return;
        }
        if now.saturating_sub(self.grown_at) > STANDSTILL {
            self.started_at = now;
            // The piece shows that the origin responds again.
            self.origin_paused_until = now;
        }
        self.known_pieces = known_pieces;
        self.grown_at = now;
    }

    /// Sets whether the origin is reserved for an older version. Once it is not, the takeover
    /// times start again.
    pub fn set_origin_reserved(&mut self, now: Moment, reserved: bool) {
        if self.origin_reserved && !reserved {
            self.started_at = now;
        }
        self.origin_reserved = reserved;
    }

    /// Number of pieces that this process or another one holds.
    pub fn known_pieces(&self) -> usize {
        self.known_pieces
    }

    /// When the first pieces were fetched, pieces arrived after a standstill, or the origin was
    /// no longer reserved.
    pub fn started_at(&self) -> Moment {
        self.started_at
    }

    /// Addresses of all other processes.
    pub fn all_peers(&self) -> Vec<SocketAddr> {
        self.holders.iter().map(|h| h.addr).collect()
    }

    /// Addresses of the processes that fetch from this one: all of its region, and the
    /// importers of other regions.
    pub fn notice_targets(&self) -> Vec<SocketAddr> {
        let mut by_region: HashMap<&RegionId, Vec<&Holder>> = HashMap::new();
        for holder in &self.holders {
            by_region.entry(&holder.region).or_default().push(holder);
        }
        let mut targets = Vec::new();
        for (region, mut holders) in by_region {
            if *region != self.region {
                holders.sort_by_cached_key(|h| (!h.is_entry, self.rank_hash(&h.vm, ALL_PIECES)));
                let entries = holders.iter().filter(|h| h.is_entry).count();
                holders.truncate(importers(entries, holders.len()));
            }
            targets.extend(holders.into_iter().map(|h| h.addr));
        }
        targets
    }

    /// Addresses of the processes that are not known to hold every piece.
    pub fn incomplete_peers(&self) -> Vec<SocketAddr> {
        let complete = |h: &&Holder| {
            let pieces = h.pieces.as_ref();
            pieces.is_some_and(|p| p.len() >= self.count)
        };
        let incomplete = self.holders.iter().filter(|h| !complete(h));
        incomplete.map(|h| h.addr).collect()
    }

    /// Whether an entry of the region has announced pieces.
    pub fn has_entry_nearby(&self) -> bool {
        let mut near = self.holders.iter().filter(|h| h.region == self.region);
        near.any(|h| h.is_entry && h.pieces.is_some())
    }

    /// Pieces that this process holds.
    pub fn held(&self) -> &PieceSet {
        &self.held
    }

    /// Whether this process holds every piece.
    pub fn is_complete(&self) -> bool {
        self.held.len() >= self.count
    }

    /// Records that a piece was verified and staged.
    pub fn add_piece(&mut self, piece: u32) {
        self.fetching.remove(&piece);
        self.held.insert(piece);
    }

    /// Records that a held piece turned out to be missing or wrong.
    pub fn remove_piece(&mut self, piece: u32) {
        self.held.remove(piece);
    }

    /// Records that a fetch failed; its source is avoided for a while.
    pub fn record_failure(&mut self, now: Moment, fetch: &PieceFetch, failure: FetchFailure) {
        self.fetching.remove(&fetch.piece);
        match fetch.source {
            PieceSource::Origin => {
                self.origin_paused_until = now + ORIGIN_PAUSE;
                // While the origin serves no pieces, no importer is late. Had the times run on,
                // every region would fetch every piece when it is back.
                if now.saturating_sub(self.grown_at) > STANDSTILL {
                    self.started_at = now;
                }
            }
            PieceSource::Holder(addr) => {
                let pause = match failure {
                    FetchFailure::Busy => BUSY_PAUSE,
                    FetchFailure::Failed => FAILED_PAUSE,
                };
                self.paused_until.insert(addr, now + pause);
            }
        }
    }

    /// The next step; a fetch that it returns counts as in flight.
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
        let usable = |h: &&Holder| self.paused_until.get(&h.addr).is_none_or(|t| *t <= now);
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
        // Pieces that this process imports into the region go first.
        let waited = now.saturating_sub(self.started_at);
        let order = self.import_order(waited);
        let usable_far: Vec<&Holder> = far.into_iter().filter(usable).collect();
        let is_near = |p: &u32| near.iter().any(|h| has(h, *p));
        let absent = missing.iter().filter(|p| !is_near(p));
        let ranked = absent.map(|p| (self.rank(&order, *p), *p));
        let mut imports: Vec<(u32, u32)> =
            ranked.filter(|(r, _)| waited >= TAKEOVER * *r).collect();
        // Its own pieces go before those of other importers, which may still fetch them.
        imports.sort_by_key(|(rank, _)| *rank);
        let share = ORIGIN_FETCHES.div_ceil(importers(order.1, order.0.len()).max(1));
        for (rank, piece) in imports {
            if let Some(source) = self.far_source(now, (rank, piece), &usable_far, share) {
                return Some((piece, source));
            }
        }
        let usable_near: Vec<&Holder> = near.into_iter().filter(usable).collect();
        let found = |p: &u32| self.holder_of(*p, &usable_near).map(|s| (*p, s));
        missing.iter().find_map(found)
    }

    /// A source outside of the region for a piece that this process imports, for which it
    /// has this rank. `share`
    /// is the number of fetches that it may have in flight at the origin.
    fn far_source(
        &self,
        now: Moment,
        (rank, piece): (u32, u32),
        far: &[&Holder],
        share: usize,
    ) -> Option<PieceSource> {
        if self.far_fetches() < FAR_FETCHES
            && let Some(source) = self.holder_of(piece, far)
        {
            return Some(source);
        }
        let is_first = *self.first_region(piece) == self.region;
        let from_origin = self
            .fetching
            .values()
            .filter(|s| **s == PieceSource::Origin);
        let allowed =
            !self.origin_reserved && from_origin.count() < share && self.origin_paused_until <= now;
        let waited = now.saturating_sub(self.started_at);
        let is_own = is_first && rank == 0;
        let is_quiet = now.saturating_sub(self.grown_at) >= QUIET_TIME;
        let is_late = is_quiet && (is_first || waited >= FAR_ORIGIN_DELAY);
        (allowed && (is_own || is_late)).then_some(PieceSource::Origin)
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

    /// The process among `holders` that holds the piece and has the fewest fetches from
    /// this one in flight, relative to its link.
    fn holder_of(&self, piece: u32, holders: &[&Holder]) -> Option<PieceSource> {
        holders
            .iter()
            .filter(|h| has(h, piece))
            .map(|h| (h.is_entry, PieceSource::Holder(h.addr)))
            .min_by_key(|(is_entry, source)| {
                let busy = self.fetching.values().filter(|s| *s == source).count();
                let load = if *is_entry {
                    busy / ENTRY_FETCHES
                } else {
                    busy + 1
                };
                (load, !is_entry, fastrand::u32(..))
            })
            .map(|(_, source)| source)
    }

    /// Processes of the region, this one included, in the order in which they import
    /// pieces, and how many of them are entries.
    fn import_order(&self, waited: Duration) -> (Vec<&VmId>, usize) {
        let active =
            |h: &&Holder| h.region == self.region && (waited < NOTICE_TIME || h.pieces.is_some());
        let peers = self
            .holders
            .iter()
            .filter(active)
            .map(|h| (h.is_entry, &h.vm));
        let mut order: Vec<(bool, &VmId)> = peers.chain([(self.is_entry, &self.own)]).collect();
        order.sort_by_cached_key(|(is_entry, vm)| (!is_entry, self.rank_hash(vm, ALL_PIECES)));
        let entries = order.iter().filter(|(is_entry, _)| *is_entry).count();
        (order.into_iter().map(|(_, vm)| vm).collect(), entries)
    }

    /// Number of [`TAKEOVER`] times after which this process imports a piece: importers
    /// come first, by their rank for the piece, then the others.
    fn rank(&self, (order, entries): &(Vec<&VmId>, usize), piece: u32) -> u32 {
        let position = order.iter().position(|vm| **vm == self.own).unwrap_or(0);
        let importers = &order[..importers(*entries, order.len())];
        let rank = if position < importers.len() {
            let own = self.rank_hash(&self.own, piece);
            let before = |vm: &&&VmId| self.rank_hash(vm, piece) < own;
            importers.iter().filter(before).count()
        } else if *entries > 0 {
            ENTRY_STEPS + position - importers.len()
        } else {
            position
        };
        u32::try_from(rank).unwrap_or(u32::MAX)
    }

    /// Rendezvous hash of a name for a piece; the lowest hash ranks first.
    fn rank_hash(&self, name: &str, piece: u32) -> u64 {
        let hash = self.hashes.get(name).copied();
        mix(hash.unwrap_or_else(|| id_hash(name)), u64::from(piece))
    }

    /// Region whose importer fetches a piece from the origin.
    fn first_region(&self, piece: u32) -> &RegionId {
        self.holders
            .iter()
            .map(|h| &h.region)
            .chain([&self.region])
            .min_by_key(|r| (self.rank_hash(r, piece), r.as_str()))
            .unwrap_or(&self.region)
    }
}

fn has(holder: &Holder, piece: u32) -> bool {
    holder.pieces.as_ref().is_some_and(|p| p.contains(piece))
}

/// Number of importers of a region: its entries, or some of its agents if it has no
/// entries.
fn importers(entries: usize, all: usize) -> usize {
    let limit = all.min(MAX_IMPORTERS);
    match entries {
        0 => limit,
        _ => limit.min(entries),
    }
}
