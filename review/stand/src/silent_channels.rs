//! The open channels to the store go silent for good, while new ones work. An engine reports
//! that it leaves; the machines go on sending it requests.

use std::collections::HashMap;
use std::path::Path;
use std::thread;
use std::time::{Duration, Instant};

use crate::client;
use crate::engine::Engine;
use crate::manifest::manifest;
use crate::process::{Gateway, free_ports};
use crate::record::Record;
use crate::store::Store;

/// `drain_ms` of the settings.
const DRAIN: Duration = Duration::from_millis(2000);
/// `stability_window_ms` of the settings.
const STABILITY: Duration = Duration::from_millis(3000);
/// From the silence of the channels to the report of the engine.
const REPORT: Duration = Duration::from_millis(300);
/// From the silence to the requests, and to the end of the engine that leaves.
const REQUESTS: Duration = Duration::from_millis(3300);
const END: Duration = Duration::from_millis(3700);
/// Requests to each machine, and the pause between them.
const COUNT: u32 = 40;
const PAUSE: Duration = Duration::from_millis(12);
const IPS: [&str; 2] = ["127.0.0.1", "127.0.0.2"];

pub fn play(dir: &Path, temp: &Path) -> bool {
    let mut record = Record::new(dir);
    let (store, store_addr) = Store::start();
    store.put("keyed.op", "config", &manifest(1, 0, "\"key\""));
    let engines =
        [1, 2, 3, 4, 5, 6, 7, 8].map(|n| Engine::start(&store, &format!("i-{n}"), "desk", "a-1"));
    let leaving = &engines[0];
    let ports = free_ports(&IPS);
    let mut gateways = IPS.map(|ip| Gateway::start_at(temp, ip, ports, store_addr));
    let addrs = [gateways[0].frontend, gateways[1].frontend];
    thread::sleep(Duration::from_secs(4));
    let mut served = 0;
    for n in 0..COUNT {
        for (machine, addr) in addrs.iter().enumerate() {
            let sent = client::post(*addr, "/book/x", &format!("before-{machine}-{n}"), "key");
            served += u32::from(sent.status == Some(200));
            thread::sleep(PAUSE);
        }
    }
    engines
        .iter()
        .for_each(|e| e.work_ms.store(300, std::sync::atomic::Ordering::SeqCst));

    let silent = Instant::now();
    let until =
        |at: Duration| thread::sleep((silent + at).saturating_duration_since(Instant::now()));
    if !crate::is_calm() {
        store.silence_channels();
        record.line(silent, "the open channels to the store go silent");
    }
    until(REPORT);
    let acked = leaving.leave(&store);
    record.line(acked, &format!("ack of {}, which is draining", leaving.id));
    until(REQUESTS);
    let ending = {
        let (store, engine) = (store.clone(), leaving.clone());
        thread::spawn(move || {
            thread::sleep((silent + END).saturating_duration_since(Instant::now()));
            engine.end(&store);
            Instant::now()
        })
    };
    let mut clients = Vec::new();
    for n in 0..COUNT {
        for (machine, addr) in addrs.into_iter().enumerate() {
            clients.push(thread::spawn(move || {
                client::post(addr, "/book/x", &format!("after-{machine}-{n}"), "key")
            }));
        }
        thread::sleep(PAUSE);
    }
    let sent: Vec<_> = clients.into_iter().map(|c| c.join().unwrap()).collect();
    record.line(ending.join().unwrap(), &format!("{} has ended", leaving.id));

    let mut runs: HashMap<String, (String, Instant)> = HashMap::new();
    for engine in &engines {
        let ran = engine.ran.lock().unwrap().clone();
        runs.extend(
            ran.into_iter()
                .map(|r| (r.attempt, (engine.id.clone(), r.at))),
        );
    }
    let (mut late, mut lost) = (0, 0);
    for request in &sent {
        let run = runs.get(&request.attempt);
        let is_late = run.is_some_and(|(id, at)| *id == leaving.id && *at > acked + DRAIN);
        let in_touch = request.at > silent + STABILITY;
        let is_broken = is_late && in_touch;
        late += usize::from(is_broken);
        lost += usize::from(is_broken && request.status != Some(200));
        let status = request.status.map_or("none".to_owned(), |s| s.to_string());
        let ran = run.map_or("not run".to_owned(), |(id, at)| {
            format!("run by {id} at {:.3}", record.seconds(*at))
        });
        let mark = if is_broken { " BROKEN" } else { "" };
        record.line(
            request.at,
            &format!("{} answer {status}, {ran}{mark}", request.attempt),
        );
    }
    record.say(&format!("requests served before: {served}"));
    let running = gateways
        .iter_mut()
        .filter_map(|g| g.runs().then_some(()))
        .count();
    record.say(&format!("gateways that still run: {running}"));
    record.say(&format!(
        "of the late ones, unsafe requests that got no success: {lost}"
    ));
    record.say(&format!(
        "requests that reached {} over {} ms after the ack, from machines in touch: {late}",
        leaving.id,
        DRAIN.as_millis()
    ));
    if served < COUNT {
        crate::cannot_run("too few requests were served");
    }
    late > 0
}
