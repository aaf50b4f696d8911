//! Orders that may run at most once, under kills, freezes, cuts and lost answers
//! at every step of the exchange, each sent again through another entry.

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
use crate::trial::report::Report;

/// Time that the service takes for an order, in milliseconds.
const SERVICE_MS: u64 = 200;
/// Deadline of the callers.
const DEADLINE: Duration = Duration::from_millis(2500);
/// Times after the start of a request at which a fault strikes, in milliseconds.
/// They cover the claim, the run, the service and the answer.
const DELAYS: [u64; 9] = [0, 1, 2, 4, 8, 20, 100, 195, 205];
/// How long a frozen process stays frozen.
const FREEZE: Duration = Duration::from_millis(1500);

/// What goes wrong.
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
    /// Whether the fault is switched on before the request is sent.
    fn is_switch(self) -> bool {
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

/// What the caller of one order was told, in turn.
struct Told {
    fault: Fault,
    ends: Vec<CallOutcome>,
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
    let mut told: HashMap<String, Told> = HashMap::new();
    let mut runs: HashMap<String, u32> = HashMap::new();
    for fault in FAULTS {
        eprintln!("at-most-once: {fault:?}");
        for (i, delay) in DELAYS.into_iter().enumerate() {
            anyhow::ensure!(
                fleet.await_open(Duration::from_secs(20)).await?,
                "the fleet did not recover from {fault:?}; see {}",
                fleet.dir().display()
            );
            let order = format!("{fault:?}-{i}");
            let ends = strike(&mut fleet, fault, delay, &order, &mut runs).await?;
            told.insert(order, Told { fault, ends });
        }
    }
    collect_runs(&fleet, &mut runs).await?;
    Ok(judge(&told, &runs))
}

/// Sends one order while a fault strikes, then sends it again.
async fn strike(
    fleet: &mut Fleet,
    fault: Fault,
    delay: u64,
    order: &str,
    runs: &mut HashMap<String, u32>,
) -> anyhow::Result<Vec<CallOutcome>> {
    let entries = fleet.entry_addrs();
    let client = Client::default();
    let request = request(order);
    if fault.is_switch() {
        begin(fleet, fault, runs).await?;
    }
    let first = {
        let (client, request, entry) = (client.clone(), request.clone(), entries[0]);
        smol::spawn(async move { send(&client, entry, &request).await })
    };
    Timer::after(Duration::from_millis(delay)).await;
    let mut ends = Vec::new();
    if fault == Fault::SentTwice {
        ends.push(send(&client, entries[1], &request).await.outcome);
    } else if !fault.is_switch() {
        begin(fleet, fault, runs).await?;
    }
    let first: FinishedCall = first.await;
    ends.insert(0, first.outcome);
    end(fleet, fault).await?;
    for entry in [entries[1], entries[0]] {
        ends.push(send(&client, entry, &request).await.outcome);
    }
    Ok(ends)
}

async fn begin(
    fleet: &mut Fleet,
    fault: Fault,
    runs: &mut HashMap<String, u32>,
) -> anyhow::Result<()> {
    match fault {
        Fault::KillEntry => fleet.entries[0].process.kill(),
        Fault::KillAgent => fleet.agents.iter_mut().for_each(|a| a.process.kill()),
        Fault::KillUpstream => {
            // The record dies with the process.
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
            Timer::after(FREEZE).await;
            for agent in &fleet.agents {
                agent.process.signal(Signal::CONT)?;
            }
        }
        Fault::FreezeUpstream => {
            for agent in &fleet.agents {
                agent.signal_upstream(Signal::STOP)?;
            }
            Timer::after(FREEZE).await;
            for agent in &fleet.agents {
                agent.signal_upstream(Signal::CONT)?;
            }
        }
        Fault::LoseUpstreamAnswer => {
            for addr in fleet.agents.iter().filter_map(|a| a.upstream_addr) {
                control::set_faults(&fleet.client, addr, &lost()).await?;
            }
        }
        Fault::LoseLogAnswer => {
            control::set_faults(&fleet.client, fleet.platform.log, &lost()).await?;
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

/// Ends the fault: starts what was killed and clears switches.
async fn end(fleet: &mut Fleet, fault: Fault) -> anyhow::Result<()> {
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
    let none = Faults::default();
    control::set_faults(&fleet.client, fleet.platform.log, &none).await?;
    for addr in fleet.agents.iter().filter_map(|a| a.upstream_addr) {
        control::set_faults(&fleet.client, addr, &none).await?;
    }
    Ok(())
}

async fn freeze(process: &crate::trial::process::Process) -> anyhow::Result<()> {
    process.signal(Signal::STOP)?;
    Timer::after(FREEZE).await;
    process.signal(Signal::CONT)
}

fn lost() -> Faults {
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

/// Adds the runs that the upstreams have recorded; a later look replaces an earlier one
/// of the same process, so only a process that is about to die is added for good.
async fn collect_runs(fleet: &Fleet, runs: &mut HashMap<String, u32>) -> anyhow::Result<()> {
    for node in fleet.plain_nodes() {
        let record: PlainRecord = fleet.record(node).await?;
        for (order, n) in record.runs {
            *runs.entry(order).or_default() += n;
        }
    }
    Ok(())
}

fn judge(told: &HashMap<String, Told>, runs: &HashMap<String, u32>) -> Report {
    let mut report = Report::default();
    let ran = |order: &String| runs.get(order).copied().unwrap_or(0);
    for fault in FAULTS {
        let orders = told.iter().filter(|(_, t)| t.fault == fault);
        let mut line = Vec::new();
        for (_, t) in orders {
            line.extend(t.ends.iter().map(CallOutcome::name));
        }
        let count = |name: &str| line.iter().filter(|n| **n == name).count();
        let names = [
            "answered", "not-run", "unknown", "failed", "broken", "wrong",
        ];
        let text: Vec<String> = names
            .iter()
            .filter(|n| count(n) > 0)
            .map(|n| format!("{n} {}", count(n)))
            .collect();
        report.add(&format!("{fault:?}"), text.join(", "));
    }
    let all = |end: fn(&CallOutcome) -> bool| {
        let ends = told.values().flat_map(|t| &t.ends);
        ends.filter(|e| end(e)).count() as u64
    };
    report.add("orders", told.len());
    report.add("answered", all(|e| *e == CallOutcome::Answered));
    report.add("not_run", all(|e| *e == CallOutcome::NotRun));
    report.add("unknown", all(|e| *e == CallOutcome::Unknown));
    report.add("broken", all(|e| matches!(e, CallOutcome::Broken(_))));
    report.add_zero("wrong", all(|e| matches!(e, CallOutcome::Wrong(_))));
    let double = told.keys().filter(|o| ran(o) > 1).count() as u64;
    report.add_zero("double_runs", double);
    let false_not_run = told
        .iter()
        .filter(|(o, t)| ran(o) > 0 && t.ends.iter().all(|e| *e == CallOutcome::NotRun))
        .count() as u64;
    report.add_zero("false_not_run", false_not_run);
    let unfounded = told
        .iter()
        .filter(|(o, t)| ran(o) == 0 && t.ends.contains(&CallOutcome::Answered))
        .count() as u64;
    report.add_zero("answered_without_run", unfounded);
    for (order, t) in told.iter().filter(|(o, _)| ran(o) > 1) {
        eprintln!(
            "at-most-once: {order} ran {} times, told {:?}",
            ran(order),
            t.ends
        );
    }
    report
}
