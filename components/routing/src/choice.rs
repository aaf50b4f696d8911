use std::time::Duration;

use crate::{AffinityTable, Candidate};

/// Upstreams sampled at random for one choice.
const SAMPLES: usize = 4;
/// Most upstreams scanned in order when no sampled one is eligible.
const MAX_SCANNED: usize = 32;
/// A preferred upstream is chosen while it uses at most this percentage of its
/// limit.
const AFFINITY_PERCENT: u32 = 75;

/// A prompt's prefix and the table of preferred upstreams.
#[derive(Debug, Clone, Copy)]
pub struct Prefix<'a> {
    /// Hash of the prefix.
    pub hash: u64,
    /// Preferred upstreams among the candidates of the choice.
    pub affinity: &'a AffinityTable,
}

/// Criteria of a choice.
#[derive(Debug, Clone, Copy, Default)]
pub struct Criteria<'a> {
    /// The prompt's prefix, if the upstreams cache prefixes.
    pub prefix: Option<Prefix<'a>>,
    /// Keys of upstreams to exclude because they were tried before.
    pub tried: &'a [u64],
}

/// The result of a choice.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Choice {
    /// Index of the chosen upstream.
    Upstream(usize),
    /// Upstreams are open, but none can take the request now.
    Full,
    /// No upstream is open.
    Closed,
}

/// Chooses an upstream at `now`.
///
/// The work is bounded by the sampled and scanned upstreams, whatever the number
/// of candidates.
pub fn choose(
    now: Duration,
    candidates: &[Candidate],
    criteria: Criteria<'_>,
    rng: &mut fastrand::Rng,
) -> Choice {
    if candidates.is_empty() {
        return Choice::Closed;
    }
    if let Some(i) = preferred(now, candidates, criteria) {
        return Choice::Upstream(i);
    }
    let best = (0..SAMPLES)
        .map(|_| rng.usize(..candidates.len()))
        .filter(|&i| is_eligible(now, &candidates[i], criteria))
        .min_by_key(|&i| candidates[i].expected_latency());
    match best {
        Some(i) => Choice::Upstream(i),
        None => scan(now, candidates, criteria, rng),
    }
}

/// The preferred upstream of the prefix, if one is eligible and lightly loaded.
fn preferred(now: Duration, candidates: &[Candidate], criteria: Criteria<'_>) -> Option<usize> {
    let prefix = criteria.prefix?;
    prefix
        .affinity
        .preferred(prefix.hash)
        .into_iter()
        .find(|&i| {
            candidates.get(i).is_some_and(|c| {
                let used = (c.others_outstanding + c.outstanding) * 100;
                is_eligible(now, c, criteria) && used <= c.limit * AFFINITY_PERCENT
            })
        })
}

/// Chooses the first eligible upstream in order from a random start.
fn scan(
    now: Duration,
    candidates: &[Candidate],
    criteria: Criteria<'_>,
    rng: &mut fastrand::Rng,
) -> Choice {
    let start = rng.usize(..candidates.len());
    let mut open = false;
    for step in 0..MAX_SCANNED.min(candidates.len()) {
        let i = (start + step) % candidates.len();
        open |= candidates[i].open;
        if is_eligible(now, &candidates[i], criteria) {
            return Choice::Upstream(i);
        }
    }
    if open { Choice::Full } else { Choice::Closed }
}

fn is_eligible(now: Duration, c: &Candidate, criteria: Criteria<'_>) -> bool {
    c.is_available(now) && !criteria.tried.contains(&c.key)
}
