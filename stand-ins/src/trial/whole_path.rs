//! End-to-end trial: distribution of weights, mixed load while one failure domain is taken
//! out of service and put back, callers that hang up, and a graceful stop.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::{Duration, Instant};

use rustix::process::Signal;
use serde_json::Value;
use smol::{Task, Timer};

use crate::engine::{EngineRecord, GenerateRequest, unix_time_ms};
use crate::plain_service::{Order, PlainRecord};
use crate::trial::caller::{CallOutcome, Payload, Request, send};
use crate::trial::control;
use crate::trial::fleet::{Fleet, FleetSpec};
use crate::trial::report::Report;
use crate::trial::tally::{Counts, Tally};

/// Requests a second of the mixed load.
const RATE: u32 = 60;
/// Time under load before the failure domain is taken out.
const BEFORE_DRAIN: Duration = Duration::from_secs(3);
/// Time for which the failure domain is out of service.
const OUT_OF_SERVICE_TIME: Duration = Duration::from_secs(6);
/// Time under load after the failure domain is back in service.
const AFTER_RETURN: Duration = Duration::from_secs(3);
/// Time for which one entry is stopped with SIGSTOP, from just before the change.
const FREEZE_TIME: Duration = Duration::from_millis(2500);
/// Longest time from the change to the last request that the failure domain starts while
/// it is out of service.
const DRAIN_LIMIT: Duration = Duration::from_secs(2);
/// Number of callers that close their connections early; half of them receive streams.
const HANG_UPS: usize = 8;
/// Longest time from the hang-up to the end of the generation at the engine.
const HANG_UP_LIMIT: Duration = Duration::from_secs(3);
/// Time from the start of a request to its deadline.
const DEADLINE: Duration = Duration::from_secs(8);
/// Longest time until all engines serve the model.
const REPLICA_LIMIT: Duration = Duration::from_secs(20);
/// Client accounts that the requests use in turn.
const ACCOUNTS: [&str; 4] = [
    "workshop-helsinki",
    "workshop-tampere",
    "clerks-orders",
    "stock-desk",
];

/// The fleet of the trial.
pub fn spec() -> FleetSpec {
    FleetSpec {
        config_file: PathBuf::from("examples/lippula.json"),
        entries: 2,
        upstreams: vec![
            ("neula-llm".to_owned(), 6),
            ("ompelu-app".to_owned(), 3),
            ("kangas-app".to_owned(), 1),
        ],
        model_size: 16 << 20,
        chunk_size: 256 << 10,
        origin_rate: 8 << 20,
        engine_args: vec!["--fenced".to_owned()],
        plain_args: vec!["--reports".to_owned()],
    }
}

/// Runs the trial.
pub async fn run() -> anyhow::Result<Report> {
    let mut report = Report::default();
    eprintln!("trial: starting 25 processes");
    let mut fleet = Fleet::start(spec()).await?;
    distribute_model(&mut fleet, &mut report).await?;

    eprintln!("trial: {RATE} requests a second, one failure domain out of service");
    let tally = Arc::new(Tally::default());
    let callers = Callers::start(fleet.entry_addrs(), tally.clone());
    Timer::after(BEFORE_DRAIN).await;
    // One entry is frozen during the change and continues with the old configuration:
    // the agents have to refuse the requests that it sends.
    fleet.entries[1].process.signal(Signal::STOP)?;
    let drain_start_ms = set_in_service(&mut fleet, "pirkanmaa-a", false).await?;
    Timer::after(FREEZE_TIME).await;
    fleet.entries[1].process.signal(Signal::CONT)?;
    Timer::after(OUT_OF_SERVICE_TIME - FREEZE_TIME).await;
    let return_ms = unix_time_ms();
    set_in_service(&mut fleet, "pirkanmaa-a", true).await?;
    Timer::after(AFTER_RETURN).await;
    callers.stop().await;

    eprintln!("trial: {HANG_UPS} callers hang up");
    hang_up(&fleet, &mut report).await?;

    eprintln!("trial: stopping with SIGTERM, requests in flight");
    let calls = Callers::burst(&fleet.entry_addrs(), &tally, 24);
    Timer::after(Duration::from_millis(100)).await;
    let not_stopped = fleet.stop().await?;
    for task in calls {
        task.await;
    }

    let counts = tally.counts();
    report_counts(&mut report, &counts);
    report_records(&mut report, &fleet, &counts, drain_start_ms, return_ms).await?;
    report.add_zero("not_stopped", not_stopped.len() as u64);
    for text in &counts.samples {
        eprintln!("trial: {text}");
    }
    Ok(report)
}

/// Sends requests with long responses and closes their connections; the engines have to
/// stop generating.
async fn hang_up(fleet: &Fleet, report: &mut Report) -> anyhow::Result<()> {
    let client = wire::Client::default();
    let calls: Vec<Task<()>> = (0..HANG_UPS)
        .map(|i| {
            let (client, entry) = (client.clone(), fleet.entry_addrs()[i % 2]);
            let request = Request {
                payload: Payload::Generate(GenerateRequest {
                    prompt: format!("long layout {i}"),
                    max_tokens: 100_000,
                    stream: i % 4 < 2,
                }),
                ..request(0)
            };
            smol::spawn(async move { drop(send(&client, entry, &request).await) })
        })
        .collect();
    Timer::after(Duration::from_millis(500)).await;
    drop(calls);
    let start = Instant::now();
    let mut running = usize::MAX;
    while running > 0 && start.elapsed() < HANG_UP_LIMIT {
        Timer::after(Duration::from_millis(50)).await;
        running = 0;
        for addr in fleet.engine_nodes().filter_map(|n| n.upstream_addr) {
            let load: Value = control::get_json(&fleet.client, addr, "/load").await?;
            running += load["running"].as_u64().map_or(0, |n| n as usize);
        }
    }
    report.add_zero("running_after_hang_up", running as u64);
    report.add_seconds("hang_up_seconds", start.elapsed());
    Ok(())
}

async fn distribute_model(fleet: &mut Fleet, report: &mut Report) -> anyhow::Result<()> {
    let model = fleet.create_model(1).await?;
    eprintln!(
        "trial: distributing {} MiB to {} engines",
        model.size >> 20,
        fleet.engine_nodes().count()
    );
    let start = Instant::now();
    fleet.apply().await?;
    let replicas = fleet.await_replicas(model.content, REPLICA_LIMIT).await?;
    let duration = start.elapsed();
    let engines = fleet.engine_nodes().count();
    report.add("replicas", replicas);
    report.require(replicas == engines, || {
        format!("{replicas} of {engines} engines serve the model")
    });
    report.add_seconds("replica_seconds", duration);
    let spec = spec();
    let link_rate = spec.origin_rate as f64;
    let bound = (spec.model_size + spec.chunk_size) as f64 / link_rate;
    report.add_seconds("bound_seconds", Duration::from_secs_f64(bound));
    let record: Value = control::get_json(&fleet.client, fleet.platform.origin, "/record").await?;
    let copies = record["bytes"].as_f64().unwrap_or(0.0) / spec.model_size as f64;
    report.add("origin_copies", (copies * 100.0).round() / 100.0);
    let open = fleet.await_open(Duration::from_secs(10)).await?;
    report.require(open, || "not every upstream opened".to_owned());
    Ok(())
}

/// Changes whether a failure domain is in service; returns the time after the change was
/// accepted, in milliseconds of the Unix time.
async fn set_in_service(fleet: &mut Fleet, domain: &str, value: bool) -> anyhow::Result<u64> {
    if let Some(d) = fleet.declaration.failure_domains.get_mut(domain) {
        d.in_service = value;
    }
    fleet.apply().await?;
    Ok(unix_time_ms())
}

struct Callers {
    stop: async_channel::Sender<()>,
    task: Task<Vec<Task<()>>>,
}

impl Callers {
    /// Sends requests at a steady rate without waiting for earlier ones.
    fn start(entries: Vec<SocketAddr>, tally: Arc<Tally>) -> Self {
        let (stop, stopped) = async_channel::bounded::<()>(1);
        let task = smol::spawn(async move {
            let client = wire::Client::default();
            let start = Instant::now();
            let mut tasks = Vec::new();
            for i in 0u32.. {
                Timer::at(start + Duration::from_secs(1) * i / RATE).await;
                if stopped.is_closed() {
                    break;
                }
                let entry = entries[i as usize % entries.len()];
                tasks.push(spawn_call(client.clone(), entry, request(i), tally.clone()));
            }
            tasks
        });
        Callers { stop, task }
    }

    async fn stop(self) {
        self.stop.close();
        for task in self.task.await {
            task.await;
        }
    }

    /// Sends a number of requests at once.
    fn burst(entries: &[SocketAddr], tally: &Arc<Tally>, count: u32) -> Vec<Task<()>> {
        let client = wire::Client::default();
        (0..count)
            .map(|i| {
                let entry = entries[i as usize % entries.len()];
                spawn_call(client.clone(), entry, request(1_000_000 + i), tally.clone())
            })
            .collect()
    }
}

fn spawn_call(
    client: wire::Client,
    entry: SocketAddr,
    request: Request,
    tally: Arc<Tally>,
) -> Task<()> {
    smol::spawn(async move {
        tally.record_sent();
        let order = match &request.payload {
            Payload::Order(o) if request.path.ends_with("orders") => Some(o.order.clone()),
            _ => None,
        };
        let finished = send(&client, entry, &request).await;
        tally.record_finished(&finished, order);
    })
}

/// A request of the mix: streamed and unary generation, orders, and stock lookups.
fn request(i: u32) -> Request {
    let prompt = |stream| {
        Payload::Generate(GenerateRequest {
            prompt: format!("layout {} for order {i}", i % 40),
            max_tokens: 16 + i % 48,
            stream,
        })
    };
    let order = || {
        Payload::Order(Order {
            order: format!("order-{i}"),
        })
    };
    let (path, payload) = match i % 10 {
        0..=2 => ("/neula-llm/complete", prompt(true)),
        3..=5 => ("/neula-llm/summarise", prompt(false)),
        6..=8 => ("/ompelu-app/orders", order()),
        _ => ("/kangas-app/stock", order()),
    };
    Request {
        path: path.to_owned(),
        account: ACCOUNTS[i as usize % ACCOUNTS.len()].to_owned(),
        deadline: DEADLINE,
        headers: Vec::new(),
        payload,
    }
}

fn report_counts(report: &mut Report, counts: &Counts) {
    report.add("requests", counts.requests);
    report.add("answered", counts.answered);
    report.add("refused", counts.refused);
    report.add_zero("refused_without_retry", counts.without_retry);
    report.add("unknown", counts.unknown);
    report.add_zero("failed", counts.failed);
    report.add_zero("lost", counts.lost);
    report.add_zero("wrong", counts.wrong);
    report.add_seconds("latency_p50", counts.percentile(50.0));
    report.add_seconds("latency_p99", counts.percentile(99.0));
}

async fn report_records(
    report: &mut Report,
    fleet: &Fleet,
    counts: &Counts,
    drain_start_ms: u64,
    return_ms: u64,
) -> anyhow::Result<()> {
    let limit_ms = u64::try_from(DRAIN_LIMIT.as_millis())?;
    let late_starts = |domain: &str, starts: &[u64]| match domain {
        "pirkanmaa-a" => starts
            .iter()
            .filter(|&&start_ms| start_ms > drain_start_ms + limit_ms && start_ms < return_ms)
            .count() as u64,
        _ => 0,
    };
    let (mut overruns, mut partial, mut late, mut double, mut false_not_run) = (0, 0, 0, 0, 0);
    let (mut runs, mut cancelled) = (0, 0);
    for node in fleet.engine_nodes() {
        let record: EngineRecord = fleet.record(node).await?;
        overruns += record.cold_overruns;
        partial += record.partial_weights;
        runs += record.runs;
        cancelled += record.cancelled;
        late += late_starts(&node.member.failure_domain, &record.starts);
    }
    let mut order_runs = std::collections::HashMap::<String, u32>::new();
    for node in fleet.plain_nodes() {
        let record: PlainRecord = fleet.record(node).await?;
        late += late_starts(&node.member.failure_domain, &record.starts);
        for (order, n) in record.runs {
            *order_runs.entry(order).or_default() += n;
        }
    }
    let mut without_run = 0;
    for (order, outcome) in &counts.orders {
        let count = order_runs.get(order).copied().unwrap_or(0);
        double += u64::from(count > 1);
        false_not_run += u64::from(*outcome == CallOutcome::NotRun && count > 0);
        without_run += u64::from(*outcome == CallOutcome::Answered && count == 0);
    }
    report.add("engine_runs", runs);
    report.add("engine_cancelled", cancelled);
    report.add_zero("double_runs", double);
    report.add_zero("false_not_run", false_not_run);
    report.add_zero("answered_without_run", without_run);
    report.add_zero("cold_overruns", overruns);
    report.add_zero("partial_weights", partial);
    report.add_zero("late_after_drain", late);
    Ok(())
}
