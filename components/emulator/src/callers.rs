use std::time::Duration;

use domain::Moment;
use fastrand::Rng;

use crate::Request;

/// A kind of request, after the users' tables.
#[derive(Debug, Clone, Copy)]
pub struct Kind {
    /// Its name.
    pub name: &'static str,
    /// Share of all requests.
    pub share: f64,
    /// Mean tokens of prompts.
    pub mean_prompt: f64,
    /// Mean tokens of answers.
    pub mean_output: f64,
    /// Time to the first token within which it has its full value.
    pub target_latency: Duration,
    /// Value of an answer on time, and late.
    pub value: (f64, f64),
}

/// Time for which callers wait, after the users' tables.
const PATIENCE: Duration = Duration::from_secs(6);
/// Part of it by which callers differ.
const PATIENCE_JITTER: f64 = 0.15;
/// Spread of token counts, as the deviation of their logarithm.
const SIZE_SPREAD: f64 = 0.7;
/// The same for what callers expect against what they get.
const HINT_SPREAD: f64 = 0.5;
/// Most tokens of a prompt and of an answer, as multiples of the mean.
const LARGEST: f64 = 3.0;

/// The kinds of requests to model engines of the milestone's sites.
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

/// A new request that arrives at `now`.
pub fn request(rng: &mut Rng, id: u64, now: Moment, account: usize) -> Request {
    let kinds = kinds();
    let mut drawn = rng.f64();
    let found = kinds.iter().position(|k| {
        drawn -= k.share;
        drawn <= 0.0
    });
    let kind = found.unwrap_or(kinds.len() - 1);
    let tokens = |mean: f64, factor: f64| (mean * factor.min(LARGEST)).max(4.0) as u32;
    let prompt = tokens(kinds[kind].mean_prompt, spread(rng, SIZE_SPREAD));
    let output = tokens(kinds[kind].mean_output, spread(rng, SIZE_SPREAD));
    let expected_tokens = tokens(f64::from(output), spread(rng, HINT_SPREAD));
    let patience = PATIENCE.mul_f64(1.0 - PATIENCE_JITTER * rng.f64());
    Request {
        id,
        kind,
        account,
        prompt,
        output,
        expected_tokens,
        first_attempt: now,
        deadline: now + patience,
        retries: 0,
        impatient: false,
        cancel_after: None,
    }
}

/// A factor with mean 1 whose logarithm has this deviation.
fn spread(rng: &mut Rng, deviation: f64) -> f64 {
    let (a, b) = (rng.f64().max(1e-12), rng.f64());
    let normal = (-2.0 * a.ln()).sqrt() * (std::f64::consts::TAU * b).cos();
    (deviation * normal - deviation * deviation / 2.0).exp()
}
