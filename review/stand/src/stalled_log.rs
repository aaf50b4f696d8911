//! The collector of a gateway's logs, standard output and standard error on one pipe, reads
//! nothing. A new version is named and the origin of weights crashes for some seconds, of which
//! the gateway writes lines.

use std::io::PipeReader;
use std::path::Path;
use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::client::{self, Sent};
use crate::engine::Engine;
use crate::manifest;
use crate::origin::Origin;
use crate::process::{Gateway, free_ports};
use crate::record::Record;
use crate::store::Store;

/// `timeout_ms` of the route.
const TIMEOUT: Duration = Duration::from_millis(1500);
/// Time after it within which at least half must have an answer.
const LATE: Duration = Duration::from_millis(500);
/// How long a client waits.
const PATIENCE: Duration = Duration::from_millis(6000);
/// How long the origin is down.
const CRASH: Duration = Duration::from_millis(4500);
/// Time of the download until it crashes.
const DOWNLOAD: Duration = Duration::from_millis(300);
/// Pause between two requests.
const PAUSE: Duration = Duration::from_millis(40);
/// Requests in all, and the one at which the version is named.
const REQUESTS: u32 = 800;
const NAMED: u32 = 500;

/// Reads nothing for as long as the case lasts, or all of it with TROUBLE=0.
fn collect(mut logs: PipeReader) -> Option<PipeReader> {
    if !crate::is_calm() {
        return Some(logs);
    }
    thread::spawn(move || drop(std::io::copy(&mut logs, &mut std::io::sink())));
    None
}

pub fn play(dir: &Path, temp: &Path) -> bool {
    let mut record = Record::new(dir);
    let (store, store_addr) = Store::start();
    let origin = Origin::start();
    store.put("keyed.op", "config", &manifest::with_model(1, origin.addr));
    let _engines = [
        Engine::start(&store, "i-1", "desk", "a-1"),
        Engine::start(&store, "i-2", "desk", "a-1"),
    ];
    let ports = free_ports(&["127.0.0.1"]);
    let (logs, out) = std::io::pipe().unwrap();
    let err = out.try_clone().unwrap();
    let mut gateway =
        Gateway::start_with(temp, "127.0.0.1", ports, store_addr, out.into(), err.into());
    let logs = collect(logs);
    let what = if logs.is_some() {
        "reads nothing"
    } else {
        "reads on"
    };
    record.line(Instant::now(), &format!("the collector {what}"));
    thread::sleep(Duration::from_secs(2));

    let sent: Arc<Mutex<Vec<Sent>>> = Arc::default();
    let begin = Instant::now();
    let mut clients = Vec::new();
    let mut crashing = None;
    for n in 0..REQUESTS {
        thread::sleep((begin + PAUSE * n).saturating_duration_since(Instant::now()));
        if n == NAMED {
            let named = store.put("keyed.op", "version/m", "{\"model\":\"m\",\"version\":2}");
            record.line(named, "version 2 is named");
        }
        if n > NAMED && crashing.is_none() && origin.lists.load(Ordering::SeqCst) >= 2 {
            let origin = origin.clone();
            crashing = Some(thread::spawn(move || {
                thread::sleep(DOWNLOAD);
                let at = Instant::now();
                origin.crash(CRASH);
                at
            }));
        }
        let (sent, addr) = (sent.clone(), gateway.frontend);
        clients.push(thread::spawn(move || {
            let request =
                client::get_within(addr, "/view/x", &format!("view-{n}"), "key", PATIENCE);
            sent.lock().unwrap().push(request);
        }));
    }
    clients.into_iter().for_each(|c| c.join().unwrap());
    match crashing.map(|c| c.join()) {
        Some(Ok(at)) => record.line(at, "the origin crashes"),
        _ => crate::cannot_run("the origin did not crash"),
    }

    let mut sent = sent.lock().unwrap().clone();
    sent.sort_by_key(|s| s.at);
    let unanswered = |limit: Duration| {
        let is_late = |s: &&Sent| s.answered.is_none_or(|at| at > s.at + limit);
        sent.iter().filter(is_late).count()
    };
    for request in &sent {
        let status = request
            .status
            .map_or("no answer".to_owned(), |s| format!("answer {s}"));
        let took = request.answered.map_or(String::new(), |at| {
            format!(" after {:.3} s", (at - request.at).as_secs_f64())
        });
        record.line(request.at, &format!("{} {status}{took}", request.attempt));
    }
    let (open, late) = (unanswered(TIMEOUT), unanswered(TIMEOUT + LATE));
    let served = sent.iter().filter(|s| s.status == Some(200)).count();
    record.say(&format!("requests: {}, served: {served}", sent.len()));
    record.say(&format!(
        "the gateway's process still runs: {}",
        gateway.runs()
    ));
    record.say(&format!(
        "unanswered {} ms after they were sent: {open}; 500 ms later: {late}",
        TIMEOUT.as_millis()
    ));
    drop(logs);
    if served < 10 {
        crate::cannot_run("too few requests were served");
    }
    late * 2 > open
}
