//! Two gateways are added while an upstream is cold.

use std::time::{Duration, Instant};

use serde_json::json;
use smol::{Task, Timer};
use transport::spawn;

use crate::Verdict;
use crate::client::{Call, call};
use crate::engine::Engine;
use crate::fleet::{Fleet, config, upstream};
use crate::record::Record;

/// `cold_per_s` of the service.
const COLD_PER_S: f64 = 14.0;
/// `cold_start_s` of the service.
const COLD_TIME: Duration = Duration::from_secs(3);
/// `cold_overshoot` and `cold_slack` of the settings.
const COLD_OVERSHOOT: f64 = 1.5;
const COLD_SLACK: f64 = 5.0;
/// A second, less the time that a request may need from its gateway to the upstream.
const WINDOW: Duration = Duration::from_millis(950);
const WORK: Duration = Duration::from_millis(200);
const SLOTS: u32 = 16;
/// Time from the start of the requests until the new upstream starts.
const ADDED_AT: Duration = Duration::from_secs(3);
/// Time from then until two gateways are added.
const GATEWAYS_AFTER: Duration = Duration::from_millis(1400);
const END: Duration = Duration::from_secs(9);
/// Time between two requests.
const INTERVAL: Duration = Duration::from_micros(5000);
const KEY: &str = "key-of-t";
const GATEWAYS: u8 = 3;

pub async fn run(record: &Record, trouble: bool) -> Result<Verdict, String> {
    let warm = Engine::start("i-1", WORK, "").await?;
    let cold = Engine::start("i-2", WORK, "").await?;
    let mut text = config(1, &[("t", &[KEY])]);
    text["services"][0]["cold_start_s"] = json!(COLD_TIME.as_secs_f64());
    text["services"][0]["cold_per_s"] = json!(COLD_PER_S);
    let records = [("i-1", upstream(warm.addr, SLOTS))];
    let mut fleet = Fleet::start(GATEWAYS, text, &records, KEY).await?;

    let start = Instant::now();
    let mut tasks: Vec<Task<()>> = Vec::new();
    let (mut added, mut has_joined) = (false, !trouble);
    for number in 0_u32.. {
        Timer::at(start + INTERVAL * number).await;
        let elapsed = start.elapsed();
        if elapsed > END {
            break;
        }
        if !added && elapsed > ADDED_AT {
            added = true;
            let mut new = upstream(cold.addr, SLOTS);
            new["cold_remaining_ms"] = json!(COLD_TIME.as_millis() as u64);
            fleet.store.put("keyed.servers", "i-2", Some(new));
            record.note(&format!(
                "i-2 starts, cold for {} ms",
                COLD_TIME.as_millis()
            ));
        }
        if !has_joined && elapsed > ADDED_AT + GATEWAYS_AFTER {
            has_joined = true;
            fleet.add()?;
            fleet.add()?;
            record.note("gateways 4 and 5 are added");
        }
        let addr = fleet.doors[number as usize % fleet.doors.len()];
        let door = number as usize % fleet.doors.len();
        tasks.push(spawn(async move {
            let request = Call {
                key: KEY,
                attempt: format!("r-{door}-{number}"),
                deadline: Duration::from_millis(1500),
                fields: 0,
            };
            call(addr, &request).await;
        }));
    }
    for task in tasks {
        task.await;
    }
    fleet.gateways.clear();

    let ran = cold.ran();
    let begun = ran.first().ok_or("i-2 ran nothing")?.at;
    let while_cold: Vec<Instant> = ran.iter().map(|a| a.at).collect();
    for arrival in &ran {
        let after = arrival.at.saturating_duration_since(start);
        record.detail(&format!(
            "i-2 began {} at {} ms",
            arrival.attempt,
            after.as_millis()
        ));
    }
    let cold_end = begun + COLD_TIME - Duration::from_millis(200);
    let within = |from: &Instant| {
        let end = (*from + WINDOW).min(cold_end);
        while_cold
            .iter()
            .filter(|at| **at >= *from && **at < end)
            .count()
    };
    let (most, from) = while_cold
        .iter()
        .map(|from| (within(from), *from))
        .max()
        .ok_or("i-2 ran nothing")?;
    let allowed = COLD_PER_S * COLD_OVERSHOOT + COLD_SLACK;
    record.note(&format!(
        "most requests that the cold i-2 got within {} ms: {most}, from {} ms on; allowed in a second: {allowed}",
        WINDOW.as_millis(),
        from.saturating_duration_since(start).as_millis()
    ));
    match most as f64 > allowed {
        true => Ok(Verdict::Broken),
        false => Ok(Verdict::Held),
    }
}
