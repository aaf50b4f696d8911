//! Sends a request that crashes every upstream that runs it several times, beside
//! requests that do not.

use std::path::PathBuf;
use std::sync::Arc;
use std::time::{Duration, Instant};

use smol::Timer;
use wire::Client;

use crate::engine::{CRASH_WORD, EngineRecord, GenerateRequest};
use crate::trial::caller::{CallOutcome, Payload, Request, send};
use crate::trial::fleet::{Fleet, FleetSpec};
use crate::trial::report::Report;
use crate::trial::tally::Tally;

/// Number of times that the crashing request is sent, to the entries in turn.
const SENDS: usize = 12;
/// Time between a response to the crashing request and the next send.
const RETRY_PAUSE: Duration = Duration::from_millis(100);
/// Requests a second that do not crash the upstream.
const GOOD_RATE: u32 = 60;
/// Most upstreams that the crashing request may crash.
const MAX_CRASHES: u64 = 2;
/// Time from the start of a request to its deadline.
const DEADLINE: Duration = Duration::from_secs(5);

fn spec() -> FleetSpec {
    FleetSpec {
        config_file: PathBuf::from("examples/lippula.json"),
        entries: 3,
        upstreams: vec![("neula-llm".to_owned(), 6)],
        model_size: 2 << 20,
        chunk_size: 256 << 10,
        origin_rate: 32 << 20,
        engine_args: vec!["--fenced".to_owned()],
        plain_args: Vec::new(),
    }
}

/// Runs the trial.
pub async fn run() -> anyhow::Result<Report> {
    let mut report = Report::default();
    let mut fleet = Fleet::start(spec()).await?;
    fleet.create_model(1).await?;
    fleet.apply().await?;
    anyhow::ensure!(
        fleet.await_open(Duration::from_secs(20)).await?,
        "not every upstream opened"
    );
    let entries = fleet.entry_addrs();
    let tally = Arc::new(Tally::default());
    let good = {
        let (entries, tally) = (entries.clone(), tally.clone());
        smol::spawn(async move { send_good(entries, tally).await })
    };
    Timer::after(Duration::from_millis(500)).await;

    eprintln!("crash: sending the crashing request {SENDS} times");
    let client = Client::default();
    let mut outcomes: Vec<CallOutcome> = Vec::new();
    for i in 0..SENDS {
        outcomes.push(
            send(&client, entries[i % entries.len()], &crashing_request())
                .await
                .outcome,
        );
        Timer::after(RETRY_PAUSE).await;
    }
    good.await;

    let mut crashes = 0;
    let mut partial = 0;
    for node in fleet.engine_nodes() {
        let record: EngineRecord = fleet.record(node).await?;
        crashes += record.crashes;
        partial += record.partial_weights;
    }
    let counts = tally.counts();
    let names: Vec<&str> = outcomes.iter().map(CallOutcome::name).collect();
    report.add("bad_request_told", names.join(", "));
    report.add("crashes", crashes);
    report.require(crashes <= MAX_CRASHES, || {
        format!("{crashes} upstreams crashed, at most {MAX_CRASHES} may")
    });
    report.require(crashes > 0, || {
        "the crashing request crashed no upstream".to_owned()
    });
    report.add("good_requests", counts.requests);
    report.add("good_answered", counts.answered);
    report.add("good_refused", counts.refused);
    report.add(
        "good_broken_or_failed",
        counts.lost + counts.failed + counts.unknown,
    );
    report.add_zero("wrong", counts.wrong);
    report.add_zero("partial_weights", partial);
    Ok(report)
}

async fn send_good(entries: Vec<std::net::SocketAddr>, tally: Arc<Tally>) {
    let client = Client::default();
    let start = Instant::now();
    let mut tasks = Vec::new();
    for i in 0..GOOD_RATE * 5 {
        Timer::at(start + Duration::from_secs(1) * i / GOOD_RATE).await;
        let (client, tally) = (client.clone(), tally.clone());
        let entry = entries[i as usize % entries.len()];
        tasks.push(smol::spawn(async move {
            tally.record_sent();
            let finished = send(&client, entry, &request(&format!("layout {i}"))).await;
            tally.record_finished(&finished, None);
        }));
    }
    for task in tasks {
        task.await;
    }
}

fn crashing_request() -> Request {
    request(CRASH_WORD)
}

fn request(prompt: &str) -> Request {
    Request {
        path: "/neula-llm/summarise".to_owned(),
        account: "clerks-briefs".to_owned(),
        deadline: DEADLINE,
        headers: Vec::new(),
        payload: Payload::Generate(GenerateRequest {
            prompt: prompt.to_owned(),
            max_tokens: 24,
            stream: false,
        }),
    }
}
