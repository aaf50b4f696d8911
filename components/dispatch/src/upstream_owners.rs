use std::collections::{BTreeMap, HashMap};

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
    /// Entries, to which the values of `owners` are indices.
    entries: Vec<VmId>,
    owners: HashMap<u32, usize>,
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
        let eligible = eligible_entries(&entries, &upstreams);
        let mut owned = vec![0_u32; entries.len()];
        let mut owners = HashMap::with_capacity(upstreams.len());
        for (tag, region) in upstreams {
            // The next owner is the entry with the fewest upstreams for its demand.
            let load = |i: usize| f64::from(owned[i] + 1) / f64::from(entries[i].demand.max(1));
            let eligible = eligible.get(region).into_iter().flatten();
            let next = eligible
                .copied()
                .min_by(|a, b| load(*a).total_cmp(&load(*b)));
            if let Some(i) = next {
                owned[i] += 1;
                owners.insert(*tag, i);
            }
        }
        let entries = entries.iter().map(|e| e.vm.clone()).collect();
        UpstreamOwners { entries, owners }
    }

    /// How `entry` may use the upstream with tag `tag`.
    pub fn ownership(&self, entry: &str, tag: u32) -> Ownership {
        let owner = self.owners.get(&tag).and_then(|i| self.entries.get(*i));
        match owner {
            None => Ownership::Shared,
            Some(owner) if owner == entry => Ownership::Own,
            Some(_) => Ownership::Foreign,
        }
    }
}

/// Entries that may own the upstreams of each region: those of the region and of regions
/// without upstreams, or all if there are none.
fn eligible_entries<'a>(
    entries: &[&EntryDemand],
    upstreams: &[&'a (u32, RegionId)],
) -> BTreeMap<&'a RegionId, Vec<usize>> {
    let mut eligible: BTreeMap<&RegionId, Vec<usize>> =
        upstreams.iter().map(|(_, r)| (r, Vec::new())).collect();
    let is_remote = |e: &EntryDemand| !eligible.contains_key(&e.region);
    let remote: Vec<bool> = entries.iter().map(|e| is_remote(e)).collect();
    for (region, list) in &mut eligible {
        let may_own = |i: &usize| remote[*i] || entries[*i].region == **region;
        list.extend((0..entries.len()).filter(may_own));
        if list.is_empty() {
            list.extend(0..entries.len());
        }
    }
    eligible
}
