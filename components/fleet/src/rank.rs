use std::cmp::Reverse;

/// Hash of an id, well mixed and the same in every process.
pub fn id_hash(id: &str) -> u64 {
    let mut first = [0u8; 8];
    first.copy_from_slice(&blake3::hash(id.as_bytes()).as_bytes()[..8]);
    u64::from_be_bytes(first)
}

/// Mixes two hashes into one (the finalizer of SplitMix64).
pub fn mix(a: u64, b: u64) -> u64 {
    let mut z = a ^ b.rotate_left(32).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    z ^ (z >> 31)
}

/// Rendezvous weight of a member for a key; the highest is first in rank.
pub fn pair_hash(key: &str, member: &str) -> u64 {
    mix(id_hash(key), id_hash(member))
}

/// Sorts items by their rendezvous rank for the hash `key`, first rank first.
pub fn sort_by_rank<T>(key: u64, items: &mut [T], hash: impl Fn(&T) -> u64) {
    items.sort_by_cached_key(|t| {
        let hash = hash(t);
        Reverse((mix(key, hash), hash))
    });
}
