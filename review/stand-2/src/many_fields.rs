//! Requests inside the limits of the configuration that have many short header fields.

use std::time::Duration;

use smol::Timer;

use crate::Verdict;
use crate::client::{Call, call};
use crate::engine::Engine;
use crate::fleet::{Fleet, config, upstream};
use crate::record::Record;

/// Further fields of the requests, and without the disruption.
const FIELDS: usize = 120;
const FEW_FIELDS: usize = 40;
const REQUESTS: usize = 100;
/// Requests without further fields after each of them.
const ORDINARY: usize = 4;
const PAUSE: Duration = Duration::from_millis(20);
const KEY: &str = "key-of-t";

pub async fn run(record: &Record, trouble: bool) -> Result<Verdict, String> {
    let engine = Engine::start("i-1", Duration::from_millis(5), "").await?;
    let records = [("i-1", upstream(engine.addr, 16))];
    let fleet = Fleet::start(1, config(1, &[("t", &[KEY])]), &records, KEY).await?;
    let fields = if trouble { FIELDS } else { FEW_FIELDS };
    // All requests are calm: one after another, each on a connection of its own.
    Timer::after(Duration::from_secs(4)).await;
    let (mut sent, mut denied) = (0_usize, 0_usize);
    for number in 0..REQUESTS {
        for (kind, count) in [("many", fields)].into_iter().chain([("few", 0); ORDINARY]) {
            let request = Call {
                key: KEY,
                attempt: format!("{kind}-{number}-{sent}"),
                deadline: Duration::from_millis(1500),
                fields: count,
            };
            let status = call(fleet.doors[0], &request).await;
            let has_run = engine.ran().iter().any(|r| r.attempt == request.attempt);
            record.detail(&format!(
                "{} with {count} further fields, {} bytes of head: status {status:?}, ran: {has_run}",
                request.attempt,
                request.head().len()
            ));
            sent += 1;
            let is_own = !has_run && status.is_some_and(|s| (300..500).contains(&s));
            denied += usize::from(is_own && !matches!(status, Some(408 | 421 | 429)));
            Timer::after(PAUSE).await;
        }
    }
    let allowed = 5 + sent / 500;
    record.note(&format!(
        "{denied} of {sent} requests inside the limits were ended with a 4xx of the gateway; allowed: {allowed}"
    ));
    match denied > allowed {
        true => Ok(Verdict::Broken),
        false => Ok(Verdict::Held),
    }
}
