use std::net::SocketAddr;

use config::{Digest, RegionId, VmId};
use fleet::{id_hash, mix, sort_by_rank};

/// An agent that has or needs the same model version.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Peer {
    /// Its VM.
    pub vm: VmId,
    /// Its address.
    pub addr: SocketAddr,
    /// Its region.
    pub region: RegionId,
}

impl Peer {
    fn hash(&self) -> u64 {
        id_hash(&self.vm)
    }
}

/// Where a chunk is fetched from.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Source {
    /// The origin of weights.
    Origin,
    /// Another agent.
    Peer(Peer),
}

/// The sources of an agent's chunks: the origin and the peers with the same model
/// version.
///
/// Each chunk has an owner in each region: the agent that is first by rendezvous
/// hashing. The owner in the origin's region fetches the chunk from the origin, the
/// owner in another region fetches it from the owner in the origin's region, and the
/// other agents of a region fetch it from their owner. Thus a chunk is fetched once
/// from the origin and once into each region. When an owner fails, the next agent in
/// rank replaces it.
#[derive(Debug, Clone)]
pub struct Sources {
    own: Peer,
    origin_region: RegionId,
    peers: Vec<Peer>,
}

impl Sources {
    /// Sources of the agent `own`; `peers` may include it.
    pub fn new(own: Peer, origin_region: RegionId, mut peers: Vec<Peer>) -> Self {
        peers.retain(|p| p.vm != own.vm);
        Sources {
            own,
            origin_region,
            peers,
        }
    }

    /// Sources of a chunk, preferred first; the origin is the last.
    pub fn preferred(&self, chunk: &Digest) -> Vec<Source> {
        let key = chunk.prefix();
        let mut order = self.ranked_before_own(key, &self.own.region);
        if self.own.region != self.origin_region {
            order.extend(self.ranked_in_region(key, &self.origin_region));
            order.extend(self.other_owners(key));
        }
        order.push(Source::Origin);
        order
    }

    /// Whether the agent owns the chunk in its region.
    pub fn is_owner(&self, chunk: &Digest) -> bool {
        self.ranked_before_own(chunk.prefix(), &self.own.region)
            .is_empty()
    }

    /// Sort key that orders chunks differently for each agent.
    pub fn shuffle_key(&self, chunk: &Digest) -> u64 {
        mix(self.own.hash(), chunk.prefix())
    }

    /// Agents of the region that rank before this one.
    fn ranked_before_own(&self, key: u64, region: &str) -> Vec<Source> {
        let mut agents: Vec<&Peer> = self.in_region(region);
        agents.push(&self.own);
        sort_by_rank(key, &mut agents, |p| p.hash());
        agents
            .into_iter()
            .take_while(|p| p.vm != self.own.vm)
            .map(|p| Source::Peer(p.clone()))
            .collect()
    }

    fn ranked_in_region(&self, key: u64, region: &str) -> Vec<Source> {
        let mut agents = self.in_region(region);
        sort_by_rank(key, &mut agents, |p| p.hash());
        agents.into_iter().cloned().map(Source::Peer).collect()
    }

    /// Owners of the chunk in the remaining regions.
    fn other_owners(&self, key: u64) -> Vec<Source> {
        let mut regions: Vec<&RegionId> = self.peers.iter().map(|p| &p.region).collect();
        regions.sort();
        regions.dedup();
        regions
            .into_iter()
            .filter(|r| **r != self.own.region && **r != self.origin_region)
            .filter_map(|r| self.ranked_in_region(key, r).into_iter().next())
            .collect()
    }

    fn in_region(&self, region: &str) -> Vec<&Peer> {
        self.peers.iter().filter(|p| p.region == region).collect()
    }
}
