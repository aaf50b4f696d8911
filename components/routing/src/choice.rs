use std::time::Duration;

use crate::{AffinityTable, Candidate};

/// Upstreams drawn at random for one choice.
const SAMPLES: usize = 4;
/// Upstreams looked at in turn when no drawn one is available.
const PROBES: usize = 32;
/// Prefix affinity holds while the preferred upstream uses at most this share
/// of its limit, in percent.
const AFFINITY_PERCENT: u32 = 75;

/// A prompt's prefix and where prefixes belong.
#[derive(Debug, Clone, Copy)]
pub struct Prefix<'a> {
    /// Hash of the prefix.
    pub hash: u64,
    /// Homes among the candidates of the choice.
    pub affinity: &'a AffinityTable,
}

/// What a choice is made for.
#[derive(Debug, Clone, Copy, Default)]
pub struct Criteria<'a> {
    /// The prompt's prefix, if the upstreams cache prefixes.
    pub prefix: Option<Prefix<'a>>,
    /// Keys of upstreams that were tried before.
    pub tried: &'a [u64],
}

/// The result of a choice.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Choice {
    /// Index of the chosen upstream.
    Upstream(usize),
    /// Upstreams are open but none has room now.
    Full,
    /// No upstream is open.
    Closed,
}

/// Chooses an upstream at `now`.
///
/// The cost is bounded by the samples and probes, whatever the number of candidates.
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
        .filter(|&i| fits(now, &candidates[i], criteria))
        .min_by_key(|&i| candidates[i].expected_latency());
    match best {
        Some(i) => Choice::Upstream(i),
        None => probe(now, candidates, criteria, rng),
    }
}

/// The upstream that a prefix belongs to, while its load allows it.
fn preferred(now: Duration, candidates: &[Candidate], criteria: Criteria<'_>) -> Option<usize> {
    let prefix = criteria.prefix?;
    prefix
        .affinity
        .preferred(prefix.hash)
        .into_iter()
        .find(|&i| {
            candidates.get(i).is_some_and(|c| {
                let used = (c.others_outstanding + c.outstanding) * 100;
                fits(now, c, criteria) && used <= c.limit * AFFINITY_PERCENT
            })
        })
}

fn probe(
    now: Duration,
    candidates: &[Candidate],
    criteria: Criteria<'_>,
    rng: &mut fastrand::Rng,
) -> Choice {
    let start = rng.usize(..candidates.len());
    let mut open = false;
    for step in 0..PROBES.min(candidates.len()) {
        let i = (start + step) % candidates.len();
        open |= candidates[i].open;
        if fits(now, &candidates[i], criteria) {
            return Choice::Upstream(i);
        }
    }
    if open { Choice::Full } else { Choice::Closed }
}

fn fits(now: Duration, c: &Candidate, criteria: Criteria<'_>) -> bool {
    c.is_available(now) && !criteria.tried.contains(&c.key)
}
