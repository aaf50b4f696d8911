use std::ops::Range;
use std::time::Duration;

use dispatch::PromptPrefix;
use domain::{Moment, PromptPart};
use fastrand::Rng;

use crate::Request;

/// A kind of request, from the users' load tables.
#[derive(Debug, Clone, Copy)]
pub struct Kind {
    /// Name.
    pub name: &'static str,
    /// Priority, 0 first.
    pub priority: u8,
    /// Share of all requests of its pattern, 0 to 1.
    pub share: f64,
    /// Mean tokens in a prompt.
    pub mean_prompt: f64,
    /// Mean tokens in an output.
    pub mean_output: f64,
    /// Time to the first token within which a response is on time.
    pub target_latency: Duration,
    /// Value of a response that is on time, and of a late one.
    pub value: (f64, f64),
}

/// Longest time that a caller waits, from the users' load tables.
const TIMEOUT: Duration = Duration::from_secs(6);
/// Largest fraction by which a caller's timeout is shortened at random.
const TIMEOUT_JITTER: f64 = 0.15;
/// Standard deviation of the logarithm of token counts.
const SIZE_SPREAD: f64 = 0.7;
/// Standard deviation of the logarithm of expected relative to actual output tokens.
const EXPECTED_SPREAD: f64 = 0.5;
/// Largest token count, relative to the mean.
const MAX_FACTOR: f64 = 3.0;

/// Indices of the kinds of one priority, which most patterns use.
pub(crate) const EQUAL_KINDS: Range<usize> = 0..3;
/// Indices of the kinds of priorities 0, 1 and 2.
pub(crate) const RANKED_KINDS: Range<usize> = 3..6;

/// The kinds of requests that model engines serve: three of equal priority, then three of
/// priorities 0, 1 and 2.
pub fn kinds() -> [Kind; 6] {
    let kind =
        |name, priority, share, mean_prompt, mean_output, target_latency, value: (f64, f64)| Kind {
            name,
            priority,
            share,
            mean_prompt,
            mean_output,
            target_latency: Duration::from_millis(target_latency),
            value,
        };
    [
        kind("draft", 1, 0.406, 1330.0, 104.0, 500, (2.4, 0.6)),
        kind("summary", 1, 0.308, 827.0, 104.0, 400, (2.0, 0.5)),
        kind("note", 1, 0.286, 647.0, 70.0, 400, (1.5, 0.37)),
        kind("first", 0, 0.426, 827.0, 104.0, 400, (3.2, 0.8)),
        kind("second", 1, 0.235, 647.0, 70.0, 400, (1.3, 0.33)),
        kind("third", 2, 0.339, 1330.0, 104.0, 1000, (1.0, 0.25)),
    ]
}

/// A random request of `account` that arrives at `now`; `rates` are those of the kinds of its
/// pattern, which begin at index `first`.
pub fn random_request(
    rng: &mut Rng,
    id: u64,
    now: Moment,
    account: usize,
    (first, rates): (usize, [f64; 3]),
) -> Request {
    let kinds = kinds();
    let mut remaining = rng.f64() * rates.iter().sum::<f64>();
    let found = rates.iter().position(|rate| {
        remaining -= rate;
        remaining <= 0.0
    });
    let kind = first + found.unwrap_or(rates.len() - 1);
    let tokens = |mean: f64, factor: f64| (mean * factor.min(MAX_FACTOR)).max(4.0) as u32;
    let prompt = tokens(kinds[kind].mean_prompt, random_factor(rng, SIZE_SPREAD));
    let output = tokens(kinds[kind].mean_output, random_factor(rng, SIZE_SPREAD));
    let expected_tokens = tokens(f64::from(output), random_factor(rng, EXPECTED_SPREAD));
    let timeout = TIMEOUT.mul_f64(1.0 - TIMEOUT_JITTER * rng.f64());
    Request {
        id,
        kind,
        account,
        prompt,
        prefix: PromptPrefix::default(),
        output,
        expected_tokens,
        first_attempt: now,
        deadline: now + timeout,
        retries: 0,
        impatient: false,
        cancel_after: None,
    }
}

/// Replaces most of the prompt by one of `parts` shared parts of `tokens` tokens, some of which
/// are much more popular than others. A third of the prompt stays the request's own.
pub fn share_prompt(rng: &mut Rng, request: &mut Request, parts: u32, tokens: u32) {
    // Squaring makes a few parts popular.
    let part = (rng.f64().powi(2) * f64::from(parts)) as u64;
    let own = (request.prompt / 3).max(1);
    let shared = PromptPart { id: part, tokens };
    let last = PromptPart {
        id: rng.u64(..),
        tokens: own,
    };
    request.prompt = tokens + own;
    request.prefix = PromptPrefix::new(None, &[shared, last]);
}

/// A random factor of mean 1 from a log-normal distribution; `deviation` is the
/// standard deviation of its logarithm.
fn random_factor(rng: &mut Rng, deviation: f64) -> f64 {
    let (a, b) = (rng.f64().max(1e-12), rng.f64());
    let normal = (-2.0 * a.ln()).sqrt() * (std::f64::consts::TAU * b).cos();
    (deviation * normal - deviation * deviation / 2.0).exp()
}
