//! Goodput at and beyond capacity: the system against two baselines that call
//! the same engines directly.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use wire::Client;

use crate::engine::EngineRecord;
use crate::trial::arrivals::poisson;
use crate::trial::caller::{CallOutcome, FinishedCall, send};
use crate::trial::fleet::Fleet;
use crate::trial::report::Report;
use crate::trial::tally::{Counts, Tally};
use crate::trial::workload::{DEADLINE, capacity, request, spec};

/// Engines.
const ENGINES: usize = 4;
/// Time under load that is not counted.
const WARM_UP: Duration = Duration::from_secs(2);
/// Time under load that is counted.
const WINDOW: Duration = Duration::from_secs(6);
/// Multiples of the fleet's capacity.
const LOADS: [u32; 3] = [1, 2, 5];
/// Least goodput beyond capacity, as a part of that at capacity.
const FLOOR: f64 = 0.9;
/// Accounts; the first sends most of the requests.
const ACCOUNTS: [&str; 4] = [
    "workshop-espoo",
    "workshop-vantaa",
    "workshop-turku",
    "workshop-lahti",
];

/// Who chooses the engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Policy {
    Turmerichold,
    RoundRobin,
    LeastOutstanding,
}

const POLICIES: [Policy; 3] = [
    Policy::Turmerichold,
    Policy::LeastOutstanding,
    Policy::RoundRobin,
];

/// Runs the trial.
pub async fn run() -> anyhow::Result<Report> {
    let mut report = Report::default();
    let mut fleet = Fleet::start(spec(ENGINES)).await?;
    fleet.create_model(1).await?;
    fleet.apply().await?;
    anyhow::ensure!(fleet.await_open(Duration::from_secs(20)).await?, "not open");
    report.add("capacity_per_s", capacity(ENGINES).round());
    eprintln!("overload: warming up");
    measure(&fleet, Policy::Turmerichold, 1).await?;
    let mut goodputs: Vec<f64> = Vec::new();
    let mut overruns = None;
    for policy in POLICIES {
        if policy != Policy::Turmerichold && goodputs.len() == LOADS.len() {
            overruns = overruns.or(Some(count_overruns(&fleet).await?));
        }
        for load in LOADS {
            eprintln!("overload: {policy:?} at {load}x");
            let outcome = measure(&fleet, policy, load).await?;
            add(&mut report, policy, load, &outcome);
            if policy == Policy::Turmerichold {
                goodputs.push(outcome.goodput());
            }
        }
    }
    for (load, goodput) in LOADS.iter().zip(&goodputs).skip(1) {
        let ratio = goodput / goodputs[0];
        report.add(&format!("ratio_{load}x"), (ratio * 100.0).round() / 100.0);
        report.require(ratio >= FLOOR, || {
            format!("goodput at {load}x is {ratio:.2} of that at 1x, must be {FLOOR}")
        });
    }
    report.add("policy_overruns", overruns.unwrap_or(0));
    Ok(report)
}

/// Requests that engines were given beyond what they bore.
async fn count_overruns(fleet: &Fleet) -> anyhow::Result<u64> {
    let mut overruns = 0;
    for node in fleet.engine_nodes() {
        let record: EngineRecord = fleet.record(node).await?;
        overruns += record.cold_overruns;
    }
    Ok(overruns)
}

struct Outcome {
    counts: Counts,
    small: Counts,
    refusals: Counts,
}

impl Outcome {
    /// Requests answered in time a second.
    fn goodput(&self) -> f64 {
        self.counts.answered as f64 / WINDOW.as_secs_f64()
    }
}

fn add(report: &mut Report, policy: Policy, load: u32, outcome: &Outcome) {
    let name = match policy {
        Policy::Turmerichold => "policy",
        Policy::RoundRobin => "round_robin",
        Policy::LeastOutstanding => "least_outstanding",
    };
    let key = |figure: &str| format!("{name}_{load}x_{figure}");
    report.add(&key("goodput"), outcome.goodput().round());
    report.add_seconds(&key("p50"), outcome.counts.percentile(50.0));
    report.add_seconds(&key("p99"), outcome.counts.percentile(99.0));
    if policy == Policy::Turmerichold {
        let small = &outcome.small;
        let share = small.answered as f64 / small.requests.max(1) as f64;
        report.add(&key("small_accounts"), (share * 100.0).round() / 100.0);
        report.add_seconds(&key("refusal_p50"), outcome.refusals.percentile(50.0));
        let counts = &outcome.counts;
        report.add(&key("refused"), counts.refused);
        report.add(&key("late_or_unknown"), counts.unknown + counts.failed);
        report.add_zero(&key("wrong"), outcome.counts.wrong);
        report.add_zero(&key("lost"), outcome.counts.lost);
    }
}

/// Sends an open-loop load and counts what arrives in the window.
async fn measure(fleet: &Fleet, policy: Policy, load: u32) -> anyhow::Result<Outcome> {
    let targets: Vec<SocketAddr> = match policy {
        Policy::Turmerichold => fleet.entry_addrs(),
        _ => fleet
            .engine_nodes()
            .filter_map(|n| n.upstream_addr)
            .collect(),
    };
    let outstanding: Arc<Vec<AtomicUsize>> =
        Arc::new(targets.iter().map(|_| AtomicUsize::new(0)).collect());
    let tallies = Arc::new([Tally::default(), Tally::default(), Tally::default()]);
    let client = Client::default();
    let rate = capacity(ENGINES) * f64::from(load);
    let mut tasks = Vec::new();
    poisson(rate, WARM_UP + WINDOW, u64::from(load), |i, at, rng| {
        let target = match policy {
            Policy::LeastOutstanding => least(&outstanding),
            _ => i % targets.len(),
        };
        let small = rng.f64() < 0.15;
        let account = match small {
            true => ACCOUNTS[1 + rng.usize(..3)],
            false => ACCOUNTS[0],
        };
        let request = request(policy != Policy::Turmerichold, account, rng.u32(..1000));
        let counted = at > WARM_UP;
        let (client, addr) = (client.clone(), targets[target]);
        let (outstanding, tallies) = (outstanding.clone(), tallies.clone());
        outstanding[target].fetch_add(1, Ordering::Relaxed);
        tasks.push(smol::spawn(async move {
            let finished = send(&client, addr, &request).await;
            outstanding[target].fetch_sub(1, Ordering::Relaxed);
            if counted {
                count(&tallies, &in_time(finished), small);
            }
        }));
    })
    .await;
    for task in tasks {
        task.await;
    }
    let [counts, small, refusals] = [0, 1, 2].map(|i| tallies[i].counts());
    Ok(Outcome {
        counts,
        small,
        refusals,
    })
}

fn least(outstanding: &[AtomicUsize]) -> usize {
    let load = |i: &usize| outstanding[*i].load(Ordering::Relaxed);
    (0..outstanding.len()).min_by_key(load).unwrap_or(0)
}

/// An answer after the deadline is no answer for its caller.
fn in_time(mut finished: FinishedCall) -> FinishedCall {
    if finished.outcome == CallOutcome::Answered && finished.total_time > DEADLINE {
        finished.outcome = CallOutcome::Unknown;
    }
    finished
}

fn count(tallies: &[Tally; 3], finished: &FinishedCall, small: bool) {
    let [all, of_small, refusals] = tallies;
    all.record_sent();
    all.record_finished(finished, None);
    if small {
        of_small.record_sent();
        of_small.record_finished(finished, None);
    }
    if finished.outcome == CallOutcome::NotRun {
        // Counted as answered, for the times of refusals.
        let finished = FinishedCall {
            outcome: CallOutcome::Answered,
            ..finished.clone()
        };
        refusals.record_finished(&finished, None);
    }
}
