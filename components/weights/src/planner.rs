use std::collections::HashMap;
use std::time::Duration;

use config::{Digest, VmId};

use crate::{Manifest, Source, Sources};

/// Delay before a chunk is requested again from a peer that does not have it yet.
const NOT_AVAILABLE_DELAY: Duration = Duration::from_millis(50);
/// Time without success after which such a chunk is fetched from another source.
const NOT_AVAILABLE_TIMEOUT: Duration = Duration::from_secs(4);
/// Time for which a peer is avoided after a failed fetch.
const AVOID_TIME: Duration = Duration::from_secs(5);
/// Time for which a peer is avoided after it sent bytes with another digest.
const CORRUPT_AVOID_TIME: Duration = Duration::from_secs(60);
/// Delay before a chunk is fetched again after the origin failed.
const ORIGIN_RETRY_DELAY: Duration = Duration::from_millis(200);

/// A chunk to fetch and its source.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Fetch {
    /// Index of the chunk.
    pub index: usize,
    /// Digest of the chunk.
    pub digest: Digest,
    /// Source to fetch it from.
    pub source: Source,
}

/// What to do next.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Step {
    /// Start this fetch.
    Fetch(Fetch),
    /// No fetch can start before this time, unless one in flight ends earlier.
    Wait(Duration),
    /// Every chunk is verified.
    Complete,
}

/// Why a fetch failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FetchError {
    /// The peer does not have the chunk yet.
    NotAvailable,
    /// The source could not be reached, or sent nothing for too long.
    Unreachable,
    /// The bytes do not have the digest of the chunk.
    Corrupt,
}

#[derive(Debug, Clone)]
enum Chunk {
    Missing {
        not_before: Duration,
        unavailable_since: Option<Duration>,
    },
    Fetching {
        unavailable_since: Option<Duration>,
    },
    Verified,
}

/// Plans the fetches of one agent: which chunk is next, and from which source.
#[derive(Debug)]
pub struct Planner {
    digests: Vec<Digest>,
    chunks: Vec<Chunk>,
    order: Vec<usize>,
    sources: Sources,
    avoid_until: HashMap<VmId, Duration>,
    verified: usize,
}

impl Planner {
    /// Plans the fetches of the chunks of `manifest`, without those for which
    /// `is_verified` returns true.
    pub fn new(
        manifest: &Manifest,
        sources: Sources,
        is_verified: impl Fn(&Digest) -> bool,
    ) -> Self {
        let digests = manifest.chunks.clone();
        let state = |d: &Digest| match is_verified(d) {
            true => Chunk::Verified,
            false => missing(Duration::ZERO),
        };
        let chunks: Vec<Chunk> = digests.iter().map(state).collect();
        let verified = chunks
            .iter()
            .filter(|c| matches!(c, Chunk::Verified))
            .count();
        let order = fetch_order(&digests, &sources);
        Planner {
            digests,
            chunks,
            order,
            sources,
            avoid_until: HashMap::new(),
            verified,
        }
    }

    /// Number of verified chunks.
    pub fn verified(&self) -> usize {
        self.verified
    }

    /// Number of chunks of the version.
    pub fn total(&self) -> usize {
        self.chunks.len()
    }

    /// Replaces the sources after the list of peers has changed.
    pub fn set_sources(&mut self, sources: Sources) {
        self.order = fetch_order(&self.digests, &sources);
        self.sources = sources;
    }

    /// Returns the next fetch, the time until which to wait, or completion.
    pub fn next_step(&mut self, now: Duration) -> Step {
        if self.verified == self.chunks.len() {
            return Step::Complete;
        }
        let mut wake = Duration::MAX;
        for position in 0..self.order.len() {
            let index = self.order[position];
            if let Chunk::Missing {
                not_before,
                unavailable_since,
            } = self.chunks[index]
            {
                if not_before <= now {
                    return self.start_fetch(now, index, unavailable_since);
                }
                wake = wake.min(not_before);
            }
        }
        Step::Wait(wake)
    }

    /// Records that a chunk was verified and cached.
    pub fn record_success(&mut self, index: usize) {
        if !matches!(self.chunks[index], Chunk::Verified) {
            self.chunks[index] = Chunk::Verified;
            self.verified += 1;
        }
    }

    /// Records that a fetch failed.
    pub fn record_failure(&mut self, now: Duration, fetch: &Fetch, error: FetchError) {
        let Chunk::Fetching { unavailable_since } = self.chunks[fetch.index] else {
            return;
        };
        self.chunks[fetch.index] = match (&fetch.source, error) {
            (Source::Origin, _) => missing(now + ORIGIN_RETRY_DELAY),
            (Source::Peer(p), FetchError::NotAvailable) => {
                let since = unavailable_since.unwrap_or(now);
                if now.saturating_sub(since) >= NOT_AVAILABLE_TIMEOUT {
                    self.avoid_until.insert(p.vm.clone(), now + AVOID_TIME);
                    missing(now)
                } else {
                    Chunk::Missing {
                        not_before: now + NOT_AVAILABLE_DELAY,
                        unavailable_since: Some(since),
                    }
                }
            }
            (Source::Peer(p), FetchError::Unreachable) => {
                self.avoid_until.insert(p.vm.clone(), now + AVOID_TIME);
                missing(now)
            }
            (Source::Peer(p), FetchError::Corrupt) => {
                self.avoid_until
                    .insert(p.vm.clone(), now + CORRUPT_AVOID_TIME);
                missing(now)
            }
        };
    }

    fn start_fetch(
        &mut self,
        now: Duration,
        index: usize,
        unavailable_since: Option<Duration>,
    ) -> Step {
        self.chunks[index] = Chunk::Fetching { unavailable_since };
        let digest = self.digests[index];
        let source = self.choose_source(now, &digest);
        Step::Fetch(Fetch {
            index,
            digest,
            source,
        })
    }

    fn choose_source(&self, now: Duration, digest: &Digest) -> Source {
        let is_usable = |s: &Source| match s {
            Source::Origin => true,
            Source::Peer(p) => self
                .avoid_until
                .get(&p.vm)
                .is_none_or(|&until| until <= now),
        };
        self.sources
            .preferred(digest)
            .into_iter()
            .find(is_usable)
            .unwrap_or(Source::Origin)
    }
}

fn missing(not_before: Duration) -> Chunk {
    Chunk::Missing {
        not_before,
        unavailable_since: None,
    }
}

/// Order in which chunks are fetched: first those that the agent owns, because the
/// other agents of its region wait for them, then the others in an order that
/// differs from agent to agent, so that they do not all fetch from the same owner at once.
fn fetch_order(digests: &[Digest], sources: &Sources) -> Vec<usize> {
    let mut order: Vec<usize> = (0..digests.len()).collect();
    order.sort_by_cached_key(|&i| {
        (
            !sources.is_owner(&digests[i]),
            sources.shuffle_key(&digests[i]),
        )
    });
    order
}
