use std::time::Duration;

use domain::Moment;
use fastrand::Rng;

use crate::Request;

/// A kind of request, from the users' load tables.
#[derive(Debug, Clone, Copy)]
pub struct Kind {
    /// Name.
    pub name: &'static str,
    /// Share of all requests, 0 to 1.
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

/// The kinds of requests that model engines serve.
pub fn kinds() -> [Kind; 3] {
    let kind = |name, share, mean_prompt, mean_output, target_latency, value| Kind {
        name,
        share,
        mean_prompt,
        mean_output,
        target_latency: Duration::from_millis(target_latency),
        value,
    };
    [
        kind("draft", 0.406, 1330.0, 104.0, 500, (2.4, 0.6)),
        kind("summary", 0.308, 827.0, 104.0, 400, (2.0, 0.5)),
        kind("note", 0.286, 647.0, 70.0, 400, (1.5, 0.37)),
    ]
}

/// A random request of `account` that arrives at `now`.
pub fn random_request(rng: &mut Rng, id: u64, now: Moment, account: usize) -> Request {
    let kinds = kinds();
    let mut remaining = rng.f64();
    let found = kinds.iter().position(|k| {
        remaining -= k.share;
        remaining <= 0.0
    });
    let kind = found.unwrap_or(kinds.len() - 1);
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
        output,
        expected_tokens,
        first_attempt: now,
        deadline: now + timeout,
        retries: 0,
        impatient: false,
        cancel_after: None,
    }
}

/// A random factor of mean 1 from a log-normal distribution; `deviation` is the
/// standard deviation of its logarithm.
fn random_factor(rng: &mut Rng, deviation: f64) -> f64 {
    let (a, b) = (rng.f64().max(1e-12), rng.f64());
    let normal = (-2.0 * a.ln()).sqrt() * (std::f64::consts::TAU * b).cos();
    (deviation * normal - deviation * deviation / 2.0).exp()
}
