//! Choice of an upstream.

mod fixture;

use dispatch::{Choice, SeatLoad, Wanted};
use domain::{Moment, UpstreamState};
use fixture::{ms, seats, secs, start, upstream, wanted};

fn nowhere(_domain: &str) -> bool {
    false
}

fn key(choice: Choice) -> Option<String> {
    match choice {
        Choice::Send(key) => Some(key.to_string()),
        Choice::Full | Choice::Nobody => None,
    }
}

#[test]
fn near_upstreams_go_first_until_they_are_much_busier() {
    let mut seats = seats(&[
        upstream("near", "a", Some(1)),
        upstream("far", "b", Some(1)),
    ]);
    let now = start();

    let idle = seats.choose(now, &wanted(now), nowhere);
    seats.seat("near").unwrap().others = SeatLoad {
        requests: 12,
        unread: 0,
    };
    let busy = seats.choose(now, &wanted(now), nowhere);

    assert_eq!(key(idle).as_deref(), Some("near"));
    assert_eq!(key(busy).as_deref(), Some("far"));
}

#[test]
fn no_request_goes_beyond_the_slots_of_an_upstream() {
    let mut seats = seats(&[upstream("u", "a", Some(1))]);
    seats.seat("u").unwrap().others = SeatLoad {
        requests: 16,
        unread: 0,
    };

    let choice = seats.choose(start(), &wanted(start()), nowhere);

    assert_eq!(choice, Choice::Full);
}

#[test]
fn leaving_evacuated_and_switching_upstreams_get_nothing() {
    let mut leaving = upstream("leaving", "a", Some(1));
    leaving.state = UpstreamState::Draining;
    let mut seats = seats(&[
        leaving,
        upstream("evacuated", "b", Some(1)),
        upstream("switching", "a", Some(1)),
    ]);
    seats.seat("switching").unwrap().switching = true;

    let choice = seats.choose(start(), &wanted(start()), |d| d == "b");

    assert_eq!(choice, Choice::Full);
}

#[test]
fn an_engine_without_the_wanted_weights_is_never_chosen() {
    let seats = seats(&[upstream("empty", "a", None), upstream("old", "a", Some(1))]);
    let newer = Wanted {
        weights: Some(2),
        ..wanted(start())
    };

    let old_is_good = seats.choose(start(), &wanted(start()), nowhere);
    let old_is_late = seats.choose(start(), &newer, nowhere);

    assert_eq!(key(old_is_good).as_deref(), Some("old"));
    assert_eq!(old_is_late, Choice::Nobody);
}

#[test]
fn homes_bind() {
    let seats = seats(&[
        upstream("north", "a", Some(1)),
        upstream("south", "b", Some(1)),
    ]);
    let home = Wanted {
        homes: vec!["south".into()],
        ..wanted(start())
    };

    let choice = seats.choose(start(), &home, nowhere);

    assert_eq!(key(choice).as_deref(), Some("south"));
}

#[test]
fn a_new_start_under_the_same_id_begins_anew() {
    let mut seats = seats(&[upstream("u", "a", Some(1))]);
    seats.seat("u").unwrap().send(start(), 900);
    let mut reborn = upstream("u", "a", None);
    reborn.started_ms = 2;

    seats.list(start(), &reborn, "north", 0);

    let seat = seats.seat("u").unwrap();
    assert_eq!(seat.own, SeatLoad::default());
    assert!(seat.upstream.models.is_empty());
}

#[test]
fn a_cold_upstream_gets_no_more_than_the_share_of_one_entry() {
    let mut cold = upstream("cold", "a", Some(1));
    cold.cold_remaining = secs(3);
    let mut seats = seats(&[cold]);
    seats.set_cold_rate(Some(5.0));
    let mut sent = 0;

    for step in 0..1000_u64 {
        let now = start() + ms(step);
        if let Choice::Send(key) = seats.choose(now, &Wanted::default(), nowhere) {
            let seat = seats.seat(&key).unwrap();
            seat.send(now, 0);
            seat.end();
            sent += 1;
        }
    }

    assert_eq!(sent, 5);
}

/// Load pattern: an engine comes back from a switch, empty, while several
/// entries have requests waiting. All of them see the same free engine; notices
/// arrive after 60 ms.
#[test]
fn several_entries_do_not_fill_a_freed_engine_beyond_the_objective() {
    let mut entries: Vec<_> = (0..3)
        .map(|_| {
            let mut seats = seats(&[upstream("freed", "a", Some(1))]);
            seats.set_entries(3);
            seats
        })
        .collect();
    let now = start();
    let mut unread = 0_u64;

    for seats in &mut entries {
        while let Choice::Send(key) = seats.choose(now, &wanted(now), nowhere) {
            seats.seat(&key).unwrap().send(now, 900);
            unread += 900;
        }
    }

    let engine = fixture::engine();
    let last = unread as f64 / engine.prefill_rate;
    assert!(unread >= 2 * 900, "the engine is used");
    assert!(last < 0.4, "the last prompt is read after {last} s");
}

/// Load pattern: many places are free at once, but an engine reads prompts one
/// after the other.
#[test]
fn a_request_waits_rather_than_begin_late_behind_unread_prompts() {
    let mut seats = seats(&[upstream("u", "a", Some(1))]);
    seats.seat("u").unwrap().others = SeatLoad {
        requests: 8,
        unread: 8 * 900,
    };

    let choice = seats.choose(start(), &wanted(start()), nowhere);

    assert_eq!(choice, Choice::Full);
}

#[test]
fn what_is_late_anyway_does_not_join_a_busy_reader() {
    let mut seats = seats(&[upstream("u", "a", Some(1))]);
    let late = Wanted {
        due: None,
        ..wanted(start())
    };
    let free = seats.choose(start(), &late, nowhere);
    seats.seat("u").unwrap().others = SeatLoad {
        requests: 3,
        unread: 3000,
    };

    let busy = seats.choose(start(), &late, nowhere);

    assert_eq!(key(free).as_deref(), Some("u"));
    assert_eq!(busy, Choice::Full);
}

#[test]
fn failures_pause_an_upstream_for_longer_each_time() {
    let mut seats = seats(&[upstream("u", "a", Some(1))]);
    let pauses = |seats: &mut dispatch::Seats, at: Moment| {
        seats.seat("u").unwrap().failed(at);
        (0..5000)
            .map(|step| at + ms(step))
            .find(|t| seats.seat("u").unwrap().is_open(*t))
            .map(|t| t - at)
    };

    let first = pauses(&mut seats, start());
    let second = pauses(&mut seats, start() + secs(10));

    assert!(first < second);
}

/// Load pattern: engines switch to a new version in the middle of a burst. An
/// engine that waits for its longest request before it can switch is idle for
/// most of that time.
#[test]
fn long_requests_avoid_an_engine_that_is_about_to_switch() {
    let mut seats = seats(&[upstream("switches", "a", Some(1))]);
    seats.seat("switches").unwrap().closes = Some(start() + secs(1));
    let short = Wanted {
        output: Some(30),
        ..wanted(start())
    };
    let long = Wanted {
        output: Some(200),
        ..wanted(start())
    };

    let choices = [&short, &long].map(|w| seats.choose(start(), w, nowhere));

    assert_eq!(key(choices[0].clone()).as_deref(), Some("switches"));
    assert_eq!(choices[1], Choice::Full);
}
