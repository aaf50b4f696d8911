use std::collections::HashMap;

/// SHA-256 digests of the pieces of a version, in the order of their numbers.
pub type Digests = Vec<[u8; 32]>;

/// Decides which digests of a version are trusted.
///
/// The origin may send a wrong or truncated list. A list is trusted only when two
/// responses agree, from the origin or from peers, which send the list that they read
/// there or agreed on.
#[derive(Debug, Default)]
pub struct DigestQuorum {
    votes: HashMap<Digests, usize>,
}

impl DigestQuorum {
    /// Counts a vote for `list` and returns the list once it has two votes. A
    /// list with a length other than `count` is ignored.
    pub fn vote(&mut self, list: Digests, count: usize) -> Option<Digests> {
        if list.len() != count {
            return None;
        }
        let votes = self.votes.entry(list.clone()).or_default();
        *votes += 1;
        (*votes >= 2).then_some(list)
    }
}
