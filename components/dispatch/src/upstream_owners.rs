use std::collections::HashMap;

use domain::{RegionId, VmId};

/// How an entry may use an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Ownership {
    /// Nobody has been given it yet: all entries fill it.
    Shared,
    /// This entry fills it.
    Own,
    /// Another entry fills it.
    Foreign,
}

/// An entry among which upstreams are shared out.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct EntryDemand {
    /// Its VM.
    pub vm: VmId,
    /// Its region.
    pub region: RegionId,
    /// Requests a second that it gets.
    pub demand: u16,
}

/// Which entry fills which upstream.
///
/// Answers the fleet in which a dozen entries see the same free place and all send
/// there before any has heard of the others: what an entry knows is 60 ms old, and
/// in that time an engine's last places are taken several times over. Each upstream
/// belongs to one entry of its region; only that one takes its last places.
#[derive(Debug, Default)]
pub struct UpstreamOwners {
    owners: HashMap<u32, VmId>,
}

impl UpstreamOwners {
    /// Spreads `upstreams`, each with its tag and region, over entries by their
    /// demand. All entries that know the same come to the same result.
    pub fn new(entries: &[EntryDemand], upstreams: &[(u32, RegionId)]) -> Self {
        let mut entries: Vec<&EntryDemand> = entries.iter().collect();
        entries.sort();
        let mut upstreams: Vec<&(u32, RegionId)> = upstreams.iter().collect();
        upstreams.sort();
        let served = |region: &RegionId| upstreams.iter().any(|(_, r)| r == region);
        // Entries of regions without upstreams fill those of all others.
        let homeless: Vec<bool> = entries.iter().map(|e| !served(&e.region)).collect();
        let mut given = vec![0_u32; entries.len()];
        let mut owners = HashMap::new();
        for (tag, region) in upstreams {
            let near = |i: &usize| homeless[*i] || entries[*i].region == *region;
            let lonely = !(0..entries.len()).any(|i| near(&i));
            // The one that has the least for its demand is next.
            let next = (0..entries.len())
                .filter(|i| lonely || near(i))
                .min_by(|a, b| {
                    let load =
                        |i: usize| f64::from(given[i] + 1) / f64::from(entries[i].demand.max(1));
                    load(*a).total_cmp(&load(*b))
                });
            if let Some(i) = next {
                given[i] += 1;
                owners.insert(*tag, entries[i].vm.clone());
            }
        }
        UpstreamOwners { owners }
    }

    /// How `entry` may use the upstream with this tag.
    pub fn ownership(&self, entry: &str, tag: u32) -> Ownership {
        match self.owners.get(&tag) {
            None => Ownership::Shared,
            Some(owner) if owner == entry => Ownership::Own,
            Some(_) => Ownership::Foreign,
        }
    }
}
