//! The same request sent again and again through any entries runs at most once.

use std::time::Duration;

use protocol::{Answer, RunId, SettleReply, Ticket};
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

fn answer() -> Answer {
    Answer {
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
fn a_later_claim_asks_the_earlier_ones_in_order() {
    let records = [record("a"), record("b"), record("c")];
    let mut check = ClaimCheck::new(&records, &claim("c", 1));

    assert_eq!(check.step(), ClaimStep::Settle(claim("a", 1)));
    check.record_reply(Some(SettleReply::Voided));
    assert_eq!(check.step(), ClaimStep::Settle(claim("b", 1)));
    check.record_reply(Some(SettleReply::Answered(answer())));
    assert_eq!(check.step(), ClaimStep::Replay(answer()));
}

#[test]
fn an_agent_that_is_gone_makes_the_outcome_unknown() {
    for reply in [None, Some(SettleReply::Unknown)] {
        let mut check = ClaimCheck::new(&[record("a"), record("b")], &claim("b", 1));

        check.record_reply(reply);

        assert_eq!(check.step(), ClaimStep::Unknown);
    }
}

#[test]
fn claims_noted_as_void_are_passed_over() {
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

/// One copy of the request on its way through an entry.
enum Copy {
    Claimed(Claim, usize),
    Checking(Claim, usize, ClaimCheck),
    Sent(Claim, usize),
}

#[derive(Default)]
struct World {
    now: Duration,
    log: Vec<ClaimRecord>,
    agents: Vec<RunTable>,
    copies: Vec<Copy>,
    incarnations: u64,
    count: u32,
    executed: Vec<RunId>,
}

/// Copies are sent, lost with their entries, delayed and repeated; agents
/// restart; answers are lost. The request runs at most once.
#[test]
fn at_most_one_copy_runs_for_any_interleaving() {
    let mut ran = 0;
    check_seeds(3000, |u| {
        let mut world = World::default();
        for _ in 0..2 {
            world.incarnations += 1;
            world.agents.push(RunTable::new(world.incarnations));
        }
        for _ in 0..u.int_in_range(1..=150)? {
            advance(u, &mut world)?;
            assert!(world.executed.len() <= 1, "ran as {:?}", world.executed);
        }
        ran += world.executed.len();
        Ok(())
    });
    assert!(ran > 1000, "only {ran} of 3000 cases ran the request");
}

fn advance(u: &mut Unstructured<'_>, w: &mut World) -> Result<()> {
    match u.int_in_range(0..=15)? {
        0..=2 => {
            w.count += 1;
            let agent = u.choose_index(w.agents.len())?;
            let claim = Claim {
                ticket: w.agents[agent].issue_ticket(w.now),
                addr: ([127, 0, 0, 1], u16::try_from(agent).unwrap()).into(),
                ..claim(&format!("run-{}", w.count), 1)
            };
            w.log.push(ClaimRecord::Claim(claim.clone()));
            w.copies.push(Copy::Claimed(claim, agent));
        }
        3..=12 if !w.copies.is_empty() => {
            let i = u.choose_index(w.copies.len())?;
            let copy = w.copies.swap_remove(i);
            // Now and then the entry dies with its copy.
            if !u.ratio(1, 10)? {
                step(u, w, copy)?;
            }
        }
        13 => w.now += Duration::from_millis(u.int_in_range(0..=60_000)?),
        14 => {
            if let Some(run) = w.executed.first().cloned() {
                for agent in &mut w.agents {
                    agent.record_answer(&run, answer().into());
                }
            }
        }
        15 if u.ratio(1, 6)? => {
            w.incarnations += 1;
            let i = u.choose_index(w.agents.len())?;
            w.agents[i] = RunTable::new(w.incarnations);
        }
        _ => {}
    }
    Ok(())
}

fn step(u: &mut Unstructured<'_>, w: &mut World, copy: Copy) -> Result<()> {
    match copy {
        Copy::Claimed(claim, agent) => {
            let check = ClaimCheck::new(&w.log, &claim);
            w.copies.push(Copy::Checking(claim, agent, check));
        }
        Copy::Checking(claim, agent, mut check) => match check.step() {
            ClaimStep::Run => w.copies.push(Copy::Sent(claim, agent)),
            ClaimStep::Settle(earlier) => {
                let reply = match u.ratio(1, 8)? {
                    true => None,
                    false => Some(settle(w, &earlier)),
                };
                check.record_reply(reply);
                w.copies.push(Copy::Checking(claim, agent, check));
            }
            _ => w.log.push(ClaimRecord::Void(claim.run)),
        },
        Copy::Sent(claim, agent) => {
            if w.agents[agent].begin(w.now, &claim.run, claim.ticket) == Begin::Run {
                w.executed.push(claim.run.clone());
            }
            // The message may arrive again.
            if u.arbitrary()? {
                w.copies.push(Copy::Sent(claim, agent));
            }
        }
    }
    Ok(())
}

fn settle(w: &mut World, claim: &Claim) -> SettleReply {
    let agent = usize::from(claim.addr.port());
    match w.agents[agent].settle(w.now, &claim.run, claim.ticket) {
        Settled::Voided => SettleReply::Voided,
        Settled::Running => SettleReply::Running,
        Settled::Answered(a) => SettleReply::Answered((*a).clone()),
        Settled::Unknown => SettleReply::Unknown,
    }
}
