//! The whole path: weights, mixed load, one failure domain out and back, graceful stop.

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

/// Requests a second.
const RATE: u32 = 60;
/// Time under load before the failure domain is taken out.
const BEFORE: Duration = Duration::from_secs(3);
/// Time with the failure domain out.
const OUT: Duration = Duration::from_secs(6);
/// Time under load after its return.
const AFTER: Duration = Duration::from_secs(3);
/// How long one entry is frozen from the change on.
const FROZEN: Duration = Duration::from_millis(2500);
/// Time after which a failure domain that was taken out receives nothing new.
const DRAIN_LIMIT: Duration = Duration::from_secs(2);
/// Callers that hang up, half of them streamed.
const HANG_UPS: usize = 8;
/// Time in which an engine has to stop generating for a caller that has gone.
const HANG_UP_LIMIT: Duration = Duration::from_secs(3);
/// Deadline of the callers' requests.
const DEADLINE: Duration = Duration::from_secs(8);
/// Longest time for the model to reach all engines.
const REPLICA_LIMIT: Duration = Duration::from_secs(20);
/// Accounts that the callers use in turn.
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
    bring_model(&mut fleet, &mut report).await?;

    eprintln!("trial: {RATE} requests a second, one failure domain out and back");
    let tally = Arc::new(Tally::default());
    let callers = Callers::start(fleet.entry_addrs(), tally.clone());
    Timer::after(BEFORE).await;
    // One entry sleeps through the change and wakes up with the old text: the
    // agents have to refuse what it sends.
    fleet.entries[1].process.signal(Signal::STOP)?;
    let out = set_in_service(&mut fleet, "pirkanmaa-a", false).await?;
    Timer::after(FROZEN).await;
    fleet.entries[1].process.signal(Signal::CONT)?;
    Timer::after(OUT - FROZEN).await;
    let back = unix_time_ms();
    set_in_service(&mut fleet, "pirkanmaa-a", true).await?;
    Timer::after(AFTER).await;
    callers.stop().await;

    eprintln!("trial: {HANG_UPS} callers hang up");
    hang_up(&fleet, &mut report).await?;

    eprintln!("trial: stopping by signal with requests in flight");
    let last = Callers::burst(&fleet.entry_addrs(), &tally, 24);
    Timer::after(Duration::from_millis(100)).await;
    let not_stopped = fleet.stop().await?;
    for task in last {
        task.await;
    }

    let counts = tally.counts();
    report_counts(&mut report, &counts);
    report_records(&mut report, &fleet, &counts, out, back).await?;
    report.add_zero("not_stopped", not_stopped.len() as u64);
    for text in &counts.samples {
        eprintln!("trial: {text}");
    }
    Ok(report)
}

/// Callers that ask for long answers and go away; the engines have to stop.
async fn hang_up(fleet: &Fleet, report: &mut Report) -> anyhow::Result<()> {
    let client = wire::Client::default();
    let calls: Vec<Task<()>> = (0..HANG_UPS)
        .map(|i| {
            let (client, entry) = (client.clone(), fleet.entry_addrs()[i % 2]);
            let long = Request {
                payload: Payload::Generate(GenerateRequest {
                    prompt: format!("long layout {i}"),
                    max_tokens: 100_000,
                    stream: i % 4 < 2,
                }),
                ..request(0)
            };
            smol::spawn(async move { drop(send(&client, entry, &long).await) })
        })
        .collect();
    Timer::after(Duration::from_millis(500)).await;
    drop(calls);
    let begun = Instant::now();
    let mut running = usize::MAX;
    while running > 0 && begun.elapsed() < HANG_UP_LIMIT {
        Timer::after(Duration::from_millis(50)).await;
        running = 0;
        for addr in fleet.engine_nodes().filter_map(|n| n.upstream_addr) {
            let load: Value = control::get_json(&fleet.client, addr, "/load").await?;
            running += load["running"].as_u64().map_or(0, |n| n as usize);
        }
    }
    report.add_zero("running_after_hang_up", running as u64);
    report.add_seconds("hang_up_seconds", begun.elapsed());
    Ok(())
}

async fn bring_model(fleet: &mut Fleet, report: &mut Report) -> anyhow::Result<()> {
    let created = fleet.create_model(1).await?;
    eprintln!(
        "trial: bringing {} MiB to {} engines",
        created.size >> 20,
        fleet.engine_nodes().count()
    );
    let begun = Instant::now();
    fleet.apply().await?;
    let replicas = fleet.await_replicas(created.content, REPLICA_LIMIT).await?;
    let took = begun.elapsed();
    let engines = fleet.engine_nodes().count();
    report.add("replicas", replicas);
    report.require(replicas == engines, || {
        format!("{replicas} of {engines} replicas")
    });
    report.add_seconds("replica_seconds", took);
    let spec = spec();
    let link = spec.origin_rate as f64;
    let bound = (spec.model_size + spec.chunk_size) as f64 / link;
    report.add_seconds("bound_seconds", Duration::from_secs_f64(bound));
    let record: Value = control::get_json(&fleet.client, fleet.platform.origin, "/record").await?;
    let copies = record["bytes"].as_f64().unwrap_or(0.0) / spec.model_size as f64;
    report.add("origin_copies", (copies * 100.0).round() / 100.0);
    let open = fleet.await_open(Duration::from_secs(10)).await?;
    report.require(open, || "not every upstream opened".to_owned());
    Ok(())
}

/// Edits the text; returns the time of the accepted change in milliseconds since 1970.
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
    /// Sends requests at a steady rate, whatever becomes of earlier ones.
    fn start(entries: Vec<SocketAddr>, tally: Arc<Tally>) -> Self {
        let (stop, stopped) = async_channel::bounded::<()>(1);
        let task = smol::spawn(async move {
            let client = wire::Client::default();
            let begun = Instant::now();
            let mut tasks = Vec::new();
            for i in 0u32.. {
                Timer::at(begun + Duration::from_secs(1) * i / RATE).await;
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

/// The mix: streamed and unary generation, orders, and stock lookups.
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
    out: u64,
    back: u64,
) -> anyhow::Result<()> {
    let limit = u64::try_from(DRAIN_LIMIT.as_millis())?;
    let late_in = |domain: &str, starts: &[u64]| match domain {
        "pirkanmaa-a" => starts
            .iter()
            .filter(|&&t| t > out + limit && t < back)
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
        late += late_in(&node.member.failure_domain, &record.starts);
    }
    let mut order_runs = std::collections::HashMap::<String, u32>::new();
    for node in fleet.plain_nodes() {
        let record: PlainRecord = fleet.record(node).await?;
        late += late_in(&node.member.failure_domain, &record.starts);
        for (order, n) in record.runs {
            *order_runs.entry(order).or_default() += n;
        }
    }
    let mut unanswered = 0;
    for (order, end) in &counts.orders {
        let n = order_runs.get(order).copied().unwrap_or(0);
        double += u64::from(n > 1);
        false_not_run += u64::from(*end == CallOutcome::NotRun && n > 0);
        unanswered += u64::from(*end == CallOutcome::Answered && n == 0);
    }
    report.add("engine_runs", runs);
    report.add("engine_cancelled", cancelled);
    report.add_zero("double_runs", double);
    report.add_zero("false_not_run", false_not_run);
    report.add_zero("answered_without_run", unanswered);
    report.add_zero("cold_overruns", overruns);
    report.add_zero("partial_weights", partial);
    report.add_zero("late_after_drain", late);
    Ok(())
}
