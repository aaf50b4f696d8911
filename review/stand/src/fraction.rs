//! The settings of a gateway change: a bound is a fraction from then on. The gateway is then
//! stopped and started as planned.

use std::fs::{self, File};
use std::path::Path;
use std::thread;
use std::time::{Duration, Instant};

use crate::client;
use crate::engine::Engine;
use crate::manifest::manifest;
use crate::process::{Gateway, free_ports, settings_text};
use crate::record::Record;
use crate::store::Store;

/// Starts of a process that ends by itself.
const STARTS: usize = 3;
/// Pause before the platform starts a process again that has ended.
const START_PAUSE: Duration = Duration::from_millis(500);
/// Requests in each part of the case, and the pause between them.
const REQUESTS: u32 = 50;
const PAUSE: Duration = Duration::from_millis(20);

pub fn play(dir: &Path, temp: &Path) -> bool {
    let mut record = Record::new(dir);
    let (store, store_addr) = Store::start();
    store.put("keyed.op", "config", &manifest(1, 0, "\"key\""));
    let _engines = [
        Engine::start(&store, "i-1", "desk", "a-1"),
        Engine::start(&store, "i-2", "desk", "a-1"),
    ];
    let ip = "127.0.0.1";
    let ports = free_ports(&[ip]);
    let before = settings_text(ip, ports, store_addr);
    let bound = if crate::is_calm() { "7" } else { "7.5" };
    let after = before.replace("grace_s = 8", &format!("grace_s = {bound}"));
    let start = |text: &str| {
        let log = File::create(temp.join("gateway.log")).unwrap();
        let err = log.try_clone().unwrap();
        Gateway::spawn(temp, ip, ports, text, log.into(), err.into())
    };
    let mut gateway = start(&before);
    if !gateway.until_ready() {
        crate::cannot_run("the gateway is not ready after 15 s");
    }
    thread::sleep(Duration::from_secs(2));
    let send = |record: &mut Record, name: &str| {
        let mut served = 0;
        for n in 0..REQUESTS {
            let sent = client::get(
                gateway_addr(ip, ports),
                "/view/x",
                &format!("{name}-{n}"),
                "key",
            );
            let status = sent
                .status
                .map_or("no answer".to_owned(), |s| format!("answer {s}"));
            record.line(sent.at, &format!("{} {status}", sent.attempt));
            served += u32::from(sent.status == Some(200));
            thread::sleep(PAUSE);
        }
        served
    };
    let served_before = send(&mut record, "before");

    fs::write(temp.join(format!("gateway-{ip}.toml")), &after).unwrap();
    record.line(
        Instant::now(),
        &format!("the settings change: grace_s = {bound}"),
    );
    gateway.signal("HUP");
    thread::sleep(Duration::from_secs(1));
    record.line(Instant::now(), "SIGTERM");
    gateway.signal("TERM");
    let code = gateway.until_ended();
    record.line(
        Instant::now(),
        &format!("the process has ended with {code:?}"),
    );
    let mut failed = 0;
    for _ in 0..STARTS {
        thread::sleep(START_PAUSE);
        gateway = start(&after);
        record.line(Instant::now(), "the process is started");
        if gateway.until_ready() {
            record.line(Instant::now(), "it is ready");
            break;
        }
        if gateway.runs() {
            crate::cannot_run("the gateway runs and is not ready after 15 s");
        }
        failed += 1;
        let code = gateway.until_ended();
        record.line(
            Instant::now(),
            &format!("it has ended by itself with {code:?}"),
        );
    }
    let log = fs::read_to_string(temp.join("gateway.log")).unwrap_or_default();
    if failed > 0 {
        record.say(log.lines().next().unwrap_or_default());
    }
    thread::sleep(Duration::from_secs(2));
    let served_after = send(&mut record, "after");
    record.say(&format!(
        "served before: {served_before}, after the restart: {served_after}"
    ));
    record.say(&format!("starts that failed: {failed} of at most {STARTS}"));
    if served_before < REQUESTS / 2 {
        crate::cannot_run("too few requests were served");
    }
    failed == STARTS
}

fn gateway_addr(ip: &str, ports: [u16; 4]) -> std::net::SocketAddr {
    std::net::SocketAddr::new(ip.parse().unwrap(), ports[0])
}
