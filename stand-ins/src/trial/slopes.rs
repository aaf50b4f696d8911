//! Slopes for docs/CAPACITY.md: what a request, a process at rest, a change, a chunk and
//! a request in flight cost an entry and an agent.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::{Duration, Instant};

use anyhow::Context;
use http_types::Method;
use smol::Timer;
use wire::{Call, Client};

use crate::engine::GenerateRequest;
use crate::plain_service::Order;
use crate::trial::caller::{CallOutcome, Payload, Request, send};
use crate::trial::fleet::{Fleet, FleetSpec, Node};
use crate::trial::process::Usage;
use crate::trial::report::Report;

/// Duration of one measurement.
const MEASURE_TIME: Duration = Duration::from_secs(5);
/// Requests a second of the lower and the higher load.
const RATES: [u32; 2] = [100, 400];
/// Numbers of agents of the two fleets at rest.
const AGENT_COUNTS: [usize; 2] = [10, 40];
/// Number of changes over which the cost of a change is averaged.
const CHANGES: u32 = 20;
/// Numbers of requests in flight between which the memory is compared.
const IN_FLIGHT: [u32; 2] = [40, 240];
/// Output tokens of a request in flight. Its generation has to last longer than the
/// measurement.
const LONG_TOKENS: u32 = 2000;

/// Runs every measurement.
pub async fn run() -> anyhow::Result<Report> {
    let mut report = Report::default();
    request_cost(&mut report).await?;
    idle_and_change_cost(&mut report).await?;
    chunk_cost(&mut report).await?;
    Ok(report)
}

fn spec(engines: usize, plain_services: usize) -> FleetSpec {
    FleetSpec {
        config_file: PathBuf::from("examples/lippula.json"),
        entries: 1,
        upstreams: vec![
            ("neula-llm".to_owned(), engines),
            ("ompelu-app".to_owned(), plain_services),
        ],
        model_size: 32 << 20,
        chunk_size: 256 << 10,
        origin_rate: 256 << 20,
        engine_args: [
            "--token-us",
            "1000",
            "--slots",
            "600",
            "--cold-slots",
            "600",
        ]
        .map(str::to_owned)
        .to_vec(),
        plain_args: ["--reports", "--service-ms", "2"]
            .map(str::to_owned)
            .to_vec(),
    }
}

/// Resources that a node has used and bytes that it has sent and received so far.
#[derive(Debug, Clone, Copy)]
struct Sample {
    usage: Usage,
    bytes: u64,
}

async fn sample(client: &Client, node: &Node) -> anyhow::Result<Sample> {
    let usage = node.process.usage().context("the process has ended")?;
    Ok(Sample {
        usage,
        bytes: traffic(client, node.member.addr).await?,
    })
}

/// Bytes sent and received so far, from the metrics of the node.
async fn traffic(client: &Client, addr: SocketAddr) -> anyhow::Result<u64> {
    let response = client
        .send(Call::new(Method::Get, addr, "/metrics")?)
        .await?;
    let metrics = String::from_utf8(response.bytes(1 << 20).await?)?;
    let byte_counts = metrics
        .lines()
        .filter(|l| l.starts_with("turmerichold_wire_"))
        .filter_map(|l| l.rsplit_once(' ')?.1.parse::<u64>().ok());
    Ok(byte_counts.sum())
}

fn cpu_micros(before: Sample, after: Sample) -> f64 {
    (after.usage.cpu_time - before.usage.cpu_time).as_secs_f64() * 1e6
}

fn round_to_tenth(value: f64) -> f64 {
    (value * 10.0).round() / 10.0
}

/// Cost of a request: the slope between the two loads.
async fn request_cost(report: &mut Report) -> anyhow::Result<()> {
    eprintln!("slopes: requests");
    let mut fleet = Fleet::start(spec(1, 1)).await?;
    fleet.create_model(1).await?;
    set_limits(&mut fleet, 600);
    fleet.apply().await?;
    anyhow::ensure!(
        fleet.await_open(Duration::from_secs(20)).await?,
        "not every upstream opened"
    );
    let entry = fleet.entry_addrs()[0];
    for (name, request) in [
        ("unary", unary_request as fn(u32) -> Request),
        ("streamed", streamed_request),
    ] {
        let agent = match name {
            "unary" => &fleet.agents[1],
            _ => &fleet.agents[0],
        };
        send_load(entry, 50, Duration::from_secs(1), request).await?;
        let mut points = Vec::new();
        for rate in RATES {
            let before = sample_nodes(&fleet, agent).await?;
            let answered = send_load(entry, rate, MEASURE_TIME, request).await?;
            let after = sample_nodes(&fleet, agent).await?;
            points.push((answered, before, after));
        }
        let extra = f64::from(points[1].0 - points[0].0);
        for (role, i) in [("entry", 0), ("agent", 1)] {
            let cost = |p: &(u32, [Sample; 2], [Sample; 2])| cpu_micros(p.1[i], p.2[i]);
            let size = |p: &(u32, [Sample; 2], [Sample; 2])| (p.2[i].bytes - p.1[i].bytes) as f64;
            let slope = (cost(&points[1]) - cost(&points[0])) / extra;
            let bytes = (size(&points[1]) - size(&points[0])) / extra;
            report.add(
                &format!("{role}_us_per_{name}_request"),
                round_to_tenth(slope),
            );
            report.add(
                &format!("{role}_bytes_per_{name}_request"),
                round_to_tenth(bytes),
            );
        }
    }
    in_flight_memory(report, &fleet).await
}

/// Memory of a request in flight: the slope between two numbers of requests.
async fn in_flight_memory(report: &mut Report, fleet: &Fleet) -> anyhow::Result<()> {
    eprintln!("slopes: requests in flight");
    let entry = fleet.entry_addrs()[0];
    let mut points = Vec::new();
    for count in IN_FLIGHT {
        let client = Client::default();
        let tasks: Vec<_> = (0..count)
            .map(|i| {
                let client = client.clone();
                smol::spawn(async move { send(&client, entry, &long_request(i)).await })
            })
            .collect();
        Timer::after(Duration::from_millis(1500)).await;
        points.push(sample_nodes(fleet, &fleet.agents[0]).await?);
        drop(tasks);
        Timer::after(Duration::from_millis(500)).await;
    }
    for (role, i) in [("entry", 0), ("agent", 1)] {
        let growth = points[1][i].usage.memory as f64 - points[0][i].usage.memory as f64;
        let slope = growth / f64::from(IN_FLIGHT[1] - IN_FLIGHT[0]) / 1024.0;
        report.add(
            &format!("{role}_kib_per_request_in_flight"),
            round_to_tenth(slope),
        );
    }
    Ok(())
}

/// Cost of a process at rest in a small and a large fleet, and of a change in the large
/// one.
async fn idle_and_change_cost(report: &mut Report) -> anyhow::Result<()> {
    let mut points = Vec::new();
    for count in AGENT_COUNTS {
        eprintln!("slopes: {count} agents at rest");
        let mut fleet = Fleet::start(spec(0, count)).await?;
        fleet.create_model(1).await?;
        fleet.apply().await?;
        anyhow::ensure!(
            fleet.await_open(Duration::from_secs(20)).await?,
            "not every upstream opened"
        );
        Timer::after(Duration::from_secs(1)).await;
        let before = sample_nodes(&fleet, &fleet.agents[0]).await?;
        Timer::after(MEASURE_TIME * 2).await;
        let after = sample_nodes(&fleet, &fleet.agents[0]).await?;
        points.push((before, after));
        if count == AGENT_COUNTS[1] {
            change_cost(report, &mut fleet).await?;
        }
    }
    let span = (MEASURE_TIME * 2).as_secs_f64();
    for (n, (before, after)) in AGENT_COUNTS.iter().zip(&points) {
        for (role, i) in [("entry", 0), ("agent", 1)] {
            let share = cpu_micros(before[i], after[i]) / span / 1e4;
            report.add(
                &format!("{role}_core_percent_at_rest_{n}"),
                round_to_tenth(share * 10.0) / 10.0,
            );
            let bytes = (after[i].bytes - before[i].bytes) as f64 / span;
            report.add(
                &format!("{role}_bytes_per_s_at_rest_{n}"),
                round_to_tenth(bytes),
            );
            let memory = after[i].usage.memory as f64 / f64::from(1 << 20);
            report.add(&format!("{role}_mib_at_rest_{n}"), round_to_tenth(memory));
        }
    }
    Ok(())
}

async fn change_cost(report: &mut Report, fleet: &mut Fleet) -> anyhow::Result<()> {
    eprintln!("slopes: {CHANGES} changes");
    let before = sample_nodes(fleet, &fleet.agents[0]).await?;
    let start = Instant::now();
    for i in 0..CHANGES {
        set_limits(fleet, 32 + i as usize % 2);
        fleet.apply().await?;
        Timer::after(Duration::from_millis(100)).await;
    }
    let span = start.elapsed().as_secs_f64();
    let after = sample_nodes(fleet, &fleet.agents[0]).await?;
    report.add(
        "change_seconds",
        round_to_tenth(span / f64::from(CHANGES) * 10.0) / 10.0,
    );
    for (role, i) in [("entry", 0), ("agent", 1)] {
        let cost = cpu_micros(before[i], after[i]) / f64::from(CHANGES);
        report.add(&format!("{role}_us_per_change"), round_to_tenth(cost));
        let bytes = (after[i].bytes - before[i].bytes) as f64 / f64::from(CHANGES);
        report.add(&format!("{role}_bytes_per_change"), round_to_tenth(bytes));
    }
    Ok(())
}

/// Cost of distributing chunks to agents.
async fn chunk_cost(report: &mut Report) -> anyhow::Result<()> {
    eprintln!("slopes: chunks");
    let spec = spec(12, 1);
    let chunks = spec.model_size.div_ceil(spec.chunk_size) as f64;
    let mut fleet = Fleet::start(spec).await?;
    let model = fleet.create_model(1).await?;
    let node = &fleet.agents[0];
    let before = sample(&fleet.client, node).await?;
    fleet.apply().await?;
    fleet
        .await_replicas(model.content, Duration::from_secs(30))
        .await?;
    let after = sample(&fleet.client, &fleet.agents[0]).await?;
    report.add(
        "agent_us_per_chunk_256_kib",
        round_to_tenth(cpu_micros(before, after) / chunks),
    );
    let bytes = (after.bytes - before.bytes) as f64 / chunks / 1024.0;
    report.add("agent_kib_per_chunk_256_kib", round_to_tenth(bytes));
    let growth = (after.usage.memory - before.usage.memory) as f64;
    report.add(
        "agent_memory_per_weight_byte",
        round_to_tenth(growth / model.size as f64),
    );
    Ok(())
}

async fn sample_nodes(fleet: &Fleet, agent: &Node) -> anyhow::Result<[Sample; 2]> {
    Ok([
        sample(&fleet.client, &fleet.entries[0]).await?,
        sample(&fleet.client, agent).await?,
    ])
}

/// Sets the limits of every service. High limits avoid refusals during a measurement.
fn set_limits(fleet: &mut Fleet, limit: usize) {
    for service in fleet.declaration.services.values_mut() {
        service.limit = limit;
        service.cold_limit = limit.min(service.cold_limit.max(limit / 2));
        service.queue = 1000;
    }
}

/// Sends requests at a rate; returns how many were answered.
async fn send_load(
    entry: SocketAddr,
    rate: u32,
    span: Duration,
    request: fn(u32) -> Request,
) -> anyhow::Result<u32> {
    let client = Client::default();
    let start = Instant::now();
    let count = rate * u32::try_from(span.as_secs())?;
    let mut tasks = Vec::new();
    for i in 0..count {
        Timer::at(start + Duration::from_secs(1) * i / rate).await;
        let client = client.clone();
        tasks.push(smol::spawn(async move {
            send(&client, entry, &request(i)).await.outcome
        }));
    }
    let mut answered = 0;
    for task in tasks {
        answered += u32::from(task.await == CallOutcome::Answered);
    }
    anyhow::ensure!(
        answered * 100 >= count * 99,
        "{answered} of {count} requests answered"
    );
    Ok(answered)
}

fn request(path: &str, payload: Payload) -> Request {
    Request {
        path: path.to_owned(),
        account: "clerks-orders".to_owned(),
        deadline: Duration::from_secs(20),
        headers: Vec::new(),
        payload,
    }
}

fn unary_request(i: u32) -> Request {
    let order = format!("o{i}");
    request("/ompelu-app/layouts", Payload::Order(Order { order }))
}

fn streamed_request(i: u32) -> Request {
    generate(i, 40)
}

fn long_request(i: u32) -> Request {
    generate(i, LONG_TOKENS)
}

fn generate(i: u32, max_tokens: u32) -> Request {
    let prompt = GenerateRequest {
        prompt: format!("layout {i}"),
        max_tokens,
        stream: true,
    };
    request("/neula-llm/complete", Payload::Generate(prompt))
}
