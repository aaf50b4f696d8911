use std::net::SocketAddr;

use config::{Digest, RegionId, VmId};
use fleet::{id_hash, mix, sort_by_rank};

/// An agent that wants or holds the same model version.
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

/// Where a chunk can be fetched.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Source {
    /// The origin of weights.
    Origin,
    /// Another agent.
    Peer(Peer),
}

/// The members that share a model version, as one of them sees it.
///
/// Each chunk has a home in each region: the first in rendezvous rank. The home
/// in the origin's region draws the chunk from the origin, the home of another
/// region draws it from the home in the origin's region, and the others of a
/// region draw it from their home. When a home fails the next in rank takes over.
#[derive(Debug, Clone)]
pub struct Sources {
    own: Peer,
    origin_region: RegionId,
    peers: Vec<Peer>,
}

impl Sources {
    /// `peers` may or may not contain the member itself.
    pub fn new(own: Peer, origin_region: RegionId, mut peers: Vec<Peer>) -> Self {
        peers.retain(|p| p.vm != own.vm);
        Sources {
            own,
            origin_region,
            peers,
        }
    }

    /// Sources of a chunk in the order in which they are to be tried.
    pub fn preferred(&self, chunk: &Digest) -> Vec<Source> {
        let key = chunk.prefix();
        let mut order = self.ahead_in_region(key, &self.own.region);
        if self.own.region != self.origin_region {
            order.extend(self.ranked(key, &self.origin_region));
            order.extend(self.other_regions(key));
        }
        order.push(Source::Origin);
        order
    }

    /// Whether the member is the chunk's home in its region.
    pub fn is_owner(&self, chunk: &Digest) -> bool {
        self.ahead_in_region(chunk.prefix(), &self.own.region)
            .is_empty()
    }

    /// A number that orders chunks differently for each member.
    pub fn shuffle_key(&self, chunk: &Digest) -> u64 {
        mix(self.own.hash(), chunk.prefix())
    }

    /// Members of the region ranked before this one.
    fn ahead_in_region(&self, key: u64, region: &str) -> Vec<Source> {
        let mut members: Vec<&Peer> = self.in_region(region);
        members.push(&self.own);
        sort_by_rank(key, &mut members, |p| p.hash());
        members
            .into_iter()
            .take_while(|p| p.vm != self.own.vm)
            .map(|p| Source::Peer(p.clone()))
            .collect()
    }

    fn ranked(&self, key: u64, region: &str) -> Vec<Source> {
        let mut members = self.in_region(region);
        sort_by_rank(key, &mut members, |p| p.hash());
        members.into_iter().cloned().map(Source::Peer).collect()
    }

    /// The homes of the remaining regions, one each.
    fn other_regions(&self, key: u64) -> Vec<Source> {
        let mut regions: Vec<&RegionId> = self.peers.iter().map(|p| &p.region).collect();
        regions.sort();
        regions.dedup();
        regions
            .into_iter()
            .filter(|r| **r != self.own.region && **r != self.origin_region)
            .filter_map(|r| self.ranked(key, r).into_iter().next())
            .collect()
    }

    fn in_region(&self, region: &str) -> Vec<&Peer> {
        self.peers.iter().filter(|p| p.region == region).collect()
    }
}
