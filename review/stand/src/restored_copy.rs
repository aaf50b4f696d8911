//! The store comes back from a copy some seconds old, in which a key is still allowed that was
//! taken away since. A machine that is added then reads the copy, while the other one knows
//! the newer manifest.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use crate::client::{self, Sent};
use crate::engine::Engine;
use crate::manifest::manifest;
use crate::process::{Gateway, free_ports};
use crate::record::Record;
use crate::store::Store;

/// `revocation_ms` of the settings.
const REVOCATION: Duration = Duration::from_millis(5000);
/// Time from the ack of the manifest that takes the key away until the store goes away.
const AGE: Duration = Duration::from_millis(5200);
/// How long the store is away.
const AWAY: Duration = Duration::from_millis(500);
/// Time after its return until the operator has written again.
const REWRITE: Duration = Duration::from_secs(2);
/// Pause between two requests of a client.
const PAUSE: Duration = Duration::from_millis(20);
const IPS: [&str; 2] = ["127.0.0.1", "127.0.0.2"];

fn start_client(
    name: &'static str,
    addr: SocketAddr,
    key: &'static str,
    stop: &Arc<AtomicBool>,
    sent: &Arc<Mutex<Vec<Sent>>>,
) -> JoinHandle<()> {
    let (stop, sent) = (stop.clone(), sent.clone());
    thread::spawn(move || {
        for n in 0.. {
            if stop.load(Ordering::SeqCst) {
                return;
            }
            let request = client::get(addr, "/view/x", &format!("{name}-{key}-{n}"), key);
            sent.lock().unwrap().push(request);
            thread::sleep(PAUSE);
        }
    })
}

pub fn play(dir: &Path, temp: &Path) -> bool {
    let mut record = Record::new(dir);
    let (store, store_addr) = Store::start();
    store.put(
        "keyed.op",
        "config",
        &manifest(1, 0, "\"key-kept\",\"key-taken\""),
    );
    let engines = [
        Engine::start(&store, "i-1", "desk", "a-1"),
        Engine::start(&store, "i-2", "desk", "a-1"),
    ];
    let ports = free_ports(&IPS);
    let mut first = Gateway::start_at(temp, IPS[0], ports, store_addr);
    thread::sleep(Duration::from_secs(2));
    let (stop, sent) = (Arc::new(AtomicBool::new(false)), Arc::default());
    let mut clients = vec![
        start_client("first", first.frontend, "key-taken", &stop, &sent),
        start_client("first", first.frontend, "key-kept", &stop, &sent),
    ];
    thread::sleep(Duration::from_secs(2));

    let copy = store.copy();
    let taken = manifest(2, 0, "\"key-kept\"");
    let acked = store.put("keyed.op", "config", &taken);
    record.line(acked, "ack of the manifest that takes key-taken away");
    thread::sleep(AGE);
    if !crate::is_calm() {
        store.set_rejecting(true);
        record.line(Instant::now(), "the store is away");
        thread::sleep(AWAY);
        store.restore(&copy);
        store.set_rejecting(false);
        record.line(Instant::now(), "the store is back from a copy");
    }
    let back = Instant::now();
    let rewriting = {
        let store = store.clone();
        thread::spawn(move || {
            thread::sleep(REWRITE);
            store.put("keyed.op", "config", &taken)
        })
    };
    let mut second = Gateway::start_at(temp, IPS[1], ports, store_addr);
    record.line(back, "a machine is added");
    record.line(Instant::now(), "it says that it is ready");
    clients.push(start_client(
        "second",
        second.frontend,
        "key-taken",
        &stop,
        &sent,
    ));
    clients.push(start_client(
        "second",
        second.frontend,
        "key-kept",
        &stop,
        &sent,
    ));
    let rewritten = rewriting.join().unwrap();
    record.line(rewritten, "the operator has written again");
    thread::sleep(Duration::from_secs(4));
    stop.store(true, Ordering::SeqCst);
    clients.into_iter().for_each(|c| c.join().unwrap());

    let runs: HashMap<String, Instant> = engines
        .iter()
        .flat_map(|e| e.ran.lock().unwrap().clone())
        .map(|r| (r.attempt, r.at))
        .collect();
    let sent: Vec<Sent> = sent.lock().unwrap().clone();
    let mut late = 0;
    for request in &sent {
        let run = runs.get(&request.attempt);
        let is_late = request.attempt.contains("key-taken")
            && request.at > acked + REVOCATION
            && run.is_some();
        late += usize::from(is_late);
        let status = request.status.map_or("none".to_owned(), |s| s.to_string());
        let ran = run.map_or("not run".to_owned(), |at| {
            format!("run at {:.3}", record.seconds(*at))
        });
        let mark = if is_late { " BROKEN" } else { "" };
        record.line(
            request.at,
            &format!("{} answer {status}, {ran}{mark}", request.attempt),
        );
    }
    let kept = sent
        .iter()
        .filter(|s| s.attempt.starts_with("second-key-kept") && s.status == Some(200))
        .count();
    record.say(&format!(
        "requests with key-kept that the added machine served: {kept}"
    ));
    record.say(&format!(
        "both gateways still run: {}",
        first.runs() && second.runs()
    ));
    record.say(&format!(
        "requests with key-taken sent over {} ms after the ack that ran: {late}",
        REVOCATION.as_millis()
    ));
    if kept < 50 {
        crate::cannot_run("too few requests were served");
    }
    late > 0
}
