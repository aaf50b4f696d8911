use std::time::Duration;

use serde::Serialize;

use crate::{Request, kinds};

/// How a caller's request ended, after all its attempts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallOutcome {
    /// Answered within its objective.
    OnTime,
    /// Answered later.
    Late,
    /// Refused.
    Refused,
    /// Broken, or the caller gave up.
    Failed,
    /// The caller left early; nothing is owed.
    Cancelled,
}

/// A caller's request and how it ended.
#[derive(Debug, Clone)]
pub(crate) struct Ended {
    pub(crate) request: Request,
    pub(crate) ending: CallOutcome,
    pub(crate) start: Option<Duration>,
}

/// Figures of one run.
#[derive(Debug, Clone, Default, Serialize)]
pub struct Report {
    /// Name of the pattern.
    pub pattern: &'static str,
    /// Name of the policy.
    pub policy: &'static str,
    /// Seed of the run.
    pub seed: u64,
    /// Requests of callers that did not leave.
    pub requests: usize,
    /// Share of the value of all requests that was earned, 0 to 1.
    pub worth: f64,
    /// The same in the two worst seconds in a row.
    pub worst: f64,
    /// Share answered within the objective.
    pub on_time: f64,
    /// Share answered later.
    pub late: f64,
    /// Part of that which was answered at the first attempt.
    pub late_first: f64,
    /// Share refused in the end.
    pub refused: f64,
    /// Answers a second within the objective.
    pub goodput: f64,
    /// Median time to the first token of answered requests, in milliseconds.
    pub start_p50_ms: u64,
    /// 99 of 100 of these times are below, in milliseconds.
    pub start_p99_ms: u64,
    /// Share on time of the worst kind against the mean share.
    pub worst_kind: f64,
    /// The same of the smallest account.
    pub small_account: f64,
    /// The same of the largest tenth of requests of each kind.
    pub largest: [f64; 3],
    /// Requests taken out of an engine's memory and read again.
    pub preempted: u32,
}

impl Report {
    /// Figures of requests that arrived within `length`.
    pub(crate) fn of(ended: &[Ended], length: Duration) -> Self {
        let owed: Vec<&Ended> = ended
            .iter()
            .filter(|e| e.ending != CallOutcome::Cancelled)
            .collect();
        let count = |ending: CallOutcome| share(&owed, |e| e.ending == ending);
        let mut starts: Vec<Duration> = owed.iter().filter_map(|e| e.start).collect();
        starts.sort_unstable();
        let on_time = count(CallOutcome::OnTime);
        let against = |part: Vec<&Ended>| match part.is_empty() {
            true => 1.0,
            false => share(&part, |e| e.ending == CallOutcome::OnTime) / on_time.max(1e-9),
        };
        let of_kind = |k: usize| -> Vec<&Ended> {
            let same = owed.iter().filter(|e| e.request.kind == k);
            same.copied().collect()
        };
        let largest = |k: usize| {
            let mut part = of_kind(k);
            part.sort_by_key(|e| std::cmp::Reverse(e.request.prompt + 10 * e.request.output));
            part.truncate(part.len() / 10);
            part
        };
        let all = 0..kinds().len();
        let worst = |shares: Vec<f64>| shares.into_iter().fold(f64::INFINITY, f64::min);
        Report {
            requests: owed.len(),
            worth: worth(&owed),
            worst: worst_seconds(&owed, length),
            on_time,
            late: count(CallOutcome::Late),
            late_first: share(&owed, |e| {
                e.ending == CallOutcome::Late && e.request.retries == 0
            }),
            refused: count(CallOutcome::Refused),
            goodput: on_time * owed.len() as f64 / length.as_secs_f64(),
            start_p50_ms: quantile(&starts, 0.5),
            start_p99_ms: quantile(&starts, 0.99),
            worst_kind: worst(all.map(|k| against(of_kind(k))).collect()),
            small_account: against(smallest_account(&owed)),
            largest: [0, 1, 2].map(|k| against(largest(k))),
            ..Report::default()
        }
    }
}

fn share(part: &[&Ended], is: impl Fn(&Ended) -> bool) -> f64 {
    let count = part.iter().filter(|e| is(e)).count();
    count as f64 / part.len().max(1) as f64
}

/// Value of a request, which grows with its size, and what it earned.
fn value(ended: &Ended) -> (f64, f64) {
    let kind = kinds()[ended.request.kind];
    let size = f64::from(ended.request.prompt + 10 * ended.request.output);
    let mean = kind.mean_prompt + 10.0 * kind.mean_output;
    let factor = (0.3 + 0.7 * size / mean).min(4.0);
    let earned = match ended.ending {
        CallOutcome::OnTime => kind.value.0,
        CallOutcome::Late => kind.value.1,
        CallOutcome::Refused | CallOutcome::Failed | CallOutcome::Cancelled => 0.0,
    };
    (kind.value.0 * factor, earned * factor)
}

fn worth(part: &[&Ended]) -> f64 {
    let sum = |a: (f64, f64), b: (f64, f64)| (a.0 + b.0, a.1 + b.1);
    let (owed, earned) = part.iter().map(|e| value(e)).fold((0.0, 0.0), sum);
    if owed > 0.0 { earned / owed } else { 1.0 }
}

fn worst_seconds(owed: &[&Ended], length: Duration) -> f64 {
    let begin = owed.iter().map(|e| e.request.first_attempt).min();
    let begin = begin.unwrap_or_default();
    let seconds = length.as_secs();
    let window = |s: u64| -> Vec<&Ended> {
        let from = begin + Duration::from_secs(s);
        let inside = |e: &&&Ended| {
            e.request.first_attempt >= from && e.request.first_attempt < from + WINDOW
        };
        owed.iter().filter(inside).copied().collect()
    };
    let worths = (0..seconds.saturating_sub(1)).map(|s| worth(&window(s)));
    worths.fold(1.0, f64::min)
}

/// Window of the worst seconds.
const WINDOW: Duration = Duration::from_secs(2);

fn smallest_account<'a>(owed: &[&'a Ended]) -> Vec<&'a Ended> {
    let accounts = owed.iter().map(|e| e.request.account).max().unwrap_or(0);
    // Accounts are numbered from the largest to the smallest.
    let of = owed.iter().filter(|e| e.request.account == accounts);
    of.copied().collect()
}

fn quantile(sorted: &[Duration], share: f64) -> u64 {
    let last = sorted.len().saturating_sub(1);
    let at = (last as f64 * share).round() as usize;
    let found = sorted.get(at).copied().unwrap_or_default();
    u64::try_from(found.as_millis()).unwrap_or(u64::MAX)
}
