use std::collections::HashMap;

/// Digests of a version as one source tells them.
pub type Digests = Vec<[u8; 32]>;

/// Agrees on the digests of a version: the origin may be wrong or cut, so one
/// list counts only when two answers from it, or from agents that asked it
/// themselves, are the same.
#[derive(Debug, Default)]
pub struct Agreement {
    votes: HashMap<Digests, usize>,
}

impl Agreement {
    /// Records a list of `count` digests; returns the list when it is agreed.
    pub fn vote(&mut self, list: Digests, count: usize) -> Option<Digests> {
        if list.len() != count {
            return None;
        }
        let votes = self.votes.entry(list.clone()).or_default();
        *votes += 1;
        (*votes >= 2).then_some(list)
    }
}
