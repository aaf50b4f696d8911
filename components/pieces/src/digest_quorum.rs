use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;

/// SHA-256 digests of the pieces of a version, in the order of their numbers.
pub type Digests = Vec<[u8; 32]>;

/// Responses that must agree.
const QUORUM: usize = 2;

/// Decides which digests of a version are trusted.
///
/// The origin may send a wrong or truncated list. A list is trusted only when two
/// responses agree, from the origin or from peers, which send the list that they read
/// from the origin or agreed on.
#[derive(Debug, Default)]
pub struct DigestQuorum {
    votes: HashMap<Digests, Votes>,
}

/// Responses with the same list.
#[derive(Debug, Default)]
struct Votes {
    /// Each response of the origin is sent anew, so that an error does not recur.
    origin: usize,
    /// A peer repeats the list that it has, so it counts once.
    peers: HashSet<SocketAddr>,
}

impl DigestQuorum {
    /// Counts a response of the origin and returns the list once it is trusted. A list
    /// with a length other than `count` is ignored.
    pub fn vote_of_origin(&mut self, list: Digests, count: usize) -> Option<Digests> {
        self.vote(list, count, |votes| votes.origin += 1)
    }

    /// The same for a response of a peer.
    pub fn vote_of_peer(
        &mut self,
        peer: SocketAddr,
        list: Digests,
        count: usize,
    ) -> Option<Digests> {
        self.vote(list, count, |votes| {
            votes.peers.insert(peer);
        })
    }

    fn vote(
        &mut self,
        list: Digests,
        count: usize,
        add: impl FnOnce(&mut Votes),
    ) -> Option<Digests> {
        if list.len() != count {
            return None;
        }
        let votes = self.votes.entry(list.clone()).or_default();
        add(votes);
        (votes.origin + votes.peers.len() >= QUORUM).then_some(list)
    }
}
