//! A request with an idempotency key runs at most once, whichever entries receive it
//! and however often.

use std::time::Duration;

use protocol::{RunId, SettleReply, Ticket, UpstreamResponse};
use requests::{Begin, Claim, ClaimCheck, ClaimRecord, ClaimStep, RunTable, Settled};
use testkit::arbitrary::{Result, Unstructured};
use testkit::check_seeds;

fn claim(run: &str, fingerprint: u64) -> Claim {
    Claim {
        key: "key".into(),
        fingerprint,
        run: run.into(),
        vm: "vm-0".into(),
        addr: ([127, 0, 0, 1], 1).into(),
        ticket: Ticket::default(),
    }
}

fn record(run: &str) -> ClaimRecord {
    ClaimRecord::Claim(claim(run, 1))
}

fn response() -> UpstreamResponse {
    UpstreamResponse {
        status: 200,
        media_type: "text/plain".into(),
        body: b"booked".to_vec(),
    }
}

#[test]
fn the_first_claim_runs() {
    let check = ClaimCheck::new(&[record("a"), record("b")], &claim("a", 1));

    assert_eq!(check.step(), ClaimStep::Run);
}

#[test]
fn a_later_claim_settles_the_earlier_ones_in_order() {
    let records = [record("a"), record("b"), record("c")];
    let mut check = ClaimCheck::new(&records, &claim("c", 1));

    assert_eq!(check.step(), ClaimStep::Settle(claim("a", 1)));
    check.record_reply(Some(SettleReply::Voided));
    assert_eq!(check.step(), ClaimStep::Settle(claim("b", 1)));
    check.record_reply(Some(SettleReply::Answered(response())));
    assert_eq!(check.step(), ClaimStep::Replay(response()));
}

#[test]
fn an_unreachable_agent_makes_the_outcome_unknown() {
    for reply in [None, Some(SettleReply::Unknown)] {
        let mut check = ClaimCheck::new(&[record("a"), record("b")], &claim("b", 1));

        check.record_reply(reply);

        assert_eq!(check.step(), ClaimStep::Unknown);
    }
}

#[test]
fn claims_recorded_as_void_are_skipped() {
    let records = [record("a"), ClaimRecord::Void("a".into()), record("b")];

    assert_eq!(
        ClaimCheck::new(&records, &claim("b", 1)).step(),
        ClaimStep::Run
    );
}

#[test]
fn a_key_used_for_other_content_is_refused() {
    let records = [record("a"), ClaimRecord::Claim(claim("b", 2))];

    assert_eq!(
        ClaimCheck::new(&records, &claim("b", 2)).step(),
        ClaimStep::Mismatch
    );
}

#[test]
fn a_claim_that_is_not_in_the_stream_never_runs() {
    assert_eq!(
        ClaimCheck::new(&[record("a")], &claim("b", 1)).step(),
        ClaimStep::Absent
    );
}

/// A copy of the request that an entry processes.
enum Copy {
    Claimed(Claim, usize),
    Checking(Claim, usize, ClaimCheck),
    Sent(Claim, usize),
}

#[derive(Default)]
struct Simulation {
    now: Duration,
    log: Vec<ClaimRecord>,
    agents: Vec<RunTable>,
    copies: Vec<Copy>,
    incarnations: u64,
    claims: u32,
    executed: Vec<RunId>,
}

/// Copies are sent, delayed, repeated and lost with their entries, agents restart
/// and responses are lost; the request still runs at most once.
#[test]
fn at_most_one_copy_runs_for_any_interleaving() {
    let mut ran = 0;
    check_seeds(3000, |u| {
        let mut simulation = Simulation::default();
        for _ in 0..2 {
            simulation.incarnations += 1;
            simulation
                .agents
                .push(RunTable::new(simulation.incarnations));
        }
        for _ in 0..u.int_in_range(1..=150)? {
            advance(u, &mut simulation)?;
            assert!(
                simulation.executed.len() <= 1,
                "ran as {:?}",
                simulation.executed
            );
        }
        ran += simulation.executed.len();
        Ok(())
    });
    assert!(ran > 1000, "only {ran} of 3000 cases ran the request");
}

fn advance(u: &mut Unstructured<'_>, simulation: &mut Simulation) -> Result<()> {
    match u.int_in_range(0..=15)? {
        0..=2 => {
            simulation.claims += 1;
            let agent = u.choose_index(simulation.agents.len())?;
            let claim = Claim {
                ticket: simulation.agents[agent].issue_ticket(simulation.now),
                addr: ([127, 0, 0, 1], u16::try_from(agent).unwrap()).into(),
                ..claim(&format!("run-{}", simulation.claims), 1)
            };
            simulation.log.push(ClaimRecord::Claim(claim.clone()));
            simulation.copies.push(Copy::Claimed(claim, agent));
        }
        3..=12 if !simulation.copies.is_empty() => {
            let i = u.choose_index(simulation.copies.len())?;
            let copy = simulation.copies.swap_remove(i);
            // Sometimes the entry crashes and its copy is lost.
            if !u.ratio(1, 10)? {
                step(u, simulation, copy)?;
            }
        }
        13 => simulation.now += Duration::from_millis(u.int_in_range(0..=60_000)?),
        14 => {
            if let Some(run) = simulation.executed.first().cloned() {
                for agent in &mut simulation.agents {
                    agent.record_response(&run, response().into());
                }
            }
        }
        15 if u.ratio(1, 6)? => {
            simulation.incarnations += 1;
            let i = u.choose_index(simulation.agents.len())?;
            simulation.agents[i] = RunTable::new(simulation.incarnations);
        }
        _ => {}
    }
    Ok(())
}

fn step(u: &mut Unstructured<'_>, simulation: &mut Simulation, copy: Copy) -> Result<()> {
    match copy {
        Copy::Claimed(claim, agent) => {
            let check = ClaimCheck::new(&simulation.log, &claim);
            simulation.copies.push(Copy::Checking(claim, agent, check));
        }
        Copy::Checking(claim, agent, mut check) => match check.step() {
            ClaimStep::Run => simulation.copies.push(Copy::Sent(claim, agent)),
            ClaimStep::Settle(earlier) => {
                let reply = match u.ratio(1, 8)? {
                    true => None,
                    false => Some(settle(simulation, &earlier)),
                };
                check.record_reply(reply);
                simulation.copies.push(Copy::Checking(claim, agent, check));
            }
            _ => simulation.log.push(ClaimRecord::Void(claim.run)),
        },
        Copy::Sent(claim, agent) => {
            if simulation.agents[agent].begin(simulation.now, &claim.run, claim.ticket)
                == Begin::Run
            {
                simulation.executed.push(claim.run.clone());
            }
            // The message may arrive again.
            if u.arbitrary()? {
                simulation.copies.push(Copy::Sent(claim, agent));
            }
        }
    }
    Ok(())
}

fn settle(simulation: &mut Simulation, claim: &Claim) -> SettleReply {
    let agent = usize::from(claim.addr.port());
    match simulation.agents[agent].settle(simulation.now, &claim.run, claim.ticket) {
        Settled::Voided => SettleReply::Voided,
        Settled::Running => SettleReply::Running,
        Settled::Answered(a) => SettleReply::Answered((*a).clone()),
        Settled::Unknown => SettleReply::Unknown,
    }
}
