//! The store rejects a machine for nine seconds, while the operator changes a large manifest a
//! dozen times; the last change takes a key away. The machine reads the changes in several
//! calls afterwards.

use std::collections::HashMap;
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::client::{self, Sent};
use crate::engine::Engine;
use crate::manifest::manifest;
use crate::process::{Gateway, Loader, free_ports};
use crate::record::Record;
use crate::store::Store;

/// `revocation_ms` of the settings.
const REVOCATION: Duration = Duration::from_millis(5000);
/// How long the store rejects the machine.
const AWAY: Duration = Duration::from_secs(9);
/// Changes of the manifest and the pause between them.
const CHANGES: u64 = 12;
const CHANGE_PAUSE: Duration = Duration::from_millis(330);
/// Routes of the manifest that no client uses.
const ROUTES: u64 = 960;
/// Pause between two requests of a client.
const PAUSE: Duration = Duration::from_millis(5);

pub fn play(dir: &Path, temp: &Path) -> bool {
    let mut record = Record::new(dir);
    let (store, store_addr) = Store::start();
    let both = "\"key-kept\",\"key-taken\"";
    let first = manifest(1, ROUTES, both);
    record.say(&format!(
        "a manifest has {} bytes; record_bytes is 262144",
        first.len()
    ));
    assert!(first.len() <= 262_144);
    store.put("keyed.op", "config", &first);
    let engines = [
        Engine::start(&store, "i-1", "desk", "a-1"),
        Engine::start(&store, "i-2", "desk", "a-1"),
    ];
    let ports = free_ports(&["127.0.0.1", "127.0.0.2", "127.0.0.3"]);
    let mut gateway = Gateway::start_at(temp, "127.0.0.1", ports, store_addr);
    // The two machines beside model engines are served all the while.
    let mut loaders = ["127.0.0.2", "127.0.0.3"].map(|ip| {
        let app = Engine::start(&store, &format!("m-{ip}"), "llm", "a-1").addr;
        Loader::start(temp, ip, ports, store.steady_addr(), app)
    });
    thread::sleep(Duration::from_secs(2));

    let stop = Arc::new(AtomicBool::new(false));
    let sent = Arc::new(Mutex::new(Vec::new()));
    let clients: Vec<_> = ["key-taken", "key-kept"]
        .into_iter()
        .map(|key| {
            let (stop, sent, addr) = (stop.clone(), sent.clone(), gateway.frontend);
            thread::spawn(move || {
                for n in 0.. {
                    if stop.load(Ordering::SeqCst) {
                        return;
                    }
                    let request = client::get(addr, "/view/x", &format!("{key}-{n}"), key);
                    sent.lock().unwrap().push(request);
                    thread::sleep(PAUSE);
                }
            })
        })
        .collect();
    thread::sleep(Duration::from_secs(2));

    let begin = Instant::now();
    record.line(
        begin,
        "the store rejects the machine from here on (not with TROUBLE=0)",
    );
    store.set_rejecting(!crate::is_calm());
    let mut acked = begin;
    for change in 0..CHANGES {
        let keys = if change + 1 == CHANGES {
            "\"key-kept\""
        } else {
            both
        };
        let at = begin + CHANGE_PAUSE * u32::try_from(change).unwrap();
        thread::sleep(at.saturating_duration_since(Instant::now()));
        acked = store.put("keyed.op", "config", &manifest(2 + change, ROUTES, keys));
    }
    record.line(acked, "ack of the manifest that takes key-taken away");
    thread::sleep((begin + AWAY).saturating_duration_since(Instant::now()));
    store.set_rejecting(false);
    let back = Instant::now();
    record.line(back, "the store serves the machine again");
    thread::sleep(Duration::from_secs(5));
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
        let is_late = request.attempt.starts_with("key-taken")
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
        .filter(|s| s.attempt.starts_with("key-kept") && s.status == Some(200))
        .count();
    record.say(&format!("requests with key-kept that were served: {kept}"));
    let others = loaders
        .iter_mut()
        .filter_map(|l| l.runs().then_some(()))
        .count();
    record.say(&format!(
        "processes that still run: {} gateway, {others} loaders",
        u8::from(gateway.runs())
    ));
    record.say(&format!(
        "requests with key-taken sent over {} ms after the ack that ran: {late}",
        REVOCATION.as_millis()
    ));
    if kept < 100 {
        crate::cannot_run("too few requests were served");
    }
    late > 0
}
