use std::ops::Range;
use std::time::Duration;

use serde::Serialize;

use crate::pattern::{EVENT_END, EVENT_START};
use crate::{Request, kinds};

/// How a request ended for its caller, after all attempts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallOutcome {
    /// Answered; the first token arrived within the target latency.
    OnTime,
    /// Answered; the first token arrived later.
    Late,
    /// The last attempt was refused.
    Refused,
    /// The request was lost with its engine, or the caller's timeout ended.
    Failed,
    /// The caller cancelled the request early; reports leave it out.
    Cancelled,
}

/// A request that has ended, with its outcome.
#[derive(Debug, Clone)]
pub(crate) struct FinishedCall {
    pub(crate) request: Request,
    pub(crate) outcome: CallOutcome,
    /// Time from the first attempt to the first token.
    pub(crate) first_token: Option<Duration>,
}

/// Results of one run.
#[derive(Debug, Clone, Default, Serialize)]
pub struct Report {
    /// Name of the pattern.
    pub pattern: &'static str,
    /// Name of the policy.
    pub policy: &'static str,
    /// Seed of the run.
    pub seed: u64,
    /// Requests that were not cancelled early.
    pub requests: usize,
    /// Earned value as a share of the value of all requests, 0 to 1.
    pub worth: f64,
    /// Lowest `worth` of any two seconds of the run.
    pub worst: f64,
    /// Share of requests with a response on time.
    pub on_time: f64,
    /// Share of requests with a late response.
    pub late: f64,
    /// Share of requests whose first attempt got a late response.
    pub late_first: f64,
    /// Share of requests whose last attempt was refused.
    pub refused: f64,
    /// Responses on time per second.
    pub goodput: f64,
    /// Median time to the first token, in milliseconds.
    pub start_p50_ms: u64,
    /// 99th percentile of the time to the first token, in milliseconds.
    pub start_p99_ms: u64,
    /// Share on time of the worst kind of request, relative to `on_time`.
    pub worst_kind: f64,
    /// Share on time of the smallest account, relative to `on_time`.
    pub small_account: f64,
    /// Share on time of the largest tenth of each kind, relative to `on_time`.
    pub largest: [f64; 3],
    /// Earned value as a share of the value of each kind during the change of the pattern.
    pub kind_worth: [f64; 3],
    /// Share of each kind with a response on time during the change of the pattern.
    pub kind_on_time: [f64; 3],
    /// Share of the prompt tokens that engines had retained, 0 to 1.
    pub held: f64,
    /// Number of times that an engine preempted a request.
    pub preempted: u32,
}

impl Report {
    /// Results of `calls` of `kinds`, which arrived within `length`.
    pub(crate) fn new(calls: &[FinishedCall], length: Duration, kinds: Range<usize>) -> Self {
        let counted: Vec<&FinishedCall> = calls
            .iter()
            .filter(|c| c.outcome != CallOutcome::Cancelled)
            .collect();
        let outcome_share = |outcome: CallOutcome| share(&counted, |c| c.outcome == outcome);
        let mut latencies: Vec<Duration> = counted.iter().filter_map(|c| c.first_token).collect();
        latencies.sort_unstable();
        let on_time = outcome_share(CallOutcome::OnTime);
        let relative = |group: Vec<&FinishedCall>| match group.is_empty() {
            true => 1.0,
            false => share(&group, |c| c.outcome == CallOutcome::OnTime) / on_time.max(1e-9),
        };
        let of_kind = |k: usize| -> Vec<&FinishedCall> {
            let same = counted.iter().filter(|c| c.request.kind == k);
            same.copied().collect()
        };
        let largest = |k: usize| {
            let mut group = of_kind(k);
            group.sort_by_key(|c| std::cmp::Reverse(c.request.prompt + 10 * c.request.output));
            group.truncate(group.len() / 10);
            group
        };
        let first = kinds.start;
        let during = |k: usize| -> Vec<&FinishedCall> {
            let start = counted.iter().map(|c| c.request.first_attempt).min();
            let start = start.unwrap_or_default();
            let event = start + EVENT_START..start + EVENT_END;
            let of_kind = of_kind(k).into_iter();
            let inside = of_kind.filter(|c| event.contains(&c.request.first_attempt));
            inside.collect()
        };
        let worst = |shares: Vec<f64>| shares.into_iter().fold(f64::INFINITY, f64::min);
        Report {
            requests: counted.len(),
            worth: worth(&counted),
            worst: worst_window(&counted, length),
            on_time,
            late: outcome_share(CallOutcome::Late),
            late_first: share(&counted, |c| {
                c.outcome == CallOutcome::Late && c.request.retries == 0
            }),
            refused: outcome_share(CallOutcome::Refused),
            goodput: on_time * counted.len() as f64 / length.as_secs_f64(),
            start_p50_ms: quantile(&latencies, 0.5),
            start_p99_ms: quantile(&latencies, 0.99),
            worst_kind: worst(kinds.map(|k| relative(of_kind(k))).collect()),
            small_account: relative(smallest_account(&counted)),
            largest: [0, 1, 2].map(|k| relative(largest(first + k))),
            kind_worth: [0, 1, 2].map(|k| worth(&during(first + k))),
            kind_on_time: [0, 1, 2]
                .map(|k| share(&during(first + k), |c| c.outcome == CallOutcome::OnTime)),
            ..Report::default()
        }
    }
}

fn share(group: &[&FinishedCall], matches: impl Fn(&FinishedCall) -> bool) -> f64 {
    let count = group.iter().filter(|c| matches(c)).count();
    count as f64 / group.len().max(1) as f64
}

/// Highest and earned value of a request; both grow with its size.
fn value(call: &FinishedCall) -> (f64, f64) {
    let kind = kinds()[call.request.kind];
    let size = f64::from(call.request.prompt + 10 * call.request.output);
    let mean = kind.mean_prompt + 10.0 * kind.mean_output;
    let factor = (0.3 + 0.7 * size / mean).min(4.0);
    let earned = match call.outcome {
        CallOutcome::OnTime => kind.value.0,
        CallOutcome::Late => kind.value.1,
        CallOutcome::Refused | CallOutcome::Failed | CallOutcome::Cancelled => 0.0,
    };
    (kind.value.0 * factor, earned * factor)
}

/// Earned value as a share of the highest possible, 0 to 1.
fn worth(group: &[&FinishedCall]) -> f64 {
    let sum = |a: (f64, f64), b: (f64, f64)| (a.0 + b.0, a.1 + b.1);
    let (possible, earned) = group.iter().map(|c| value(c)).fold((0.0, 0.0), sum);
    if possible > 0.0 {
        earned / possible
    } else {
        1.0
    }
}

/// Lowest [`worth`] of any window of the run.
fn worst_window(counted: &[&FinishedCall], length: Duration) -> f64 {
    let start = counted.iter().map(|c| c.request.first_attempt).min();
    let start = start.unwrap_or_default();
    let seconds = length.as_secs();
    let window = |s: u64| -> Vec<&FinishedCall> {
        let from = start + Duration::from_secs(s);
        let inside = |c: &&&FinishedCall| {
            c.request.first_attempt >= from && c.request.first_attempt < from + WINDOW
        };
        counted.iter().filter(inside).copied().collect()
    };
    let worths = (0..seconds.saturating_sub(1)).map(|s| worth(&window(s)));
    worths.fold(1.0, f64::min)
}

/// Length of the window of [`Report::worst`].
const WINDOW: Duration = Duration::from_secs(2);

fn smallest_account<'a>(counted: &[&'a FinishedCall]) -> Vec<&'a FinishedCall> {
    let last = counted.iter().map(|c| c.request.account).max().unwrap_or(0);
    // Accounts are numbered from the largest to the smallest.
    let smallest = counted.iter().filter(|c| c.request.account == last);
    smallest.copied().collect()
}

/// Quantile of sorted times in milliseconds, 0 when there are none.
fn quantile(sorted: &[Duration], fraction: f64) -> u64 {
    let last = sorted.len().saturating_sub(1);
    let index = (last as f64 * fraction).round() as usize;
    let found = sorted.get(index).copied().unwrap_or_default();
    u64::try_from(found.as_millis()).unwrap_or(u64::MAX)
}
