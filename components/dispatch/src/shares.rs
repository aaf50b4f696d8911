use std::collections::HashMap;

use domain::{RegionId, VmId};

/// Which entry fills which upstream.
///
/// Answers the fleet in which a dozen entries see the same free place and all send
/// there before any has heard of the others: what an entry knows is 60 ms old, and
/// in that time an engine's last places are taken several times over. Each upstream
/// belongs to one entry of its region; only that one takes its last places.
#[derive(Debug, Default)]
pub struct Shares {
    owners: HashMap<u32, VmId>,
}

impl Shares {
    /// Spreads `upstreams`, each with its tag and region, over `entries`. All
    /// entries that know the same of both come to the same result.
    pub fn new(entries: &[(VmId, RegionId)], upstreams: &[(u32, RegionId)]) -> Self {
        let mut entries: Vec<&(VmId, RegionId)> = entries.iter().collect();
        entries.sort();
        let mut upstreams: Vec<&(u32, RegionId)> = upstreams.iter().collect();
        upstreams.sort();
        let served = |region: &RegionId| upstreams.iter().any(|(_, r)| r == region);
        let mut able: HashMap<&RegionId, Vec<&VmId>> = HashMap::new();
        for (_, region) in &upstreams {
            able.entry(region).or_insert_with(|| {
                // Entries of regions without upstreams fill those of all others.
                let near = |r: &RegionId| r == region || !served(r);
                let near = entries.iter().filter(|(_, r)| near(r));
                let vms: Vec<&VmId> = near.map(|(vm, _)| vm).collect();
                match vms.is_empty() {
                    true => entries.iter().map(|(vm, _)| vm).collect(),
                    false => vms,
                }
            });
        }
        let mut turns: HashMap<&RegionId, usize> = HashMap::new();
        let mut owners = HashMap::new();
        for (tag, region) in &upstreams {
            let turn = turns.entry(region).or_default();
            let vms = &able[region];
            if let Some(vm) = vms.get(*turn % vms.len().max(1)) {
                owners.insert(*tag, (*vm).clone());
            }
            *turn += 1;
        }
        Shares { owners }
    }

    /// Whether `entry` fills the upstream with this tag. One that nobody has been
    /// given yet is filled by all.
    pub fn owns(&self, entry: &str, tag: u32) -> bool {
        self.owners.get(&tag).is_none_or(|owner| owner == entry)
    }
}
