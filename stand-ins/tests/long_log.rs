//! Records that the log sends in several pages: a process knows all of them only after the
//! last one.

mod fixture;

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use fixture::{Deployment, declaration, open_reply, order, read_response, serve, wait_until};
use http_types::{Request, Response};
use platform::{LogClient, streams};
use protocol::paths;
use serde_json::Value;
use stand_ins::faults::Faults;
use stand_ins::trial::control;
use wire::{Client, Handler};

const TIMEOUT: Duration = Duration::from_millis(1500);

/// An agent that answers only heartbeats, and counts the runs that reach it.
#[derive(Default)]
struct CountingAgent {
    runs: Mutex<usize>,
}

impl Handler for CountingAgent {
    async fn handle(&self, request: Request, _peer: SocketAddr) -> Response {
        match request.url().path() {
            paths::HEARTBEAT => return open_reply("upstream"),
            paths::RUN => *self.runs.lock().unwrap() += 1,
            _ => {}
        }
        std::future::pending().await
    }
}

/// Records behind the first page were missing.
#[test]
fn records_behind_the_first_page_are_not_read() {
    smol::block_on(async {
        let log = Arc::new(stand_ins::log::Log::new(1000, 1000));
        let (addr, _close) = serve(log.clone()).await;
        let client = LogClient::new(addr, Client::default());
        for number in 0..20_u64 {
            client.append(streams::AUDIT, &number).await.unwrap();
        }

        log.set_page_records(3);
        let part = client.read::<u64>(streams::AUDIT, 2, Duration::ZERO).await;
        let all = client.read_all::<u64>(streams::AUDIT, 2).await.unwrap();

        let part = part.unwrap();
        assert_eq!((part.records.len(), part.next, part.end), (3, 5, 20));
        let expected: Vec<(u64, u64)> = (2..20).map(|n| (n, n)).collect();
        assert_eq!(all.records, expected);
        assert_eq!((all.next, all.end), (20, 20));
    });
}

/// A claim that was not on the first page behind older ones counted as lost, and its request
/// was refused for as long as the log kept them.
#[test]
fn claim_behind_the_first_page_is_absent() {
    smol::block_on(async {
        let agent = Arc::new(CountingAgent::default());
        let (addr, _close) = serve(agent.clone()).await;
        let deployment =
            Deployment::with_agents(&[("upstream", addr)], &declaration(4, TIMEOUT)).await;
        let send = async |key: &str| {
            let line = format!("idempotency-key: {key}\r\n");
            let mut caller = deployment.send_with("/orders", &order("a"), &line).await;
            read_response(&mut caller).await
        };
        wait_until(async || !send("probe").await.contains("log not available")).await;

        let first = send("k").await;
        let runs = *agent.runs.lock().unwrap();
        deployment.records.set_page_records(1);
        let second = send("k").await;

        assert!(first.starts_with("HTTP/1.1 504"), "{first}");
        assert!(!second.contains("log not available"), "{second}");
        assert_eq!(*agent.runs.lock().unwrap(), runs, "it ran again");
    });
}

/// An entry that started while the log was slow brought each older configuration into force
/// on its way to the newest.
#[test]
fn configuration_of_an_earlier_page_is_in_force() {
    smol::block_on(async {
        let (addr, _close) = serve(Arc::new(CountingAgent::default())).await;
        let text = declaration(4, TIMEOUT);
        let mut deployment = Deployment::with_agents(&[("upstream", addr)], &text).await;
        for _ in 0..3 {
            deployment.apply(&text).await;
        }

        deployment.records.set_page_records(1);
        let faults = Faults {
            slow_ms: 50,
            ..Faults::default()
        };
        let (client, log) = (deployment.client.clone(), deployment.log);
        control::set_faults(&client, log, &faults).await.unwrap();
        let entry = deployment.start_entry_beside().await;
        let mut seen = Vec::new();
        wait_until(async || {
            let status: Value = control::get_json(&client, entry, "/status").await.unwrap();
            seen.push(status["revision"].as_u64().unwrap());
            seen.last() == Some(&4)
        })
        .await;

        seen.dedup();
        assert_eq!(seen, [0, 4]);
    });
}
