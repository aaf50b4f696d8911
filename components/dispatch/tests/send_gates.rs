//! Which upstreams accept requests by their own statements, and for how long this is
//! remembered.

mod fixture;

use std::time::Duration;

use dispatch::{Choice, SendGates};
use domain::{GateStatus, SendGate};
use fixture::{ms, needs, pool, secs, start, upstream};

#[test]
fn gate_stays_closed_until_its_latest_end() {
    let gate = SendGate::default();

    let first = gate.close_until(start() + secs(2));
    let shorter = gate.close_until(start() + secs(1));

    assert!(first && !shorter);
    assert!(!gate.is_open(start() + ms(1999)));
    assert!(gate.is_open(start() + ms(2001)));
}

#[test]
fn closed_gate_never_opens() {
    let gate = SendGate::default();

    let first = gate.close();
    let again = gate.close();
    gate.close_until(start());

    assert!(first && !again);
    assert_eq!(gate.status(Duration::MAX), GateStatus::Closed);
}

#[test]
fn absurd_time_does_not_overflow() {
    let gate = SendGate::default();

    gate.close_until(Duration::MAX);

    assert!(!gate.is_open(start() + secs(1_000_000_000)));
    assert!(!gate.is_closed());
}

/// A closed gate was forgotten with the record of its upstream.
#[test]
fn gate_is_forgotten_when_its_upstream_is_removed() {
    let mut gates = SendGates::default();
    gates.gate(start(), 1).close();
    gates
        .gate(start(), 2)
        .close_until(start() + secs(1_000_000));
    gates.gate(start(), 3);

    for other in 100..1_000 {
        gates.gate(start(), other);
    }

    assert!(gates.gate(start(), 1).is_closed());
    assert!(!gates.gate(start(), 2).is_open(start() + secs(10)));
    assert!(gates.gate(start(), 3).is_open(start()));
}

#[test]
fn gates_of_gone_upstreams_are_bounded() {
    let mut gates = SendGates::default();
    let listed = gates.gate(start(), 0);
    listed.close();

    for other in 1..20_000 {
        gates.gate(start(), other).close();
    }

    assert!(gates.len() < 5_000, "{} gates", gates.len());
    assert!(gates.gate(start(), 0).is_closed());
    assert!(gates.gate(start(), 19_999).is_closed());
}

#[test]
fn closed_upstreams_are_not_chosen() {
    let listed = [upstream("i-0", "a", Some(1)), upstream("i-1", "a", Some(1))];
    let mut pool = pool(&listed);
    let choose = |pool: &dispatch::UpstreamPool, after| {
        let now = start() + after;
        pool.choose(now, &needs(now), |_| false)
    };

    pool.get_mut("i-0").unwrap().gate.close();
    let others: Vec<Choice> = (0..20).map(|_| choose(&pool, ms(0))).collect();
    let until = start() + secs(2);
    pool.get_mut("i-1").unwrap().gate.close_until(until);
    let held = choose(&pool, ms(1900));
    let later = choose(&pool, ms(2100));
    pool.get_mut("i-1").unwrap().gate.close();
    let none = choose(&pool, ms(2100));

    assert!(others.iter().all(|c| *c == Choice::Send("i-1".into())));
    assert_eq!(held, Choice::Full);
    assert_eq!(later, Choice::Send("i-1".into()));
    assert_eq!(none, Choice::NoMatch);
}

/// A pause that a new start had asked for ended when its record arrived.
#[test]
fn pause_is_taken_for_that_of_the_start_before() {
    let mut pool = pool(&[upstream("i-0", "a", Some(1))]);
    let pooled = pool.get_mut("i-0").unwrap();
    let until = start() + secs(2);

    pooled.record_pause(until, 5_000);

    let ends = |started_ms| pooled.pause_of_start(start(), started_ms);
    assert!(ends(4_000).is_some_and(|end| end >= until));
    assert_eq!(ends(5_001), None);
    assert_eq!(pooled.pause_of_start(start() + secs(3), 4_000), None);
}
