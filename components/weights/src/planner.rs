use std::collections::HashMap;
use std::time::Duration;

use config::{Digest, VmId};

use crate::{Manifest, Source, Sources};

/// Wait after a peer said that it does not have a chunk yet.
const NOT_AVAILABLE_WAIT: Duration = Duration::from_millis(50);
/// A chunk that a peer has not had for this long is sought elsewhere.
const NOT_AVAILABLE_LIMIT: Duration = Duration::from_secs(4);
/// How long a peer that failed is avoided.
const AVOID: Duration = Duration::from_secs(5);
/// How long a peer that sent corrupted bytes is avoided.
const AVOID_CORRUPT: Duration = Duration::from_secs(60);
/// Wait after the origin failed.
const ORIGIN_WAIT: Duration = Duration::from_millis(200);

/// One chunk to be fetched.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Fetch {
    /// Index of the chunk.
    pub index: usize,
    /// Digest of the chunk.
    pub digest: Digest,
    /// Where to fetch it.
    pub source: Source,
}

/// What to do next.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Step {
    /// Begin a fetch.
    Fetch(Fetch),
    /// Nothing to begin before this time, unless a fetch ends earlier.
    Wait(Duration),
    /// Every chunk is verified.
    Complete,
}

/// Why a fetch failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FetchError {
    /// The peer does not have the chunk yet.
    NotAvailable,
    /// The source could not be reached or was silent.
    Unreachable,
    /// The bytes do not have the chunk's digest.
    Corrupt,
}

#[derive(Debug, Clone)]
enum Chunk {
    Missing {
        not_before: Duration,
        asked: Option<Duration>,
    },
    Fetching {
        asked: Option<Duration>,
    },
    Verified,
}

/// Decides which chunk to fetch from whom.
#[derive(Debug)]
pub struct Planner {
    digests: Vec<Digest>,
    chunks: Vec<Chunk>,
    order: Vec<usize>,
    sources: Sources,
    avoided: HashMap<VmId, Duration>,
    verified: usize,
}

impl Planner {
    /// A plan for the chunks of `manifest`; `verified` tells which are verified already.
    pub fn new(manifest: &Manifest, sources: Sources, verified: impl Fn(&Digest) -> bool) -> Self {
        let digests = manifest.chunks.clone();
        let state = |d: &Digest| match verified(d) {
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
            avoided: HashMap::new(),
            verified,
        }
    }

    /// Verified chunks.
    pub fn verified(&self) -> usize {
        self.verified
    }

    /// Chunks of the version.
    pub fn total(&self) -> usize {
        self.chunks.len()
    }

    /// Takes over a changed list of peers.
    pub fn set_sources(&mut self, sources: Sources) {
        self.order = fetch_order(&self.digests, &sources);
        self.sources = sources;
    }

    /// What to do next.
    pub fn next_step(&mut self, now: Duration) -> Step {
        if self.verified == self.chunks.len() {
            return Step::Complete;
        }
        let mut wake = Duration::MAX;
        for position in 0..self.order.len() {
            let index = self.order[position];
            if let Chunk::Missing { not_before, asked } = self.chunks[index] {
                if not_before <= now {
                    return self.begin(now, index, asked);
                }
                wake = wake.min(not_before);
            }
        }
        Step::Wait(wake)
    }

    /// Records that a chunk was verified and kept.
    pub fn record_success(&mut self, index: usize) {
        if !matches!(self.chunks[index], Chunk::Verified) {
            self.chunks[index] = Chunk::Verified;
            self.verified += 1;
        }
    }

    /// Records that a fetch failed.
    pub fn record_failure(&mut self, now: Duration, fetch: &Fetch, error: FetchError) {
        let Chunk::Fetching { asked } = self.chunks[fetch.index] else {
            return;
        };
        self.chunks[fetch.index] = match (&fetch.source, error) {
            (Source::Origin, _) => missing(now + ORIGIN_WAIT),
            (Source::Peer(p), FetchError::NotAvailable) => {
                let since = asked.unwrap_or(now);
                if now.saturating_sub(since) >= NOT_AVAILABLE_LIMIT {
                    self.avoided.insert(p.vm.clone(), now + AVOID);
                    missing(now)
                } else {
                    Chunk::Missing {
                        not_before: now + NOT_AVAILABLE_WAIT,
                        asked: Some(since),
                    }
                }
            }
            (Source::Peer(p), FetchError::Unreachable) => {
                self.avoided.insert(p.vm.clone(), now + AVOID);
                missing(now)
            }
            (Source::Peer(p), FetchError::Corrupt) => {
                self.avoided.insert(p.vm.clone(), now + AVOID_CORRUPT);
                missing(now)
            }
        };
    }

    fn begin(&mut self, now: Duration, index: usize, asked: Option<Duration>) -> Step {
        self.chunks[index] = Chunk::Fetching { asked };
        let digest = self.digests[index];
        let source = self.source(now, &digest);
        Step::Fetch(Fetch {
            index,
            digest,
            source,
        })
    }

    fn source(&self, now: Duration, digest: &Digest) -> Source {
        let usable = |s: &Source| match s {
            Source::Origin => true,
            Source::Peer(p) => self.avoided.get(&p.vm).is_none_or(|&until| until <= now),
        };
        self.sources
            .preferred(digest)
            .into_iter()
            .find(usable)
            .unwrap_or(Source::Origin)
    }
}

fn missing(not_before: Duration) -> Chunk {
    Chunk::Missing {
        not_before,
        asked: None,
    }
}

/// Own homes first, because others wait for them; then an order that differs
/// from member to member, so that they do not all ask one home at a time.
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
