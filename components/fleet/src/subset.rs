use std::cmp::Reverse;

use crate::Member;
use crate::rank::{id_hash, mix};

/// Entries that know each upstream, at least.
const WATCHERS: usize = 7;
/// Upstreams of a service that each entry knows, on average at least.
const KNOWN: usize = 20;

/// The upstreams of one service that the entry `owner` shall know.
///
/// Each upstream is known to the same number of entries, the first in its
/// rendezvous rank, so that none is left without work. A VM that comes or goes
/// changes only the subsets that it belongs to.
pub fn subset<'a>(owner: &str, entries: &[&Member], upstreams: &[&'a Member]) -> Vec<&'a Member> {
    let count = watchers(entries.len(), upstreams.len());
    let hashes: Vec<u64> = entries.iter().map(|e| id_hash(&e.vm)).collect();
    let own = id_hash(owner);
    upstreams
        .iter()
        .filter(|u| {
            let key = id_hash(&u.vm);
            let rank = Reverse(mix(key, own));
            let ahead = hashes
                .iter()
                .filter(|&&e| e != own && Reverse(mix(key, e)) < rank);
            ahead.count() < count
        })
        .copied()
        .collect()
}

/// Entries that know each upstream of a service.
fn watchers(entries: usize, upstreams: usize) -> usize {
    WATCHERS.max((KNOWN * entries).div_ceil(upstreams.max(1)))
}
