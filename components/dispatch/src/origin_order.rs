use std::collections::BTreeMap;
use std::time::Duration;

use domain::{Moment, WeightVersion};

/// Time without a new piece of a version, while the origin responds, after which later
/// versions are fetched beside it. The pieces in the queue of the origin take 0.4 s and the
/// notice of a piece 0.1 s; longer, and the link would be idle when importers have failed.
const PATIENCE: Duration = Duration::from_millis(600);
/// The same whether the origin responds or not, in case that it refuses pieces of the older
/// version in a way that looks like an outage.
const LONGEST_WAIT: Duration = Duration::from_secs(10);
/// Time after which a version whose progress is no longer recorded counts as dropped.
const DROPPED_AFTER: Duration = Duration::from_millis(1000);

/// Order in which a process fetches the versions of a model from their origin.
///
/// The link of the origin carries one copy of a version in some seconds. If versions follow
/// each other, the one with the nearer bound goes first, above all after an outage, when few of
/// its pieces are missing and all of the next one. A process decides by what it holds itself,
/// what others announce, and how the origin responds to its own requests.
#[derive(Debug, Default)]
pub struct OriginOrder {
    versions: BTreeMap<WeightVersion, Progress>,
    /// Since when each request of this process got a response.
    responds_since: Option<Moment>,
}

/// Progress of one version in the whole fleet, as far as this process knows.
#[derive(Debug)]
struct Progress {
    /// Most pieces that processes were known to hold; some may be lost again.
    most: usize,
    is_complete: bool,
    /// When a piece was held for the first time, or the version was first recorded.
    grown_at: Moment,
    recorded_at: Moment,
}

impl OriginOrder {
    /// Records that processes of the fleet hold `known` of the `count` pieces of a version.
    pub fn record_progress(
        &mut self,
        now: Moment,
        version: WeightVersion,
        known: usize,
        count: u32,
    ) {
        self.versions
            .retain(|_, p| now < p.recorded_at + DROPPED_AFTER);
        let progress = self.versions.entry(version).or_insert(Progress {
            most: known,
            is_complete: false,
            grown_at: now,
            recorded_at: now,
        });
        if known > progress.most {
            progress.most = known;
            progress.grown_at = now;
        }
        progress.is_complete = known >= usize::try_from(count).unwrap_or(usize::MAX);
        progress.recorded_at = now;
    }

    /// Records that the origin did or did not respond to a request. A refusal is a response.
    pub fn record_response(&mut self, now: Moment, responded: bool) {
        self.responds_since = match responded {
            true => self.responds_since.or(Some(now)),
            false => None,
        };
    }

    /// Since when each request of this process got a response; `None` if the last one did not.
    pub fn responds_since(&self) -> Option<Moment> {
        self.responds_since
    }

    /// Whether the origin is reserved for an older version than `version`, whose bound ends at
    /// `due`. After that, no older version is of use.
    pub fn is_reserved(&self, now: Moment, version: WeightVersion, due: Moment) -> bool {
        let mut older = self.versions.range(..version).map(|(_, p)| p);
        now < due && older.any(|p| self.is_first(now, p))
    }

    fn is_first(&self, now: Moment, older: &Progress) -> bool {
        let is_wanted = now < older.recorded_at + DROPPED_AFTER;
        let stalls_at = match self.responds_since {
            Some(since) => since.max(older.grown_at) + PATIENCE,
            None => older.grown_at + LONGEST_WAIT,
        };
        is_wanted && !older.is_complete && now < stalls_at
    }
}
