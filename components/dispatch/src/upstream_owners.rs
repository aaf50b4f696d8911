use std::collections::HashMap;

use domain::{RegionId, VmId};

/// How an entry may use an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Ownership {
    /// No entry owns it yet: all entries may use all of its slots.
    Shared,
    /// This entry owns it.
    Own,
    /// Another entry owns it, for which its last slots are reserved.
    Foreign,
}

/// An entry and the load that it receives.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct EntryDemand {
    /// Its VM.
    pub vm: VmId,
    /// Its region.
    pub region: RegionId,
    /// Requests a second that it receives.
    pub demand: u16,
}

/// Which entry owns which upstream.
///
/// An entry's view of the load is about 60 ms old. In a fleet of a dozen entries,
/// several would see the same free slots and take them at once. Each upstream is
/// therefore owned by one entry, of its region if there is one, and only the owner
/// takes its last slots.
#[derive(Debug, Default)]
pub struct UpstreamOwners {
    owners: HashMap<u32, VmId>,
}

impl UpstreamOwners {
    /// Distributes `upstreams`, each with its tag and region, over entries by their
    /// demand. The result depends only on the input, not on its order, so that all
    /// entries agree.
    pub fn new(entries: &[EntryDemand], upstreams: &[(u32, RegionId)]) -> Self {
        let mut entries: Vec<&EntryDemand> = entries.iter().collect();
        entries.sort();
        let mut upstreams: Vec<&(u32, RegionId)> = upstreams.iter().collect();
        upstreams.sort();
        let has_upstream = |region: &RegionId| upstreams.iter().any(|(_, r)| r == region);
        // Entries of regions without upstreams get upstreams of any region.
        let remote: Vec<bool> = entries.iter().map(|e| !has_upstream(&e.region)).collect();
        let mut owned = vec![0_u32; entries.len()];
        let mut owners = HashMap::new();
        for (tag, region) in upstreams {
            let eligible = |i: &usize| remote[*i] || entries[*i].region == *region;
            let none_eligible = !(0..entries.len()).any(|i| eligible(&i));
            // The next owner is the entry with the fewest upstreams for its demand.
            let next = (0..entries.len())
                .filter(|i| none_eligible || eligible(i))
                .min_by(|a, b| {
                    let load =
                        |i: usize| f64::from(owned[i] + 1) / f64::from(entries[i].demand.max(1));
                    load(*a).total_cmp(&load(*b))
                });
            if let Some(i) = next {
                owned[i] += 1;
                owners.insert(*tag, entries[i].vm.clone());
            }
        }
        UpstreamOwners { owners }
    }

    /// How `entry` may use the upstream with tag `tag`.
    pub fn ownership(&self, entry: &str, tag: u32) -> Ownership {
        match self.owners.get(&tag) {
            None => Ownership::Shared,
            Some(owner) if owner == entry => Ownership::Own,
            Some(_) => Ownership::Foreign,
        }
    }
}
