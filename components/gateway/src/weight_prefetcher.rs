use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use domain::{ModelId, ModelSource, Platform, WeightVersion};
use feed::Feed;
use pieces::{Downloader, Peers, PieceCache, TargetVersion};
use smol::Task;
use transport::{spawn, with_timeout};

/// Versions of a model to cache: the current one and its successor.
const CACHED_VERSIONS: usize = 2;
/// Longest time between two checks of the declared versions.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Downloads the declared weights into the cache of this entry, from which the
/// agents of the region fetch them.
///
/// A new version has to reach every engine within seconds, and the link of an
/// entry has many times the bandwidth of an agent's.
pub struct WeightPrefetcher<P: Platform> {
    feed: Arc<Feed<P>>,
    cache: Arc<PieceCache>,
    peers: Arc<Peers<P>>,
}

impl<P: Platform> WeightPrefetcher<P> {
    /// A prefetcher that fills `cache` with pieces from `peers` and origins.
    pub fn new(feed: Arc<Feed<P>>, cache: Arc<PieceCache>, peers: Arc<Peers<P>>) -> Self {
        WeightPrefetcher { feed, cache, peers }
    }

    /// Downloads declared versions and drops others until the task is dropped.
    pub async fn run(self) {
        let mut downloads: HashMap<(ModelId, WeightVersion), Task<()>> = HashMap::new();
        loop {
            let changed = self.feed.listen();
            let targets = self.target_versions();
            let wanted = |version| targets.iter().any(|t| t.version == version);
            downloads.retain(|(_, version), _| wanted(*version));
            self.cache.retain_versions(wanted);
            for target in targets {
                let key = (target.model.clone(), target.version);
                downloads.entry(key).or_insert_with(|| {
                    let downloader = Downloader::new(self.peers.clone(), target);
                    spawn(downloader.run(std::future::ready(())))
                });
            }
            with_timeout(CHECK_INTERVAL, changed).await;
        }
    }

    fn target_versions(&self) -> Vec<TargetVersion> {
        self.feed.view(|v| {
            let newest = |s: &ModelSource| TargetVersion::newest(v, &s.service, CACHED_VERSIONS);
            v.sources().iter().flat_map(newest).collect()
        })
    }
}
