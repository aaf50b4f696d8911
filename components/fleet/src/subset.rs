use std::cmp::Reverse;

use crate::Member;
use crate::rank::{id_hash, mix};

/// Least number of entries that an upstream is assigned to.
const MIN_ENTRIES: usize = 7;
/// Least number of upstreams in a subset, on average over the entries, if the
/// service has as many.
const MIN_SUBSET: usize = 20;

/// The upstreams of one service that `entry` monitors and sends requests to.
///
/// Each upstream is assigned to the same number of entries, those with the
/// highest rendezvous weights for it, so that none goes unused. A VM that joins or
/// leaves changes only the subsets that it belongs to.
pub fn subset<'a>(entry: &str, entries: &[&Member], upstreams: &[&'a Member]) -> Vec<&'a Member> {
    let count = entries_per_upstream(entries.len(), upstreams.len());
    let hashes: Vec<u64> = entries.iter().map(|e| id_hash(&e.vm)).collect();
    let own = id_hash(entry);
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

/// Number of entries that each upstream of a service is assigned to.
fn entries_per_upstream(entries: usize, upstreams: usize) -> usize {
    MIN_ENTRIES.max((MIN_SUBSET * entries).div_ceil(upstreams.max(1)))
}
