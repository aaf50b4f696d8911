//! A key that was taken away is used at a gateway that starts just after the store came back
//! from a copy.

use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use smol::{Task, Timer};
use transport::spawn;

use crate::Verdict;
use crate::client::{Call, call};
use crate::engine::Engine;
use crate::fleet::{Fleet, config, upstream};
use crate::record::Record;

/// `revocation_ms` of the settings.
const REVOCATION: Duration = Duration::from_millis(5000);
/// From the write of the configuration without the key to the return of the store; the copy
/// is a little older than the write.
const COPY_AGE: Duration = Duration::from_millis(5600);
/// Time for which the store is away.
const AWAY: Duration = Duration::from_millis(400);
/// From the return of the store to the kill of the gateway.
const KILLED_AFTER: Duration = Duration::from_millis(50);
/// Delay after which the platform starts it again; the bench keeps the same.
const RESTART_DELAY: Duration = Duration::from_millis(500);
/// From the return of the store until the operator has written the configuration again.
const REWRITE_AFTER: Duration = Duration::from_millis(1500);
const INTERVAL: Duration = Duration::from_millis(50);
const REVOKED: &str = "key-of-u";
const KEPT: &str = "key-of-t";

pub async fn run(record: &Record, trouble: bool) -> Result<Verdict, String> {
    let work = Duration::from_millis(20);
    let engine = Engine::start("i-1", work, "").await?;
    let before = config(1, &[("t", &[KEPT]), ("u", &[REVOKED])]);
    let after = config(2, &[("t", &[KEPT]), ("u", &[])]);
    let records = [("i-1", upstream(engine.addr, 16))];
    let fleet = Fleet::start(3, before, &records, KEPT).await?;
    Timer::after(Duration::from_secs(3)).await;

    let copy = fleet.store.copy();
    Timer::after(Duration::from_millis(100)).await;
    let acked = Instant::now();
    fleet.store.put("keyed.op", "config", Some(after.clone()));
    record.note("version 2 is acknowledged: it takes the key of tenant u away");

    let sent: Arc<Mutex<Vec<(String, usize, Instant, Option<u16>)>>> = Arc::default();
    let callers: Vec<Task<()>> = (0..fleet.doors.len())
        .map(|door| spawn(send_on(sent.clone(), door, fleet.doors[door])))
        .collect();

    if trouble {
        Timer::at(acked + COPY_AGE.saturating_sub(AWAY)).await;
        fleet.store.set_down(true);
        record.note("the store is away");
        Timer::at(acked + COPY_AGE).await;
        fleet.store.restore(&copy);
        fleet.store.set_down(false);
        record.note("the store is back from a copy, in the next era");
        Timer::after(KILLED_AFTER).await;
        fleet.gateways[0].kill();
        record.note("gateway 1 is killed");
        Timer::after(RESTART_DELAY).await;
        fleet.gateways[0].restart();
        record.note("gateway 1 is started again");
        Timer::at(acked + COPY_AGE + REWRITE_AFTER).await;
        fleet.store.put("keyed.op", "config", Some(after));
        record.note("the operator has written version 2 again");
    }
    Timer::at(acked + COPY_AGE + REWRITE_AFTER + Duration::from_secs(3)).await;
    drop(callers);

    let ran = engine.ran();
    let mut late = 0;
    for (attempt, door, at, status) in sent.lock().unwrap().iter() {
        let after_ack = at.saturating_duration_since(acked);
        let has_run = ran.iter().any(|r| r.attempt == *attempt);
        record.detail(&format!(
            "{attempt} to gateway {} sent {} ms after the ack: status {status:?}, ran: {has_run}",
            door + 1,
            after_ack.as_millis()
        ));
        late += usize::from(has_run && after_ack > REVOCATION);
    }
    record.note(&format!(
        "{late} requests with the key ran that were sent over {} ms after the ack",
        REVOCATION.as_millis()
    ));
    match late {
        0 => Ok(Verdict::Held),
        _ => Ok(Verdict::Broken),
    }
}

/// Sends requests with the key that is taken away.
async fn send_on(
    sent: Arc<Mutex<Vec<(String, usize, Instant, Option<u16>)>>>,
    door: usize,
    addr: std::net::SocketAddr,
) {
    for number in 0.. {
        let revoked = Call {
            key: REVOKED,
            attempt: format!("u-{door}-{number}"),
            deadline: Duration::from_millis(1500),
            fields: 0,
        };
        let at = Instant::now();
        let status = call(addr, &revoked).await;
        sent.lock()
            .unwrap()
            .push((revoked.attempt, door, at, status));
        Timer::after(INTERVAL).await;
    }
}
