use std::cmp::Reverse;

/// Rendezvous weight of a member for a key; the highest is first in rank.
pub fn weight(key: &str, member: &str) -> u64 {
    let mut hasher = blake3::Hasher::new();
    hasher.update(key.as_bytes());
    hasher.update(&[0]);
    hasher.update(member.as_bytes());
    let mut first = [0u8; 8];
    first.copy_from_slice(&hasher.finalize().as_bytes()[..8]);
    u64::from_be_bytes(first)
}

/// Sorts items by their rendezvous rank for `key`, first rank first.
pub fn rank_order<T>(key: &str, items: &mut [T], id: impl Fn(&T) -> &str) {
    items.sort_by_cached_key(|t| Reverse((weight(key, id(t)), id(t).to_owned())));
}
