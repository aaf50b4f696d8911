use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use domain::{Moment, RegionId, VmId};
use fleet::{id_hash, mix};

/// Pause before a holder that lacked a piece is asked for it again.
const NOT_YET_PAUSE: Duration = Duration::from_millis(150);
/// Pause before a holder or an origin that failed is asked again.
const FAILED_PAUSE: Duration = Duration::from_millis(600);
/// Time after which a piece is sought outside the order of homes.
const HOME_PATIENCE: Duration = Duration::from_millis(1200);

/// An agent that may hold pieces of the same version.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Holder {
    /// Its VM, or another name that is the same for all agents.
    pub vm: VmId,
    /// Where it answers other agents.
    pub addr: SocketAddr,
    /// Its region.
    pub region: RegionId,
    /// It is known to hold the whole version.
    pub complete: bool,
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
    /// Nothing can be begun before this moment.
    Wait(Moment),
    /// Every piece is there.
    Complete,
}

/// Why a fetch failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FetchFailure {
    /// The holder does not have the piece yet.
    NotYet,
    /// No usable answer, or bytes with another digest.
    Failed,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    Missing,
    Fetching,
    Held,
}

/// Decides which piece an agent fetches from whom.
///
/// Each piece has a home in each region by rendezvous rank. The home in the
/// first region of the piece's own order draws it from the origin, homes of
/// other regions from that home, and everybody else from the home of their
/// region: one copy from the origin, one over each line between regions.
#[derive(Debug)]
pub struct Swarm {
    own: VmId,
    region: RegionId,
    states: Vec<State>,
    holders: Vec<Holder>,
    order: Vec<u32>,
    avoided: HashMap<(SocketAddr, u32), Moment>,
    origin_until: Moment,
    begun: Moment,
}

impl Swarm {
    /// A swarm for `count` pieces as seen by the agent on VM `own`.
    pub fn new(now: Moment, own: VmId, region: RegionId, count: u32) -> Self {
        let mut order: Vec<u32> = (0..count).collect();
        let seed = id_hash(&own);
        // Agents begin at different pieces, so that they do not all ask one home.
        order.sort_by_key(|p| mix(u64::from(*p), seed));
        let len = order.len();
        Swarm {
            own,
            region,
            states: vec![State::Missing; len],
            holders: Vec::new(),
            order,
            avoided: HashMap::new(),
            origin_until: Duration::ZERO,
            begun: now,
        }
    }

    /// Takes over the agents that are known.
    pub fn set_holders(&mut self, holders: Vec<Holder>) {
        self.holders = holders;
        self.holders.retain(|h| h.vm != self.own);
    }

    /// Pieces that are held.
    pub fn held(&self) -> usize {
        self.states.iter().filter(|s| **s == State::Held).count()
    }

    /// Whether every piece is held.
    pub fn is_complete(&self) -> bool {
        self.states.iter().all(|s| *s == State::Held)
    }

    /// Records a piece that was verified and staged.
    pub fn hold(&mut self, piece: u32) {
        self.set(piece, State::Held);
    }

    /// Records that a piece turned out to be missing or wrong.
    pub fn lose(&mut self, piece: u32) {
        self.set(piece, State::Missing);
    }

    /// Records that a fetch failed.
    pub fn fail(&mut self, now: Moment, fetching: &Fetching, failure: FetchFailure) {
        self.set(fetching.piece, State::Missing);
        let pause = match failure {
            FetchFailure::NotYet => NOT_YET_PAUSE,
            FetchFailure::Failed => FAILED_PAUSE,
        };
        match fetching.source {
            PieceSource::Origin => self.origin_until = now + pause,
            PieceSource::Holder(addr) => {
                self.avoided.insert((addr, fetching.piece), now + pause);
            }
        }
    }

    /// What to do next.
    pub fn next(&mut self, now: Moment) -> SwarmStep {
        if self.is_complete() {
            return SwarmStep::Complete;
        }
        // Own homes first, because others wait for them.
        for own_home in [true, false] {
            for i in 0..self.order.len() {
                let piece = self.order[i];
                if self.state(piece) != State::Missing || self.is_home(piece) != own_home {
                    continue;
                }
                if let Some(source) = self.source(now, piece) {
                    self.set(piece, State::Fetching);
                    return SwarmStep::Fetch(Fetching { piece, source });
                }
            }
        }
        SwarmStep::Wait(now + NOT_YET_PAUSE / 2)
    }

    fn source(&self, now: Moment, piece: u32) -> Option<PieceSource> {
        let near = self.ranked(piece, |h| h.complete && h.region == self.region);
        let far = self.ranked(piece, |h| h.complete && h.region != self.region);
        let patient = now.saturating_sub(self.begun) < HOME_PATIENCE;
        let home = self.ranked(piece, |h| h.region == self.region && self.outranks(h, piece));
        let sources = near
            .into_iter()
            .chain(home.into_iter().take(if patient { 1 } else { 2 }));
        if let Some(addr) = self.usable(now, piece, sources) {
            return Some(PieceSource::Holder(addr));
        }
        if patient && !self.is_home(piece) {
            return None;
        }
        let regional = self.first_region(piece).filter(|r| **r != self.region);
        let first = regional.map(|r| self.ranked(piece, |h| h.region == *r));
        let sources = far
            .into_iter()
            .chain(first.unwrap_or_default().into_iter().take(1));
        if let Some(addr) = self.usable(now, piece, sources) {
            return Some(PieceSource::Holder(addr));
        }
        let first = self.first_region(piece).is_none_or(|r| *r == self.region);
        let allowed = first || !patient;
        (allowed && self.origin_until <= now).then_some(PieceSource::Origin)
    }

    fn usable<'a>(
        &self,
        now: Moment,
        piece: u32,
        sources: impl Iterator<Item = &'a Holder>,
    ) -> Option<SocketAddr> {
        sources
            .map(|h| h.addr)
            .find(|a| self.avoided.get(&(*a, piece)).is_none_or(|t| *t <= now))
    }

    fn ranked(&self, piece: u32, keep: impl Fn(&Holder) -> bool) -> Vec<&Holder> {
        let mut list: Vec<&Holder> = self.holders.iter().filter(|h| keep(h)).collect();
        list.sort_by_key(|h| rank(&h.vm, piece));
        list
    }

    fn is_home(&self, piece: u32) -> bool {
        !self
            .holders
            .iter()
            .any(|h| h.region == self.region && self.outranks(h, piece))
    }

    fn outranks(&self, holder: &Holder, piece: u32) -> bool {
        rank(&holder.vm, piece) < rank(&self.own, piece)
    }

    /// Region whose home draws a piece from the origin.
    fn first_region(&self, piece: u32) -> Option<&RegionId> {
        self.holders
            .iter()
            .map(|h| &h.region)
            .chain([&self.region])
            .min_by_key(|r| (rank(r, piece), (*r).clone()))
    }

    fn state(&self, piece: u32) -> State {
        usize::try_from(piece)
            .ok()
            .and_then(|i| self.states.get(i).copied())
            .unwrap_or(State::Held)
    }

    fn set(&mut self, piece: u32, state: State) {
        if let Ok(i) = usize::try_from(piece)
            && let Some(s) = self.states.get_mut(i)
        {
            *s = state;
        }
    }
}

/// Rendezvous rank of a name for a piece, first rank lowest.
fn rank(name: &str, piece: u32) -> u64 {
    mix(id_hash(name), u64::from(piece))
}
