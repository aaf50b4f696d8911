/// Slots that prompt prefixes are spread over.
const SLOTS: u64 = 256;

/// The two upstreams that each prompt prefix belongs to, by rendezvous rank.
///
/// Made when the candidates change, so that a choice only looks them up. An
/// upstream that comes or goes moves only the prefixes that belong to it.
#[derive(Debug, Clone, Default)]
pub struct AffinityTable {
    slots: Vec<[usize; 2]>,
}

impl AffinityTable {
    /// Homes among candidates with these keys, in the order of the candidates.
    pub fn new(keys: &[u64]) -> Self {
        if keys.is_empty() {
            return AffinityTable::default();
        }
        let slots = (0..SLOTS).map(|slot| best_two(slot, keys)).collect();
        AffinityTable { slots }
    }

    /// Indices of the first and second home of a prefix.
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
