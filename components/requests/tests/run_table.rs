//! Runs start at most once with late, repeated, lost and reordered messages.

use std::collections::{HashMap, HashSet};
use std::sync::Arc;
use std::time::Duration;

use protocol::{Refusal, RunId, Ticket, UpstreamResponse};
use requests::{Begin, RunTable, Settled};
use testkit::arbitrary::{Result, Unstructured};
use testkit::check_seeds;

const INCARNATION: u64 = 7;

fn secs(s: u64) -> Duration {
    Duration::from_secs(s)
}

fn table() -> RunTable {
    RunTable::new(INCARNATION)
}

fn response() -> Arc<UpstreamResponse> {
    Arc::new(UpstreamResponse {
        status: 200,
        media_type: "text/plain".into(),
        body: b"booked".to_vec(),
    })
}

#[test]
fn a_run_starts_once() {
    let mut table = table();
    let (id, ticket) = (RunId::from("a"), table.issue_ticket(secs(1)));

    assert_eq!(table.begin(secs(1), &id, ticket), Begin::Run);
    assert_eq!(table.begin(secs(2), &id, ticket), Begin::Duplicate);
    assert_eq!(table.settle(secs(2), &id, ticket), Settled::Running);
}

#[test]
fn a_lost_response_is_returned_by_settle() {
    let mut table = table();
    let (id, ticket) = (RunId::from("a"), table.issue_ticket(secs(1)));
    table.begin(secs(1), &id, ticket);

    table.record_response(&id, response());

    assert_eq!(
        table.settle(secs(5), &id, ticket),
        Settled::Answered(response())
    );
    assert_eq!(table.begin(secs(5), &id, ticket), Begin::Duplicate);
}

#[test]
fn a_voided_run_never_starts() {
    let mut table = table();
    let (id, ticket) = (RunId::from("a"), table.issue_ticket(secs(1)));

    assert_eq!(table.settle(secs(2), &id, ticket), Settled::Voided);

    assert_eq!(
        table.begin(secs(3), &id, ticket),
        Begin::Refuse(Refusal::Voided)
    );
}

#[test]
fn a_run_with_an_expired_ticket_is_refused() {
    let mut table = table();
    let (id, ticket) = (RunId::from("a"), table.issue_ticket(secs(1)));

    assert_eq!(
        table.begin(secs(12), &id, ticket),
        Begin::Refuse(Refusal::Expired)
    );
}

#[test]
fn a_restarted_agent_refuses_tickets_of_its_old_incarnation() {
    let mut old = table();
    let (id, ticket) = (RunId::from("a"), old.issue_ticket(secs(1)));
    old.begin(secs(1), &id, ticket);

    let mut new = RunTable::new(INCARNATION + 1);

    assert_eq!(
        new.begin(secs(0), &id, ticket),
        Begin::Refuse(Refusal::Restarted)
    );
    assert_eq!(new.settle(secs(0), &id, ticket), Settled::Unknown);
}

#[test]
fn a_run_past_its_retention_is_unknown_not_voided() {
    let mut table = table();
    let (id, ticket) = (RunId::from("a"), table.issue_ticket(secs(1)));
    table.begin(secs(1), &id, ticket);
    table.record_response(&id, response());

    let settled = table.settle(secs(1000), &id, ticket);

    assert_eq!(settled, Settled::Unknown);
    assert!(table.is_empty());
}

#[test]
fn responses_are_bounded_in_memory() {
    let mut table = table();
    let ticket = table.issue_ticket(secs(1));
    let big = Arc::new(UpstreamResponse {
        body: vec![0; 1 << 20],
        ..(*response()).clone()
    });

    for i in 0..40 {
        let id = RunId::from(format!("r{i}"));
        table.begin(secs(1), &id, ticket);
        table.record_response(&id, big.clone());
    }

    // The oldest response was evicted; its run must be unknown and never "not run".
    assert_eq!(
        table.settle(secs(2), &"r0".into(), ticket),
        Settled::Unknown
    );
    assert!(matches!(
        table.settle(secs(2), &"r39".into(), ticket),
        Settled::Answered(_)
    ));
}

/// A message in the network, delivered late, repeatedly, in any order or never.
#[derive(Debug, Clone)]
enum Message {
    Run(RunId, Ticket),
    Settle(RunId, Ticket),
}

#[derive(Default)]
struct Simulation {
    now: Duration,
    incarnation: u64,
    network: Vec<Message>,
    executed: HashMap<RunId, u32>,
    reported_not_run: HashSet<RunId>,
    sent: u32,
}

/// For any interleaving no id runs twice, and none that was reported as not run does.
#[test]
fn at_most_once_for_any_interleaving() {
    check_seeds(3000, |u| {
        let mut simulation = Simulation::default();
        let mut table = RunTable::new(0);
        for _ in 0..u.int_in_range(1..=120)? {
            advance(u, &mut simulation, &mut table)?;
            for (id, count) in &simulation.executed {
                assert!(*count <= 1, "{id} ran {count} times");
                assert!(
                    !simulation.reported_not_run.contains(id),
                    "{id} ran after it was reported as not run"
                );
            }
        }
        Ok(())
    });
}

fn advance(
    u: &mut Unstructured<'_>,
    simulation: &mut Simulation,
    table: &mut RunTable,
) -> Result<()> {
    match u.int_in_range(0..=11)? {
        0..=2 => {
            simulation.sent += 1;
            let id = RunId::from(format!("r{}", simulation.sent));
            let message = Message::Run(id, table.issue_ticket(simulation.now));
            simulation.network.push(message);
        }
        3..=4 => {
            if !simulation.network.is_empty() {
                let (Message::Run(id, ticket) | Message::Settle(id, ticket)) =
                    u.choose(&simulation.network)?.clone();
                simulation.network.push(Message::Settle(id, ticket));
            }
        }
        5..=8 => {
            if !simulation.network.is_empty() {
                let i = u.choose_index(simulation.network.len())?;
                // Half of the messages stay in the network and arrive again.
                let message = match u.arbitrary()? {
                    true => simulation.network[i].clone(),
                    false => simulation.network.swap_remove(i),
                };
                deliver(simulation, table, message);
            }
        }
        9 => simulation.now += Duration::from_millis(u.int_in_range(0..=120_000)?),
        10 => {
            let known: Vec<RunId> = simulation.executed.keys().cloned().collect();
            if !known.is_empty() {
                let id = u.choose(&known)?;
                match u.arbitrary()? {
                    true => table.record_response(id, response()),
                    false => table.record_lost(id),
                }
            }
        }
        _ => {
            if u.ratio(1, 8)? {
                simulation.incarnation += 1;
                *table = RunTable::new(simulation.incarnation);
            }
        }
    }
    Ok(())
}

fn deliver(simulation: &mut Simulation, table: &mut RunTable, message: Message) {
    match message {
        Message::Run(id, ticket) => match table.begin(simulation.now, &id, ticket) {
            Begin::Run => *simulation.executed.entry(id).or_default() += 1,
            Begin::Refuse(_) => {
                // A refusal reports the run as not run, unless an earlier copy of the
                // message has started it.
                if !simulation.executed.contains_key(&id) {
                    simulation.reported_not_run.insert(id);
                }
            }
            Begin::Duplicate => {}
        },
        Message::Settle(id, ticket) => {
            if table.settle(simulation.now, &id, ticket) == Settled::Voided {
                simulation.reported_not_run.insert(id);
            }
        }
    }
}

/// Runs that were cancelled or whose responses were passed on as they arrived counted as
/// running for ever, and their ids were never removed.
#[test]
fn a_run_without_a_recorded_response_counts_as_running_for_ever() {
    let mut table = table();
    let (id, ticket) = (RunId::from("a"), table.issue_ticket(secs(1)));
    let answered = RunId::from("b");
    table.begin(secs(1), &id, ticket);
    table.begin(secs(1), &answered, ticket);
    table.record_response(&answered, response());

    table.end(&id);
    table.end(&answered);

    assert_eq!(table.settle(secs(2), &id, ticket), Settled::Unknown);
    assert_eq!(
        table.settle(secs(2), &answered, ticket),
        Settled::Answered(response())
    );
    let late = table.issue_ticket(secs(2000));
    table.begin(secs(2000), &RunId::from("c"), late);
    assert_eq!(table.len(), 1);
}
