/// Hash slots of prompt prefixes.
const SLOTS: u64 = 256;

/// The two preferred upstreams of each prompt prefix, by rendezvous hashing.
///
/// Requests with the same prefix prefer the same upstreams, whose prefix caches
/// then hold it. The table is built when the candidates change, so that a choice
/// is only a lookup. An upstream that joins or leaves changes only the prefixes
/// that prefer it.
#[derive(Debug, Clone, Default)]
pub struct AffinityTable {
    slots: Vec<[usize; 2]>,
}

impl AffinityTable {
    /// Table for candidates with these keys, in the order of the candidates.
    pub fn new(keys: &[u64]) -> Self {
        if keys.is_empty() {
            return AffinityTable::default();
        }
        let slots = (0..SLOTS).map(|slot| best_two(slot, keys)).collect();
        AffinityTable { slots }
    }

    /// Indices of the first and second preferred upstream of a prefix;
    /// `usize::MAX` when there are no candidates.
    pub fn preferred(&self, prefix: u64) -> [usize; 2] {
        let slot = usize::try_from(prefix % SLOTS).unwrap_or(0);
        self.slots.get(slot).copied().unwrap_or([usize::MAX; 2])
    }
}

fn best_two(slot: u64, keys: &[u64]) -> [usize; 2] {
    let mut ranked: [(u64, usize); 2] = [(0, 0); 2];
    for (i, key) in keys.iter().enumerate() {
        let weight = (fleet::mix(slot, *key), i);
        if weight > ranked[0] {
            ranked = [weight, ranked[0]];
        } else if weight > ranked[1] {
            ranked[1] = weight;
        }
    }
    ranked.map(|(_, i)| i)
}
