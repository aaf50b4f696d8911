//! Orders that may run at most once, sent while processes are killed or frozen or
//! responses are lost at every step of the exchange, and sent again through both
//! entries.

use std::collections::HashMap;
use std::path::PathBuf;
use std::time::Duration;

use rustix::process::Signal;
use smol::Timer;
use wire::Client;

use crate::faults::Faults;
use crate::plain_service::{Order, PlainRecord};
use crate::trial::caller::{CallOutcome, FinishedCall, Payload, Request, send};
use crate::trial::control;
use crate::trial::fleet::{Fleet, FleetSpec};
use crate::trial::late_runs;
use crate::trial::report::Report;

/// Service time of an order in milliseconds.
const SERVICE_MS: u64 = 200;
/// Time from the start of a request to its deadline.
const DEADLINE: Duration = Duration::from_millis(2500);
/// Times from the start of a request to the start of the fault, in milliseconds. They
/// cover the claim, the start of the run, the service and the response.
const FAULT_DELAYS_MS: [u64; 9] = [0, 1, 2, 4, 8, 20, 100, 195, 205];
/// Time for which a process is stopped with SIGSTOP.
const FREEZE_TIME: Duration = Duration::from_millis(1500);

/// Fault during a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Fault {
    KillEntry,
    KillAgent,
    KillUpstream,
    FreezeEntry,
    FreezeAgent,
    FreezeUpstream,
    LoseUpstreamAnswer,
    LoseLogAnswer,
    LogDown,
    SentTwice,
}

impl Fault {
    /// Whether the fault is set at a stand-in before the request is sent.
    fn is_set_before_request(self) -> bool {
        matches!(
            self,
            Fault::LoseUpstreamAnswer | Fault::LoseLogAnswer | Fault::LogDown
        )
    }
}

const FAULTS: [Fault; 10] = [
    Fault::KillEntry,
    Fault::KillAgent,
    Fault::KillUpstream,
    Fault::FreezeEntry,
    Fault::FreezeAgent,
    Fault::FreezeUpstream,
    Fault::LoseUpstreamAnswer,
    Fault::LoseLogAnswer,
    Fault::LogDown,
    Fault::SentTwice,
];

/// Fault and outcomes of the requests for one order, in the order of sending.
struct OrderResult {
    fault: Fault,
    outcomes: Vec<CallOutcome>,
}

fn spec() -> FleetSpec {
    FleetSpec {
        config_file: PathBuf::from("examples/lippula.json"),
        entries: 2,
        upstreams: vec![("ompelu-app".to_owned(), 2)],
        model_size: 1 << 20,
        chunk_size: 256 << 10,
        origin_rate: 32 << 20,
        engine_args: Vec::new(),
        plain_args: ["--reports", "--service-ms", &SERVICE_MS.to_string()]
            .map(str::to_owned)
            .to_vec(),
    }
}

/// Runs the trial.
pub async fn run() -> anyhow::Result<Report> {
    let mut fleet = Fleet::start(spec()).await?;
    fleet.create_model(1).await?;
    fleet.apply().await?;
    let mut orders: HashMap<String, OrderResult> = HashMap::new();
    let mut runs: HashMap<String, u32> = HashMap::new();
    for fault in FAULTS {
        eprintln!("at-most-once: {fault:?}");
        for (i, delay_ms) in FAULT_DELAYS_MS.into_iter().enumerate() {
            anyhow::ensure!(
                fleet.await_open(Duration::from_secs(20)).await?,
                "the fleet did not recover from {fault:?}; see {}",
                fleet.dir().display()
            );
            let order = format!("{fault:?}-{i}");
            let outcomes =
                send_during_fault(&mut fleet, fault, delay_ms, &order, &mut runs).await?;
            orders.insert(order, OrderResult { fault, outcomes });
        }
    }
    collect_runs(&fleet, &mut runs).await?;
    let mut report = report(&orders, &runs);
    fleet.await_open(Duration::from_secs(20)).await?;
    let late = late_runs::count(&fleet).await?;
    report.add("orders_of_absent_callers", late.sent);
    report.add_zero("late_runs", late.late);
    Ok(report)
}

/// Sends an order with a fault during the request, then sends it again through both
/// entries.
async fn send_during_fault(
    fleet: &mut Fleet,
    fault: Fault,
    delay_ms: u64,
    order: &str,
    runs: &mut HashMap<String, u32>,
) -> anyhow::Result<Vec<CallOutcome>> {
    let entries = fleet.entry_addrs();
    let client = Client::default();
    let request = request(order);
    if fault.is_set_before_request() {
        start_fault(fleet, fault, runs).await?;
    }
    let first = {
        let (client, request, entry) = (client.clone(), request.clone(), entries[0]);
        smol::spawn(async move { send(&client, entry, &request).await })
    };
    Timer::after(Duration::from_millis(delay_ms)).await;
    let mut outcomes = Vec::new();
    if fault == Fault::SentTwice {
        outcomes.push(send(&client, entries[1], &request).await.outcome);
    } else if !fault.is_set_before_request() {
        start_fault(fleet, fault, runs).await?;
    }
    let first: FinishedCall = first.await;
    outcomes.insert(0, first.outcome);
    clear_fault(fleet, fault).await?;
    for entry in [entries[1], entries[0]] {
        outcomes.push(send(&client, entry, &request).await.outcome);
    }
    Ok(outcomes)
}

async fn start_fault(
    fleet: &mut Fleet,
    fault: Fault,
    runs: &mut HashMap<String, u32>,
) -> anyhow::Result<()> {
    match fault {
        Fault::KillEntry => fleet.entries[0].process.kill(),
        Fault::KillAgent => fleet.agents.iter_mut().for_each(|a| a.process.kill()),
        Fault::KillUpstream => {
            // The process keeps its record in memory only.
            collect_runs(fleet, runs).await?;
            for agent in &mut fleet.agents {
                agent.kill_upstream();
            }
        }
        Fault::FreezeEntry => freeze(&fleet.entries[0].process).await?,
        Fault::FreezeAgent => {
            for agent in &fleet.agents {
                agent.process.signal(Signal::STOP)?;
            }
            Timer::after(FREEZE_TIME).await;
            for agent in &fleet.agents {
                agent.process.signal(Signal::CONT)?;
            }
        }
        Fault::FreezeUpstream => {
            for agent in &fleet.agents {
                agent.signal_upstream(Signal::STOP)?;
            }
            Timer::after(FREEZE_TIME).await;
            for agent in &fleet.agents {
                agent.signal_upstream(Signal::CONT)?;
            }
        }
        Fault::LoseUpstreamAnswer => {
            for addr in fleet.agents.iter().filter_map(|a| a.upstream_addr) {
                control::set_faults(&fleet.client, addr, &lose_one_response()).await?;
            }
        }
        Fault::LoseLogAnswer => {
            control::set_faults(&fleet.client, fleet.platform.log, &lose_one_response()).await?;
        }
        Fault::LogDown => {
            let down = Faults {
                down: true,
                ..Faults::default()
            };
            control::set_faults(&fleet.client, fleet.platform.log, &down).await?;
        }
        Fault::SentTwice => {}
    }
    Ok(())
}

/// Ends the fault: restarts killed processes and clears the faults of the stand-ins.
async fn clear_fault(fleet: &mut Fleet, fault: Fault) -> anyhow::Result<()> {
    match fault {
        Fault::KillEntry => fleet.restart_entry(0).await?,
        Fault::KillAgent => {
            for i in 0..fleet.agents.len() {
                fleet.restart_agent(i).await?;
            }
        }
        Fault::KillUpstream => {
            for i in 0..fleet.agents.len() {
                fleet.restart_upstream(i).await?;
            }
        }
        _ => {}
    }
    let no_faults = Faults::default();
    control::set_faults(&fleet.client, fleet.platform.log, &no_faults).await?;
    for addr in fleet.agents.iter().filter_map(|a| a.upstream_addr) {
        control::set_faults(&fleet.client, addr, &no_faults).await?;
    }
    Ok(())
}

async fn freeze(process: &crate::trial::process::Process) -> anyhow::Result<()> {
    process.signal(Signal::STOP)?;
    Timer::after(FREEZE_TIME).await;
    process.signal(Signal::CONT)
}

fn lose_one_response() -> Faults {
    Faults {
        lose_answers: 1,
        ..Faults::default()
    }
}

fn request(order: &str) -> Request {
    Request {
        path: "/ompelu-app/orders".to_owned(),
        account: "clerks-orders".to_owned(),
        deadline: DEADLINE,
        headers: vec![("idempotency-key".to_owned(), format!("key-{order}"))],
        payload: Payload::Order(Order {
            order: order.to_owned(),
        }),
    }
}

/// Adds the runs that the upstreams have recorded. To count no run twice, it is called
/// once per process: before the process is killed, or at the end of the trial.
async fn collect_runs(fleet: &Fleet, runs: &mut HashMap<String, u32>) -> anyhow::Result<()> {
    for node in fleet.plain_nodes() {
        let record: PlainRecord = fleet.record(node).await?;
        for (order, n) in record.runs {
            *runs.entry(order).or_default() += n;
        }
    }
    Ok(())
}

fn report(orders: &HashMap<String, OrderResult>, runs: &HashMap<String, u32>) -> Report {
    let mut report = Report::default();
    let run_count = |order: &String| runs.get(order).copied().unwrap_or(0);
    for fault in FAULTS {
        let orders = orders.iter().filter(|(_, result)| result.fault == fault);
        let mut names = Vec::new();
        for (_, result) in orders {
            names.extend(result.outcomes.iter().map(CallOutcome::name));
        }
        let count = |name: &str| names.iter().filter(|n| **n == name).count();
        let outcome_names = [
            "answered", "not-run", "unknown", "failed", "broken", "wrong",
        ];
        let text: Vec<String> = outcome_names
            .iter()
            .filter(|n| count(n) > 0)
            .map(|n| format!("{n} {}", count(n)))
            .collect();
        report.add(&format!("{fault:?}"), text.join(", "));
    }
    let count_all = |matches: fn(&CallOutcome) -> bool| {
        let outcomes = orders.values().flat_map(|result| &result.outcomes);
        outcomes.filter(|outcome| matches(outcome)).count() as u64
    };
    report.add("orders", orders.len());
    report.add(
        "answered",
        count_all(|outcome| *outcome == CallOutcome::Answered),
    );
    report.add(
        "not_run",
        count_all(|outcome| *outcome == CallOutcome::NotRun),
    );
    report.add(
        "unknown",
        count_all(|outcome| *outcome == CallOutcome::Unknown),
    );
    report.add(
        "broken",
        count_all(|outcome| matches!(outcome, CallOutcome::Broken(_))),
    );
    report.add_zero(
        "wrong",
        count_all(|outcome| matches!(outcome, CallOutcome::Wrong(_))),
    );
    let double = orders.keys().filter(|order| run_count(order) > 1).count() as u64;
    report.add_zero("double_runs", double);
    let false_not_run = orders
        .iter()
        .filter(|(order, result)| {
            run_count(order) > 0
                && result
                    .outcomes
                    .iter()
                    .all(|outcome| *outcome == CallOutcome::NotRun)
        })
        .count() as u64;
    report.add_zero("false_not_run", false_not_run);
    let without_run = orders
        .iter()
        .filter(|(order, result)| {
            run_count(order) == 0 && result.outcomes.contains(&CallOutcome::Answered)
        })
        .count() as u64;
    report.add_zero("answered_without_run", without_run);
    for (order, result) in orders.iter().filter(|(order, _)| run_count(order) > 1) {
        eprintln!(
            "at-most-once: {order} ran {} times, outcomes {:?}",
            run_count(order),
            result.outcomes
        );
    }
    report
}
