use std::collections::{BTreeMap, HashMap};

use domain::{RegionId, VmId};
use fleet::{id_hash, mix};

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
/// takes its last slots. An upstream that opens has free slots for all of them at once;
/// each entry has a turn then, so that those with a later one know what the others sent.
#[derive(Debug, Default)]
pub struct UpstreamOwners {
    /// Entries and the hashes of their names. The other fields hold indices of them.
    entries: Vec<(VmId, u64)>,
    owners: HashMap<u32, usize>,
    /// Entries that may own the upstreams of each region.
    eligible: BTreeMap<RegionId, Vec<usize>>,
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
        let eligible = eligible.into_iter().map(|(r, list)| (r.clone(), list));
        let named = entries.iter().map(|e| (e.vm.clone(), id_hash(&e.vm)));
        UpstreamOwners {
            entries: named.collect(),
            owners,
            eligible: eligible.collect(),
        }
    }

    /// How `entry` may use the upstream with tag `tag`.
    pub fn ownership(&self, entry: &str, tag: u32) -> Ownership {
        let owner = self.owners.get(&tag).and_then(|i| self.entries.get(*i));
        match owner {
            None => Ownership::Shared,
            Some((owner, _)) if owner == entry => Ownership::Own,
            Some(_) => Ownership::Foreign,
        }
    }

    /// Number of entries that send to the upstream with tag `tag` in `region` before `entry`
    /// does when it opens: its owner, and others in an order that differs between upstreams.
    /// Entries of other regions come last.
    pub fn turn(&self, entry: &str, tag: u32, region: &str) -> u32 {
        let Some(&owner) = self.owners.get(&tag) else {
            return 0;
        };
        let eligible = self.eligible.get(region).map_or(&[][..], Vec::as_slice);
        let rank = |i: usize| {
            let hash = self.entries.get(i).map_or(0, |(_, hash)| *hash);
            (i != owner, mix(u64::from(tag), hash), i)
        };
        let is_own = |i: &&usize| self.entries.get(**i).is_some_and(|(vm, _)| vm == entry);
        let Some(&own) = eligible.iter().find(is_own) else {
            return u32::MAX;
        };
        let before = eligible.iter().filter(|i| rank(**i) < rank(own)).count();
        u32::try_from(before).unwrap_or(u32::MAX)
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
