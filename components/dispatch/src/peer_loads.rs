use std::collections::HashMap;

use domain::VmId;

use crate::UpstreamLoad;

/// Loads that the other entries announce, and their sum for each upstream.
///
/// An entry of a large fleet receives hundreds of notices a second, and each one differs
/// from the one before in a few upstreams. The sums are updated by the difference, so that
/// the cost of a notice depends on what it names and not on the size of the fleet.
#[derive(Debug, Default)]
pub struct PeerLoads {
    /// Loads by the tag of the upstream, in order, for each entry.
    entries: HashMap<VmId, Vec<(u32, UpstreamLoad)>>,
    /// Sums of the upstreams with any load, by their tag.
    sums: HashMap<u32, UpstreamLoad>,
}

impl PeerLoads {
    /// Replaces the loads of an entry; returns the new sums of the upstreams whose sum has
    /// changed.
    pub fn replace(
        &mut self,
        entry: &VmId,
        mut loads: Vec<(u32, UpstreamLoad)>,
    ) -> Vec<(u32, UpstreamLoad)> {
        loads.sort_unstable();
        loads.dedup_by_key(|(tag, _)| *tag);
        let known = self.entries.entry(entry.clone()).or_default();
        let ended = difference(known, &loads);
        let begun = difference(&loads, known);
        *known = loads;
        self.update_sums(&ended, &begun)
    }

    /// Removes an entry; returns the new sums of the upstreams that it had loaded.
    pub fn remove(&mut self, entry: &str) -> Vec<(u32, UpstreamLoad)> {
        let ended = self.entries.remove(entry).unwrap_or_default();
        self.update_sums(&ended, &[])
    }

    /// Load of the upstream with tag `tag` from all other entries.
    pub fn sum(&self, tag: u32) -> UpstreamLoad {
        self.sums.get(&tag).copied().unwrap_or_default()
    }

    fn update_sums(
        &mut self,
        ended: &[(u32, UpstreamLoad)],
        begun: &[(u32, UpstreamLoad)],
    ) -> Vec<(u32, UpstreamLoad)> {
        for (tag, load) in begun {
            let sum = self.sums.entry(*tag).or_default();
            sum.requests = sum.requests.saturating_add(load.requests);
            sum.prefill_tokens = sum.prefill_tokens.saturating_add(load.prefill_tokens);
        }
        for (tag, load) in ended {
            let sum = self.sums.entry(*tag).or_default();
            sum.requests = sum.requests.saturating_sub(load.requests);
            sum.prefill_tokens = sum.prefill_tokens.saturating_sub(load.prefill_tokens);
        }
        let mut tags: Vec<u32> = ended.iter().chain(begun).map(|(tag, _)| *tag).collect();
        tags.sort_unstable();
        tags.dedup();
        let changed = tags.iter().map(|tag| (*tag, self.sum(*tag))).collect();
        for tag in tags {
            if self.sum(tag) == UpstreamLoad::default() {
                self.sums.remove(&tag);
            }
        }
        changed
    }
}

/// Elements of `a` that `b` does not contain; both are in order.
fn difference(a: &[(u32, UpstreamLoad)], b: &[(u32, UpstreamLoad)]) -> Vec<(u32, UpstreamLoad)> {
    let missing = a.iter().filter(|load| b.binary_search(load).is_err());
    missing.copied().collect()
}
