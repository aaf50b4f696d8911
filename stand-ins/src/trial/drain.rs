//! Service while a failure domain leaves, is replaced and returns cold: the
//! system against a baseline that only stops sending.

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

/// Engines, two in each failure domain.
const ENGINES: usize = 6;
/// Loads in percent of the whole fleet's capacity: a little more, and much
/// more, than the remaining failure domains bear.
const LOADS: [u32; 2] = [72, 85];
/// Time under load that is not counted.
const WARM_UP: Duration = Duration::from_secs(5);
/// Length of the first phase.
const BEFORE: Duration = Duration::from_secs(5);
/// Time from the change of the text to the loss of the VMs.
const GRACE: Duration = Duration::from_secs(3);
/// Time without the VMs.
const GONE: Duration = Duration::from_secs(4);
/// Length of the last phase.
const AFTER: Duration = Duration::from_secs(8);
/// Time after which a failure domain that was taken out receives nothing new.
const DRAIN_LIMIT: Duration = Duration::from_secs(2);
/// Failure domain that leaves.
const DOMAIN: &str = "pirkanmaa-a";

/// Who chooses the engine.
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

/// One request: the phase it arrived in and how it ended.
type Ends = Arc<Mutex<Vec<(Phase, CallOutcome, Duration)>>>;

/// What the load generator reads while it runs.
struct Shared {
    phase: Mutex<Phase>,
    targets: Mutex<Vec<SocketAddr>>,
    outstanding: Mutex<std::collections::HashMap<SocketAddr, Arc<AtomicUsize>>>,
    ends: Ends,
}

/// Requests a second at a load in percent.
fn rate(load: u32) -> f64 {
    f64::from(load) / 100.0 * capacity(ENGINES)
}

/// Runs the trial.
pub async fn run() -> anyhow::Result<Report> {
    let mut report = Report::default();
    for load in LOADS {
        report.add(&format!("requests_per_s_{load}"), rate(load).round());
        for policy in [Policy::Turmerichold, Policy::StopSending] {
            one(policy, load, &mut report).await?;
        }
    }
    Ok(report)
}

async fn one(policy: Policy, load: u32, report: &mut Report) -> anyhow::Result<()> {
    eprintln!("drain: {policy:?} at {load}%");
    let mut fleet = Fleet::start(spec(ENGINES)).await?;
    let created = fleet.create_model(1).await?;
    fleet.apply().await?;
    anyhow::ensure!(fleet.await_open(Duration::from_secs(20)).await?, "not open");
    let shared = Arc::new(Shared {
        phase: Mutex::new(Phase::WarmUp),
        targets: Mutex::new(fleet.entry_addrs()),
        outstanding: Mutex::default(),
        ends: Arc::default(),
    });
    let callers = start_load(policy, load, shared.clone());
    Timer::after(WARM_UP).await;
    set(&shared.targets, targets(&fleet, policy, false));
    set(&shared.phase, Phase::Before);
    Timer::after(BEFORE).await;

    set(&shared.phase, Phase::During);
    set_in_service(&mut fleet, false).await?;
    set(&shared.targets, targets(&fleet, policy, true));
    let out = unix_time_ms();
    Timer::after(GRACE).await;
    let mut late = late_starts(&fleet, out).await?;
    let not_stopped = replace_domain(&mut fleet, &created).await?;
    late += late_starts(&fleet, out).await?;
    set_in_service(&mut fleet, true).await?;
    set(&shared.phase, Phase::After);
    set(&shared.targets, targets(&fleet, policy, false));
    Timer::after(AFTER).await;
    for task in callers.await {
        task.await;
    }
    add(report, policy, load, &shared.ends, late, not_stopped);
    Ok(())
}

/// Stops and starts every VM of the failure domain; returns how many agents
/// did not stop well.
async fn replace_domain(fleet: &mut Fleet, created: &CreatedModel) -> anyhow::Result<u64> {
    let leaving: Vec<usize> = (0..fleet.agents.len())
        .filter(|&i| fleet.agents[i].member.failure_domain == DOMAIN)
        .collect();
    let mut not_stopped = 0;
    for &i in &leaving {
        let node = &mut fleet.agents[i];
        not_stopped += u64::from(!node.process.stop(Duration::from_secs(5)).await?);
        node.kill_upstream();
    }
    Timer::after(GONE).await;
    for &i in &leaving {
        fleet.restart_upstream(i).await?;
        fleet.restart_agent(i).await?;
    }
    fleet
        .await_replicas(created.content, Duration::from_secs(20))
        .await?;
    Ok(not_stopped)
}

/// Requests that engines of the failure domain began too late after the change.
async fn late_starts(fleet: &Fleet, out: u64) -> anyhow::Result<u64> {
    let limit = out + u64::try_from(DRAIN_LIMIT.as_millis())?;
    let mut late = 0;
    for node in fleet
        .engine_nodes()
        .filter(|n| n.member.failure_domain == DOMAIN)
    {
        let record: EngineRecord = fleet.record(node).await?;
        late += record.starts.iter().filter(|&&t| t > limit).count() as u64;
    }
    Ok(late)
}

async fn set_in_service(fleet: &mut Fleet, value: bool) -> anyhow::Result<()> {
    if let Some(d) = fleet.declaration.failure_domains.get_mut(DOMAIN) {
        d.in_service = value;
    }
    fleet.apply().await
}

fn set<T>(cell: &Mutex<T>, value: T) {
    *cell.lock().unwrap_or_else(PoisonError::into_inner) = value;
}

fn get<T: Clone>(cell: &Mutex<T>) -> T {
    cell.lock().unwrap_or_else(PoisonError::into_inner).clone()
}

/// Entries for the system; for the baseline the engines in service.
fn targets(fleet: &Fleet, policy: Policy, without_domain: bool) -> Vec<SocketAddr> {
    match policy {
        Policy::Turmerichold => fleet.entry_addrs(),
        Policy::StopSending => fleet
            .engine_nodes()
            .filter(|n| !without_domain || n.member.failure_domain != DOMAIN)
            .filter_map(|n| n.upstream_addr)
            .collect(),
    }
}

fn start_load(policy: Policy, load: u32, shared: Arc<Shared>) -> Task<Vec<Task<()>>> {
    // Ends by itself some time after the longest course of the trial.
    let span = WARM_UP + BEFORE + GRACE + GONE + AFTER + Duration::from_secs(4);
    smol::spawn(async move {
        let client = Client::default();
        let mut tasks = Vec::new();
        poisson(rate(load), span, 1, |i, _, rng| {
            let addrs = get(&shared.targets);
            let phase = get(&shared.phase);
            // Both begin with engines warmed up by the system: a baseline without
            // limits does not get cold engines going at all.
            let policy = match phase {
                Phase::WarmUp => Policy::Turmerichold,
                _ => policy,
            };
            let addr = match policy {
                Policy::Turmerichold => addrs[i % addrs.len()],
                Policy::StopSending => least(&shared, &addrs),
            };
            let count = outstanding(&shared, addr);
            count.fetch_add(1, Ordering::Relaxed);
            let request = request(
                policy == Policy::StopSending,
                "clerks-briefs",
                rng.u32(..1000),
            );
            let (client, ends) = (client.clone(), shared.ends.clone());
            tasks.push(smol::spawn(async move {
                let begun = Instant::now();
                let finished = send(&client, addr, &request).await;
                count.fetch_sub(1, Ordering::Relaxed);
                let mut ends = ends.lock().unwrap_or_else(PoisonError::into_inner);
                ends.push((phase, finished.outcome, begun.elapsed()));
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

fn least(shared: &Shared, addrs: &[SocketAddr]) -> SocketAddr {
    let load = |a: &&SocketAddr| outstanding(shared, **a).load(Ordering::Relaxed);
    *addrs.iter().min_by_key(load).unwrap_or(&addrs[0])
}

fn add(report: &mut Report, policy: Policy, load: u32, ends: &Ends, late: u64, not_stopped: u64) {
    let name = match policy {
        Policy::Turmerichold => "policy",
        Policy::StopSending => "baseline",
    };
    let ends = ends.lock().unwrap_or_else(PoisonError::into_inner);
    for (label, phase) in [
        ("before", Phase::Before),
        ("during", Phase::During),
        ("after", Phase::After),
    ] {
        let all: Vec<_> = ends.iter().filter(|(p, _, _)| *p == phase).collect();
        let good = all
            .iter()
            .filter(|(_, end, took)| *end == CallOutcome::Answered && *took <= DEADLINE)
            .count();
        let share = good as f64 / all.len().max(1) as f64;
        report.add(
            &format!("{name}_{load}_{label}"),
            (share * 1000.0).round() / 1000.0,
        );
    }
    if policy == Policy::Turmerichold {
        let cut = ends
            .iter()
            .filter(|(_, e, _)| matches!(e, CallOutcome::Broken(_) | CallOutcome::Failed));
        let wrong = ends
            .iter()
            .filter(|(_, e, _)| matches!(e, CallOutcome::Wrong(_)));
        report.add_zero(&format!("late_after_drain_{load}"), late);
        report.add_zero(&format!("cut_{load}"), cut.count() as u64);
        report.add_zero(&format!("wrong_{load}"), wrong.count() as u64);
        report.add_zero(&format!("not_stopped_{load}"), not_stopped);
    }
}
