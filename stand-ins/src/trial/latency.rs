//! Latency that entry and agent add to a direct call to the upstream.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use anyhow::Context;
use wire::Client;

use crate::plain_service::Order;
use crate::trial::caller::{Payload, Request, send};
use crate::trial::fleet::{Fleet, FleetSpec};
use crate::trial::report::Report;
use crate::trial::tally::Tally;

/// Calls of each kind. They are sent one at a time and the kinds alternate.
const CALLS: usize = 1500;
/// Time from the start of a call to its deadline.
const DEADLINE: Duration = Duration::from_secs(5);

/// How a call reaches the upstream and whether it may be retried.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum CallKind {
    Direct,
    Repeatable,
    Once,
    OnceWithKey,
}

const KINDS: [CallKind; 4] = [
    CallKind::Direct,
    CallKind::Repeatable,
    CallKind::Once,
    CallKind::OnceWithKey,
];

impl CallKind {
    fn name(self) -> &'static str {
        match self {
            CallKind::Direct => "direct",
            CallKind::Repeatable => "repeatable",
            CallKind::Once => "once",
            CallKind::OnceWithKey => "once_with_key",
        }
    }
}

fn spec() -> FleetSpec {
    FleetSpec {
        config_file: PathBuf::from("examples/lippula.json"),
        entries: 1,
        upstreams: vec![("ompelu-app".to_owned(), 1)],
        model_size: 1 << 20,
        chunk_size: 256 << 10,
        origin_rate: 32 << 20,
        engine_args: Vec::new(),
        plain_args: ["--reports", "--service-ms", "1"]
            .map(str::to_owned)
            .to_vec(),
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
    let entry = fleet.entry_addrs()[0];
    let upstream = fleet.agents[0].upstream_addr.context("no upstream")?;
    let tallies = KINDS.map(|_| Tally::default());
    let client = Client::default();
    for i in 0..CALLS {
        for (kind, tally) in KINDS.into_iter().zip(&tallies) {
            tally.record_sent();
            let (addr, request) = call(kind, i, entry, upstream);
            tally.record_finished(&send(&client, addr, &request).await, None);
        }
    }
    let direct = tallies[0].counts();
    for (kind, tally) in KINDS.into_iter().zip(&tallies) {
        let counts = tally.counts();
        let key = |figure: &str| format!("{}_{figure}", kind.name());
        report.add_zero(&key("not_answered"), counts.requests - counts.answered);
        for p in [50.0, 99.0] {
            let micros = |d: Duration| u64::try_from(d.as_micros()).unwrap_or(u64::MAX);
            report.add(&key(&format!("p{p}_us")), micros(counts.percentile(p)));
            if kind != CallKind::Direct {
                let added = counts.percentile(p).saturating_sub(direct.percentile(p));
                report.add(&key(&format!("p{p}_added_us")), micros(added));
            }
        }
    }
    Ok(report)
}

fn call(
    kind: CallKind,
    i: usize,
    entry: SocketAddr,
    upstream: SocketAddr,
) -> (SocketAddr, Request) {
    let (addr, path) = match kind {
        CallKind::Direct => (upstream, "/orders"),
        CallKind::Repeatable => (entry, "/ompelu-app/layouts"),
        CallKind::Once | CallKind::OnceWithKey => (entry, "/ompelu-app/orders"),
    };
    let order = format!("{}-{i}", kind.name());
    let headers = match kind {
        CallKind::OnceWithKey => vec![("idempotency-key".to_owned(), order.clone())],
        _ => Vec::new(),
    };
    let request = Request {
        path: path.to_owned(),
        account: "clerks-orders".to_owned(),
        deadline: DEADLINE,
        headers,
        payload: Payload::Order(Order { order }),
    };
    (addr, request)
}
