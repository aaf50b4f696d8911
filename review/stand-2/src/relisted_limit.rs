//! The record of an upstream that names a limit disappears and comes back.

use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use smol::{Task, Timer};
use transport::spawn;

use crate::Verdict;
use crate::client::{Call, call};
use crate::engine::Engine;
use crate::fleet::{Fleet, config, upstream};
use crate::record::Record;

/// `stability_window_ms` of the settings.
const STABILITY: Duration = Duration::from_millis(3000);
/// Requests a second that the upstream names.
const LIMIT: f64 = 0.5;
/// Time after an answer with the limit from which a gateway is bound by it.
const PASSED_ON: Duration = Duration::from_millis(500);
const WINDOW: Duration = Duration::from_secs(4);
/// Time from the start of the requests until the upstream names its limit.
const NEED_AT: Duration = Duration::from_secs(2);
/// Time from the start of the requests until the record is removed.
const REMOVE_AT: Duration = Duration::from_secs(10);
/// Time for which the record is missing.
const MISSING: Duration = Duration::from_secs(4);
const END: Duration = Duration::from_secs(22);
/// Time that an upstream works on a request, and its slots.
const WORK: Duration = Duration::from_millis(250);
const SLOTS: u32 = 16;
/// Time between two requests.
const INTERVAL: Duration = Duration::from_micros(5000);
const KEY: &str = "key-of-t";
const GATEWAYS: u8 = 3;

pub async fn run(record: &Record, trouble: bool) -> Result<Verdict, String> {
    let limited = Engine::start("i-1", WORK, "").await?;
    let own_record = upstream(limited.addr, SLOTS);
    let mut records = vec![("i-1", own_record.clone())];
    let mut others = Vec::new();
    for id in ["i-2", "i-3", "i-4", "i-5"] {
        let other = Engine::start(id, WORK, "").await?;
        records.push((id, upstream(other.addr, SLOTS)));
        others.push(other);
    }
    let fleet = Fleet::start(GATEWAYS, config(1, &[("t", &[KEY])]), &records, KEY).await?;

    let start = Instant::now();
    let statuses: Arc<Mutex<Vec<Option<u16>>>> = Arc::default();
    let mut tasks: Vec<Task<()>> = Vec::new();
    let (mut removed, mut back, mut in_need) = (!trouble, !trouble, false);
    for number in 0_u32.. {
        Timer::at(start + INTERVAL * number).await;
        let elapsed = start.elapsed();
        if elapsed > END {
            break;
        }
        if !in_need && elapsed > NEED_AT {
            in_need = true;
            *limited.statement.lock().unwrap() = format!("Server-Limit: {LIMIT}\r\n");
            limited.answers.lock().unwrap().clear();
            record.note(&format!(
                "i-1 names its limit from now on: {LIMIT} a second"
            ));
        }
        if !removed && elapsed > REMOVE_AT {
            removed = true;
            fleet.store.put("keyed.servers", "i-1", None);
            record.note("the record of i-1 is removed: three status reports are missing");
        }
        if !back && elapsed > REMOVE_AT + MISSING {
            back = true;
            let mut again = own_record.clone();
            again["sequence"] = 9.into();
            fleet.store.put("keyed.servers", "i-1", Some(again));
            record.note("i-1 reports its status again: the same start, under the same id");
        }
        let door = number as usize % fleet.doors.len();
        let addr = fleet.doors[door];
        let statuses = statuses.clone();
        tasks.push(spawn(async move {
            let request = Call {
                key: KEY,
                attempt: format!("r-{door}-{number}"),
                deadline: Duration::from_millis(1500),
                fields: 0,
            };
            let status = call(addr, &request).await;
            statuses.lock().unwrap().push(status);
        }));
    }
    for task in tasks {
        task.await;
    }

    let statuses = statuses.lock().unwrap();
    let served = statuses.iter().filter(|s| **s == Some(200)).count();
    record.note(&format!("{served} of {} requests got 200", statuses.len()));
    judge(record, &limited, &fleet)
}

/// The most arrivals in 4 s, from the stability window after the limit was first named on,
/// by gateways that had passed on an answer with it half a second before or earlier.
fn judge(record: &Record, limited: &Engine, fleet: &Fleet) -> Result<Verdict, String> {
    let ran = limited.ran();
    let answers = limited.answers.lock().unwrap();
    let first = answers.first().ok_or("i-1 answered nothing")?.at;
    let told: Vec<Option<Instant>> = (0..fleet.doors.len())
        .map(|door| {
            let own = answers.iter().find(|a| door_of(&a.attempt) == Some(door));
            own.map(|a| a.at)
        })
        .collect();
    let mut counted: Vec<Instant> = Vec::new();
    for arrival in &ran {
        let after = arrival.at.saturating_duration_since(first);
        let told_at = door_of(&arrival.attempt).and_then(|door| told[door]);
        let counts = after >= STABILITY && told_at.is_some_and(|at| arrival.at >= at + PASSED_ON);
        record.detail(&format!(
            "i-1 began {} at {} ms after it first named its limit, counted: {counts}",
            arrival.attempt,
            after.as_millis()
        ));
        if counts {
            counted.push(arrival.at);
        }
    }
    record.note(&format!(
        "i-1 ran {} requests; gateways that passed on its limit: {}",
        ran.len(),
        told.iter().flatten().count()
    ));
    let within = |from: &Instant| {
        let in_window = |at: &&Instant| **at >= *from && **at < *from + WINDOW;
        counted.iter().filter(in_window).count()
    };
    let most = counted.iter().map(within).max().unwrap_or(0);
    let allowed = 1.5 * LIMIT * WINDOW.as_secs_f64() + 5.0;
    record.note(&format!("most arrivals in 4 s: {most}, allowed: {allowed}"));
    match most as f64 > allowed {
        true => Ok(Verdict::Broken),
        false => Ok(Verdict::Held),
    }
}

/// Number of the gateway to which an attempt was sent.
fn door_of(attempt: &str) -> Option<usize> {
    attempt.split('-').nth(1)?.parse().ok()
}
