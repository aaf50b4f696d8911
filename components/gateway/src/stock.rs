use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use domain::{ModelId, ModelSource, Platform, WeightVersion};
use feed::Feed;
use pieces::{Depot, Gatherer, Goal, Neighbours};
use smol::Task;
use transport::{spawn, within};

/// Versions of a model that are kept: the one in force and its successor.
const VERSIONS: usize = 2;
/// Longest time between two looks at what is declared.
const LOOK_PAUSE: Duration = Duration::from_secs(1);

/// Keeps declared weights near to the agents of the region.
///
/// Answers a new version that has to be at every engine within seconds: an
/// entry's link is many times as wide as an agent's.
pub struct Stock<P: Platform> {
    feed: Arc<Feed<P>>,
    depot: Arc<Depot>,
    neighbours: Arc<Neighbours<P>>,
}

impl<P: Platform> Stock<P> {
    /// An empty stock.
    pub fn new(feed: Arc<Feed<P>>, depot: Arc<Depot>, neighbours: Arc<Neighbours<P>>) -> Self {
        Stock {
            feed,
            depot,
            neighbours,
        }
    }

    /// Brings what is declared until the task is dropped.
    pub async fn run(self) {
        let mut gathering: HashMap<(ModelId, WeightVersion), Task<()>> = HashMap::new();
        loop {
            let changed = self.feed.listen();
            let goals = self.goals();
            let wanted = |version| goals.iter().any(|g| g.version == version);
            gathering.retain(|(_, version), _| wanted(*version));
            self.depot.retain(wanted);
            for goal in goals {
                let key = (goal.model.clone(), goal.version);
                gathering.entry(key).or_insert_with(|| {
                    let gatherer = Gatherer::new(self.neighbours.clone(), goal);
                    spawn(gatherer.run(std::future::ready(())))
                });
            }
            within(LOOK_PAUSE, changed).await;
        }
    }

    fn goals(&self) -> Vec<Goal> {
        self.feed.view(|v| {
            let newest = |s: &ModelSource| Goal::newest(v, &s.service, VERSIONS);
            v.supplies().iter().flat_map(newest).collect()
        })
    }
}
