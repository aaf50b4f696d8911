//! Orders whose callers leave, or whose deadlines pass, while every agent stands still.

use std::time::Duration;

use rustix::process::Signal;
use smol::Timer;
use wire::Client;

use crate::plain_service::{Order, PlainRecord};
use crate::trial::caller::{Payload, Request, send};
use crate::trial::fleet::Fleet;

/// Orders sent.
const ORDERS: usize = 24;
/// Time from the start of an order to its deadline.
const DEADLINE: Duration = Duration::from_millis(700);
/// Deadline of an order whose caller leaves before.
const LONG_DEADLINE: Duration = Duration::from_secs(5);
/// Time after which a caller leaves.
const PATIENCE: Duration = Duration::from_millis(300);
/// Time for which the agents stand still, longer than either is noticed.
const FREEZE_TIME: Duration = Duration::from_millis(1700);
/// Time in which an order that an agent has received reaches its upstream.
const SETTLE_TIME: Duration = Duration::from_secs(1);

/// Result of the orders.
pub struct LateRuns {
    /// Orders sent.
    pub sent: u64,
    /// Orders that ran although nobody waited for them.
    pub late: u64,
}

/// Sends the orders and counts those that run after the agents go on.
pub async fn count(fleet: &Fleet) -> anyhow::Result<LateRuns> {
    for agent in &fleet.agents {
        agent.process.signal(Signal::STOP)?;
    }
    let entries = fleet.entry_addrs();
    let mut callers = Vec::new();
    for i in 0..ORDERS {
        let (entry, leaves) = (entries[i % entries.len()], i % 4 > 1);
        callers.push(smol::spawn(async move {
            let client = Client::default();
            match leaves {
                true => {
                    let request = request(i, LONG_DEADLINE);
                    drop(wire::with_timeout(PATIENCE, send(&client, entry, &request)).await);
                }
                false => drop(send(&client, entry, &request(i, DEADLINE)).await),
            }
        }));
    }
    Timer::after(FREEZE_TIME).await;
    for agent in &fleet.agents {
        agent.process.signal(Signal::CONT)?;
    }
    for caller in callers {
        caller.await;
    }
    Timer::after(SETTLE_TIME).await;
    let mut late = 0;
    for node in fleet.plain_nodes() {
        let record: PlainRecord = fleet.record(node).await?;
        late += record.runs.keys().filter(|id| is_late(id)).count() as u64;
    }
    Ok(LateRuns {
        sent: ORDERS as u64,
        late,
    })
}

fn request(i: usize, deadline: Duration) -> Request {
    Request {
        path: "/ompelu-app/orders".to_owned(),
        account: "clerks-orders".to_owned(),
        deadline,
        headers: Vec::new(),
        payload: Payload::Order(Order {
            order: format!("late-{i}"),
        }),
    }
}

fn is_late(order: &str) -> bool {
    order.starts_with("late-")
}
