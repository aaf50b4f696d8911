use std::collections::HashMap;
use std::time::Duration;

use domain::{Moment, RegionId};

use crate::UpstreamLoad;

/// Longest interval between two notices to an entry of another region.
const FAR_INTERVAL: Duration = Duration::from_millis(240);

/// Decides in each round of notices which regions get one.
///
/// Entries mostly use the upstreams of their own region, so those of other regions need
/// the loads that concern them at once and the rest from time to time. In a fleet of many
/// regions, notices to all entries in each round take more of the links between regions
/// than the requests do.
#[derive(Debug, Default)]
pub struct NoticeRounds {
    last: HashMap<RegionId, LastNotice>,
}

/// Last notice to the entries of a region.
#[derive(Debug)]
struct LastNotice {
    at: Moment,
    /// Loads of the region's upstreams, by tag.
    loads: Vec<(u32, UpstreamLoad)>,
}

impl NoticeRounds {
    /// Whether the entries of `region`, which is not the own one, get a notice now. `loads`
    /// are the own loads of the upstreams of that region, by tag.
    pub fn is_due(
        &mut self,
        now: Moment,
        region: &RegionId,
        mut loads: Vec<(u32, UpstreamLoad)>,
    ) -> bool {
        loads.sort_unstable();
        let last = self.last.get(region);
        let is_due = last.is_none_or(|l| now >= l.at + FAR_INTERVAL || l.loads != loads);
        if is_due {
            let last = LastNotice { at: now, loads };
            self.last.insert(region.clone(), last);
        }
        is_due
    }
}
