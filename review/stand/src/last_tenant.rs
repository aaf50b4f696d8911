//! A manifest takes the last tenant away with its key: its list of tenants is empty. With
//! TROUBLE=0, the tenant stays and loses its key.

use std::collections::HashMap;
use std::path::Path;
use std::thread;
use std::time::{Duration, Instant};

use crate::client::{self, Sent};
use crate::engine::Engine;
use crate::manifest::{manifest, without_tenants};
use crate::process::{Gateway, free_ports};
use crate::record::Record;
use crate::store::Store;

/// `revocation_ms` of the settings.
const REVOCATION: Duration = Duration::from_millis(5000);
/// Time for which the clients send after the manifest.
const TIME: Duration = Duration::from_secs(10);
/// Pause between two requests.
const PAUSE: Duration = Duration::from_millis(25);
/// The key that the manifest takes away, and one that no manifest ever held.
const TAKEN: &str = "key-taken";
const FOREIGN: &str = "key-foreign";

pub fn play(dir: &Path, temp: &Path) -> bool {
    let mut record = Record::new(dir);
    let (store, store_addr) = Store::start();
    store.put("keyed.op", "config", &manifest(1, 0, "\"key-taken\""));
    let engines = [
        Engine::start(&store, "i-1", "desk", "a-1"),
        Engine::start(&store, "i-2", "desk", "a-1"),
    ];
    let ip = "127.0.0.1";
    let mut gateway = Gateway::start_at(temp, ip, free_ports(&[ip]), store_addr);
    thread::sleep(Duration::from_secs(2));
    let mut sent: Vec<Sent> = Vec::new();
    let mut send_until = |end: Instant| {
        while Instant::now() < end {
            for key in [TAKEN, FOREIGN] {
                let attempt = format!("{key}-{}", sent.len());
                sent.push(client::get(gateway.frontend, "/view/x", &attempt, key));
                thread::sleep(PAUSE);
            }
        }
    };
    send_until(Instant::now() + Duration::from_secs(2));
    let (next, what) = match crate::is_calm() {
        false => (without_tenants(2), "the tenant and its key"),
        true => (manifest(2, 0, ""), "the key; the tenant stays"),
    };
    let acked = store.put("keyed.op", "config", &next);
    record.line(
        acked,
        &format!("ack of the manifest that takes away {what}"),
    );
    send_until(acked + TIME);

    let runs: HashMap<String, Instant> = engines
        .iter()
        .flat_map(|e| e.ran.lock().unwrap().clone())
        .map(|r| (r.attempt, r.at))
        .collect();
    let (mut late, mut foreign, mut served) = (0, 0, 0);
    for request in &sent {
        let run = runs.get(&request.attempt);
        let is_foreign = request.attempt.starts_with(FOREIGN) && run.is_some();
        let is_taken = request.attempt.starts_with(TAKEN) && run.is_some();
        let is_late = is_taken && request.at > acked + REVOCATION;
        foreign += usize::from(is_foreign);
        late += usize::from(is_late);
        served += usize::from(is_taken && request.at < acked && request.status == Some(200));
        let status = request.status.map_or("none".to_owned(), |s| s.to_string());
        let ran = run.map_or("not run".to_owned(), |at| {
            format!("run at {:.3}", record.seconds(*at))
        });
        let mark = if is_foreign || is_late { " BROKEN" } else { "" };
        let line = format!("{} answer {status}, {ran}{mark}", request.attempt);
        record.line(request.at, &line);
    }
    record.say(&format!("requests with {TAKEN} served before: {served}"));
    record.say(&format!("the gateway still runs: {}", gateway.runs()));
    record.say(&format!(
        "requests with {FOREIGN}, which no manifest ever held, that ran: {foreign}"
    ));
    record.say(&format!(
        "requests with {TAKEN} sent over {} ms after the ack that ran: {late}",
        REVOCATION.as_millis()
    ));
    if served < 10 {
        crate::cannot_run("too few requests were served");
    }
    late > 0 || foreign > 0
}
