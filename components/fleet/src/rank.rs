use std::cmp::Reverse;

/// Hash of an id, uniform and the same in every process.
pub fn id_hash(id: &str) -> u64 {
    let mut bytes = [0u8; 8];
    bytes.copy_from_slice(&blake3::hash(id.as_bytes()).as_bytes()[..8]);
    u64::from_be_bytes(bytes)
}

/// Combines two hashes into one, with the finalizer of SplitMix64.
pub fn mix(a: u64, b: u64) -> u64 {
    let mut z = a ^ b.rotate_left(32).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    z ^ (z >> 31)
}

/// Hash of two strings, which depends on their order.
pub fn pair_hash(a: &str, b: &str) -> u64 {
    mix(id_hash(a), id_hash(b))
}

/// Sorts items by their rendezvous weight for the hash `key`, highest first.
pub fn sort_by_rank<T>(key: u64, items: &mut [T], hash: impl Fn(&T) -> u64) {
    items.sort_by_cached_key(|t| {
        let hash = hash(t);
        Reverse((mix(key, hash), hash))
    });
}
