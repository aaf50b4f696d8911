//! Goodput while a failure domain is drained, while its VMs are replaced and after it is back
//! in service with cold engines, compared with a baseline that only stops sending to it.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use smol::{Task, Timer};
use wire::Client;

use crate::engine::{EngineRecord, unix_time_ms};
use crate::trial::arrivals::poisson;
use crate::trial::caller::{CallOutcome, send};
use crate::trial::fleet::{CreatedModel, Fleet};
use crate::trial::report::Report;
use crate::trial::workload::{DEADLINE, capacity, request, spec};

/// Number of engines; each failure domain has two.
const ENGINES: usize = 6;
/// Loads in percent of the capacity of the whole fleet. Without the drained failure
/// domain, the first exceeds the capacity slightly and the second by far.
const LOADS_PERCENT: [u32; 2] = [72, 85];
/// Time under load before the first phase; its requests are not counted.
const WARM_UP: Duration = Duration::from_secs(5);
/// Length of the phase before the drain.
const BEFORE_DRAIN: Duration = Duration::from_secs(5);
/// Time from the change of the configuration to the stop of the VMs.
const DRAIN_TIME: Duration = Duration::from_secs(3);
/// Time for which the VMs are stopped.
const OUTAGE: Duration = Duration::from_secs(4);
/// Length of the phase after the failure domain is back in service.
const AFTER_RETURN: Duration = Duration::from_secs(8);
/// Longest time from the change of the configuration to the last request that the
/// drained failure domain starts.
const DRAIN_LIMIT: Duration = Duration::from_secs(2);
/// Failure domain that is drained.
const FAILURE_DOMAIN: &str = "pirkanmaa-a";

/// What selects the engine of a request: the system, or a baseline that calls the engine
/// with the fewest outstanding requests directly.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Policy {
    Turmerichold,
    StopSending,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    WarmUp,
    Before,
    During,
    After,
}

/// Phase in which each request started, its outcome and its duration.
type Outcomes = Arc<Mutex<Vec<(Phase, CallOutcome, Duration)>>>;

/// State that the trial shares with the load generator.
struct Shared {
    phase: Mutex<Phase>,
    targets: Mutex<Vec<SocketAddr>>,
    outstanding: Mutex<std::collections::HashMap<SocketAddr, Arc<AtomicUsize>>>,
    outcomes: Outcomes,
}

/// Requests a second at a load in percent.
fn rate(load: u32) -> f64 {
    f64::from(load) / 100.0 * capacity(ENGINES)
}

/// Runs the trial.
pub async fn run() -> anyhow::Result<Report> {
    let mut report = Report::default();
    for load in LOADS_PERCENT {
        report.add(&format!("requests_per_s_{load}"), rate(load).round());
        for policy in [Policy::Turmerichold, Policy::StopSending] {
            run_policy(policy, load, &mut report).await?;
        }
    }
    Ok(report)
}

async fn run_policy(policy: Policy, load: u32, report: &mut Report) -> anyhow::Result<()> {
    eprintln!("drain: {policy:?} at {load}%");
    let mut fleet = Fleet::start(spec(ENGINES)).await?;
    let model = fleet.create_model(1).await?;
    fleet.apply().await?;
    anyhow::ensure!(
        fleet.await_open(Duration::from_secs(20)).await?,
        "not every upstream opened"
    );
    let shared = Arc::new(Shared {
        phase: Mutex::new(Phase::WarmUp),
        targets: Mutex::new(fleet.entry_addrs()),
        outstanding: Mutex::default(),
        outcomes: Arc::default(),
    });
    let callers = start_load(policy, load, shared.clone());
    Timer::after(WARM_UP).await;
    set(&shared.targets, targets(&fleet, policy, false));
    set(&shared.phase, Phase::Before);
    Timer::after(BEFORE_DRAIN).await;

    set(&shared.phase, Phase::During);
    set_in_service(&mut fleet, false).await?;
    set(&shared.targets, targets(&fleet, policy, true));
    let drain_start_ms = unix_time_ms();
    Timer::after(DRAIN_TIME).await;
    let mut late_starts = count_late_starts(&fleet, drain_start_ms).await?;
    let not_stopped = replace_domain(&mut fleet, &model).await?;
    late_starts += count_late_starts(&fleet, drain_start_ms).await?;
    set_in_service(&mut fleet, true).await?;
    set(&shared.phase, Phase::After);
    set(&shared.targets, targets(&fleet, policy, false));
    Timer::after(AFTER_RETURN).await;
    for task in callers.await {
        task.await;
    }
    add_figures(
        report,
        policy,
        load,
        &shared.outcomes,
        late_starts,
        not_stopped,
    );
    Ok(())
}

/// Stops and restarts every VM of the failure domain; returns how many agents did not
/// stop cleanly.
async fn replace_domain(fleet: &mut Fleet, model: &CreatedModel) -> anyhow::Result<u64> {
    let replaced: Vec<usize> = (0..fleet.agents.len())
        .filter(|&i| fleet.agents[i].member.failure_domain == FAILURE_DOMAIN)
        .collect();
    let mut not_stopped = 0;
    for &i in &replaced {
        let node = &mut fleet.agents[i];
        not_stopped += u64::from(!node.process.stop(Duration::from_secs(5)).await?);
        node.kill_upstream();
    }
    Timer::after(OUTAGE).await;
    for &i in &replaced {
        fleet.restart_upstream(i).await?;
        fleet.restart_agent(i).await?;
    }
    fleet
        .await_replicas(model.content, Duration::from_secs(20))
        .await?;
    Ok(not_stopped)
}

/// Number of requests that engines of the failure domain started later than the limit
/// after the change.
async fn count_late_starts(fleet: &Fleet, drain_start_ms: u64) -> anyhow::Result<u64> {
    let limit_ms = drain_start_ms + u64::try_from(DRAIN_LIMIT.as_millis())?;
    let mut late_starts = 0;
    for node in fleet
        .engine_nodes()
        .filter(|n| n.member.failure_domain == FAILURE_DOMAIN)
    {
        let record: EngineRecord = fleet.record(node).await?;
        late_starts += record
            .starts
            .iter()
            .filter(|&&start_ms| start_ms > limit_ms)
            .count() as u64;
    }
    Ok(late_starts)
}

async fn set_in_service(fleet: &mut Fleet, value: bool) -> anyhow::Result<()> {
    if let Some(d) = fleet.declaration.failure_domains.get_mut(FAILURE_DOMAIN) {
        d.in_service = value;
    }
    fleet.apply().await
}

fn set<T>(mutex: &Mutex<T>, value: T) {
    *mutex.lock().unwrap_or_else(PoisonError::into_inner) = value;
}

fn get<T: Clone>(mutex: &Mutex<T>) -> T {
    mutex.lock().unwrap_or_else(PoisonError::into_inner).clone()
}

/// Targets of requests: entries for the system, engines in service for the baseline.
fn targets(fleet: &Fleet, policy: Policy, drained: bool) -> Vec<SocketAddr> {
    match policy {
        Policy::Turmerichold => fleet.entry_addrs(),
        Policy::StopSending => fleet
            .engine_nodes()
            .filter(|n| !drained || n.member.failure_domain != FAILURE_DOMAIN)
            .filter_map(|n| n.upstream_addr)
            .collect(),
    }
}

fn start_load(policy: Policy, load: u32, shared: Arc<Shared>) -> Task<Vec<Task<()>>> {
    // The load ends by itself some time after the last phase.
    let span = WARM_UP + BEFORE_DRAIN + DRAIN_TIME + OUTAGE + AFTER_RETURN + Duration::from_secs(4);
    smol::spawn(async move {
        let client = Client::default();
        let mut tasks = Vec::new();
        poisson(rate(load), span, 1, |i, _, rng| {
            let addrs = get(&shared.targets);
            let phase = get(&shared.phase);
            // The system warms up the engines for both policies: cold engines do not warm up
            // under the load of the baseline, which has no limits.
            let policy = match phase {
                Phase::WarmUp => Policy::Turmerichold,
                _ => policy,
            };
            let addr = match policy {
                Policy::Turmerichold => addrs[i % addrs.len()],
                Policy::StopSending => least_loaded(&shared, &addrs),
            };
            let count = outstanding(&shared, addr);
            count.fetch_add(1, Ordering::Relaxed);
            let request = request(
                policy == Policy::StopSending,
                "clerks-briefs",
                rng.u32(..1000),
            );
            let (client, outcomes) = (client.clone(), shared.outcomes.clone());
            tasks.push(smol::spawn(async move {
                let start = Instant::now();
                let finished = send(&client, addr, &request).await;
                count.fetch_sub(1, Ordering::Relaxed);
                let mut outcomes = outcomes.lock().unwrap_or_else(PoisonError::into_inner);
                outcomes.push((phase, finished.outcome, start.elapsed()));
            }));
        })
        .await;
        tasks
    })
}

fn outstanding(shared: &Shared, addr: SocketAddr) -> Arc<AtomicUsize> {
    let mut map = shared
        .outstanding
        .lock()
        .unwrap_or_else(PoisonError::into_inner);
    map.entry(addr).or_default().clone()
}

fn least_loaded(shared: &Shared, addrs: &[SocketAddr]) -> SocketAddr {
    let load = |a: &&SocketAddr| outstanding(shared, **a).load(Ordering::Relaxed);
    *addrs.iter().min_by_key(load).unwrap_or(&addrs[0])
}

fn add_figures(
    report: &mut Report,
    policy: Policy,
    load: u32,
    outcomes: &Outcomes,
    late_starts: u64,
    not_stopped: u64,
) {
    let name = match policy {
        Policy::Turmerichold => "policy",
        Policy::StopSending => "baseline",
    };
    let outcomes = outcomes.lock().unwrap_or_else(PoisonError::into_inner);
    for (label, phase) in [
        ("before", Phase::Before),
        ("during", Phase::During),
        ("after", Phase::After),
    ] {
        let all: Vec<_> = outcomes
            .iter()
            .filter(|(started_in, _, _)| *started_in == phase)
            .collect();
        let good = all
            .iter()
            .filter(|(_, outcome, duration)| {
                *outcome == CallOutcome::Answered && *duration <= DEADLINE
            })
            .count();
        let share = good as f64 / all.len().max(1) as f64;
        report.add(
            &format!("{name}_{load}_{label}"),
            (share * 1000.0).round() / 1000.0,
        );
    }
    if policy == Policy::Turmerichold {
        let failed = outcomes.iter().filter(|(_, outcome, _)| {
            matches!(outcome, CallOutcome::Broken(_) | CallOutcome::Failed)
        });
        let wrong = outcomes
            .iter()
            .filter(|(_, outcome, _)| matches!(outcome, CallOutcome::Wrong(_)));
        report.add_zero(&format!("late_after_drain_{load}"), late_starts);
        report.add_zero(&format!("cut_{load}"), failed.count() as u64);
        report.add_zero(&format!("wrong_{load}"), wrong.count() as u64);
        report.add_zero(&format!("not_stopped_{load}"), not_stopped);
    }
}
