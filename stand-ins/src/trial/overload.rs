//! Goodput at and above capacity, compared with two baselines that call the same engines
//! directly.

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

/// Number of engines.
const ENGINES: usize = 4;
/// Time under load before the measurement.
const WARM_UP: Duration = Duration::from_secs(2);
/// Time under load that is measured.
const WINDOW: Duration = Duration::from_secs(6);
/// Loads as multiples of the capacity of the fleet.
const LOADS: [u32; 3] = [1, 2, 5];
/// Least ratio of the goodput above capacity to the goodput at capacity.
const MIN_RATIO: f64 = 0.9;
/// Client accounts; the first sends most of the requests.
const ACCOUNTS: [&str; 4] = [
    "workshop-espoo",
    "workshop-vantaa",
    "workshop-turku",
    "workshop-lahti",
];

/// What selects the engine of a request.
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
    anyhow::ensure!(
        fleet.await_open(Duration::from_secs(20)).await?,
        "not every upstream opened"
    );
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
            let measurement = measure(&fleet, policy, load).await?;
            add_figures(&mut report, policy, load, &measurement);
            if policy == Policy::Turmerichold {
                goodputs.push(measurement.goodput());
            }
        }
    }
    for (load, goodput) in LOADS.iter().zip(&goodputs).skip(1) {
        let ratio = goodput / goodputs[0];
        report.add(&format!("ratio_{load}x"), (ratio * 100.0).round() / 100.0);
        report.require(ratio >= MIN_RATIO, || {
            format!("goodput at {load}x is {ratio:.2} of that at 1x, must be at least {MIN_RATIO}")
        });
    }
    report.add("policy_overruns", overruns.unwrap_or(0));
    Ok(report)
}

/// Requests that the engines started above their capacity at the time.
async fn count_overruns(fleet: &Fleet) -> anyhow::Result<u64> {
    let mut overruns = 0;
    for node in fleet.engine_nodes() {
        let record: EngineRecord = fleet.record(node).await?;
        overruns += record.cold_overruns;
    }
    Ok(overruns)
}

struct Measurement {
    counts: Counts,
    small_accounts: Counts,
    refusals: Counts,
}

impl Measurement {
    /// Requests a second that were answered before their deadline.
    fn goodput(&self) -> f64 {
        self.counts.answered as f64 / WINDOW.as_secs_f64()
    }
}

fn add_figures(report: &mut Report, policy: Policy, load: u32, measurement: &Measurement) {
    let name = match policy {
        Policy::Turmerichold => "policy",
        Policy::RoundRobin => "round_robin",
        Policy::LeastOutstanding => "least_outstanding",
    };
    let key = |figure: &str| format!("{name}_{load}x_{figure}");
    report.add(&key("goodput"), measurement.goodput().round());
    report.add_seconds(&key("p50"), measurement.counts.percentile(50.0));
    report.add_seconds(&key("p99"), measurement.counts.percentile(99.0));
    if policy == Policy::Turmerichold {
        let small = &measurement.small_accounts;
        let share = small.answered as f64 / small.requests.max(1) as f64;
        report.add(&key("small_accounts"), (share * 100.0).round() / 100.0);
        report.add_seconds(&key("refusal_p50"), measurement.refusals.percentile(50.0));
        let counts = &measurement.counts;
        report.add(&key("refused"), counts.refused);
        report.add(&key("late_or_unknown"), counts.unknown + counts.failed);
        report.add_zero(&key("wrong"), measurement.counts.wrong);
        report.add_zero(&key("lost"), measurement.counts.lost);
    }
}

/// Sends an open-loop load and counts the requests sent after the warm-up.
async fn measure(fleet: &Fleet, policy: Policy, load: u32) -> anyhow::Result<Measurement> {
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
            Policy::LeastOutstanding => least_loaded(&outstanding),
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
                record(&tallies, &late_as_unknown(finished), small);
            }
        }));
    })
    .await;
    for task in tasks {
        task.await;
    }
    let [counts, small_accounts, refusals] = [0, 1, 2].map(|i| tallies[i].counts());
    Ok(Measurement {
        counts,
        small_accounts,
        refusals,
    })
}

fn least_loaded(outstanding: &[AtomicUsize]) -> usize {
    let load = |i: &usize| outstanding[*i].load(Ordering::Relaxed);
    (0..outstanding.len()).min_by_key(load).unwrap_or(0)
}

/// Replaces the outcome of a response after the deadline by unknown, since it does not
/// count as goodput.
fn late_as_unknown(mut finished: FinishedCall) -> FinishedCall {
    if finished.outcome == CallOutcome::Answered && finished.total_time > DEADLINE {
        finished.outcome = CallOutcome::Unknown;
    }
    finished
}

fn record(tallies: &[Tally; 3], finished: &FinishedCall, small: bool) {
    let [all, small_account, refusals] = tallies;
    all.record_sent();
    all.record_finished(finished, None);
    if small {
        small_account.record_sent();
        small_account.record_finished(finished, None);
    }
    if finished.outcome == CallOutcome::NotRun {
        // The tally records times of answered requests only.
        let finished = FinishedCall {
            outcome: CallOutcome::Answered,
            ..finished.clone()
        };
        refusals.record_finished(&finished, None);
    }
}
