//! Choice of an upstream.

mod fixture;

use dispatch::{Choice, ConnectionBudget, Ownership, Requirements, UpstreamLoad, WindowBudget};
use domain::{HeldModel, Moment, UpstreamState};
use fixture::{ms, needs, pool, secs, start, upstream};

fn no_evacuation(_domain: &str) -> bool {
    false
}

fn chosen(choice: Choice) -> Option<String> {
    match choice {
        Choice::Send(id) => Some(id.to_string()),
        Choice::Full | Choice::NoMatch => None,
    }
}

#[test]
fn near_upstream_is_preferred_until_much_busier() {
    let mut pool = pool(&[
        upstream("near", "a", Some(1)),
        upstream("far", "b", Some(1)),
    ]);
    let now = start();

    let idle = pool.choose(now, &needs(now), no_evacuation);
    pool.get_mut("near").unwrap().others = UpstreamLoad {
        requests: 12,
        prefill_tokens: 0,
    };
    let busy = pool.choose(now, &needs(now), no_evacuation);

    assert_eq!(chosen(idle).as_deref(), Some("near"));
    assert_eq!(chosen(busy).as_deref(), Some("far"));
}

#[test]
fn upstream_without_free_slots_is_not_chosen() {
    let mut pool = pool(&[upstream("u", "a", Some(1))]);
    pool.get_mut("u").unwrap().others = UpstreamLoad {
        requests: 16,
        prefill_tokens: 0,
    };

    let choice = pool.choose(start(), &needs(start()), no_evacuation);

    assert_eq!(choice, Choice::Full);
}

#[test]
fn draining_evacuated_and_switching_upstreams_are_not_chosen() {
    let mut leaving = upstream("leaving", "a", Some(1));
    leaving.state = UpstreamState::Draining;
    let mut pool = pool(&[
        leaving,
        upstream("evacuated", "b", Some(1)),
        upstream("switching", "a", Some(1)),
    ]);
    pool.get_mut("switching")
        .unwrap()
        .set_switching(start(), true);

    let choice = pool.choose(start(), &needs(start()), |d| d == "b");

    assert_eq!(choice, Choice::Full);
}

#[test]
fn engine_without_required_weights_is_not_chosen() {
    let pool = pool(&[upstream("empty", "a", None), upstream("old", "a", Some(1))]);
    let newer = Requirements {
        min_weight_version: Some(2),
        ..needs(start())
    };

    let without_minimum = pool.choose(start(), &needs(start()), no_evacuation);
    let with_minimum = pool.choose(start(), &newer, no_evacuation);

    assert_eq!(chosen(without_minimum).as_deref(), Some("old"));
    assert_eq!(with_minimum, Choice::NoMatch);
}

#[test]
fn upstream_outside_home_regions_is_not_chosen() {
    let pool = pool(&[
        upstream("north", "a", Some(1)),
        upstream("south", "b", Some(1)),
    ]);
    let home = Requirements {
        home_regions: vec!["south".into()],
        ..needs(start())
    };

    let choice = pool.choose(start(), &home, no_evacuation);

    assert_eq!(chosen(choice).as_deref(), Some("south"));
}

#[test]
fn new_start_under_same_id_resets_load() {
    let mut pool = pool(&[upstream("u", "a", Some(1))]);
    pool.get_mut("u").unwrap().record_send(start(), 900);
    let mut restarted = upstream("u", "a", None);
    restarted.started_ms = 2;

    pool.upsert(start(), &restarted, "north", 0);

    let pooled = pool.get_mut("u").unwrap();
    assert_eq!(pooled.own, UpstreamLoad::default());
    assert!(pooled.upstream.models.is_empty());
}

#[test]
fn cold_upstream_gets_at_most_the_cold_rate() {
    let mut cold = upstream("cold", "a", Some(1));
    cold.cold_remaining = secs(3);
    let mut pool = pool(&[cold]);
    pool.set_cold_budget(Some(WindowBudget::new(5.0, 1, vec![1], Some(1))));
    let mut sent = 0;

    for step in 0..1000_u64 {
        let now = start() + ms(step);
        if let Choice::Send(id) = pool.choose(now, &Requirements::default(), no_evacuation) {
            let pooled = pool.get_mut(&id).unwrap();
            pooled.record_send(now, 0);
            pooled.record_end();
            sent += 1;
        }
    }

    assert_eq!(sent, 5);
}

/// An engine returns empty from a switch while several entries have requests waiting.
/// All of them see the same free engine, since notices take 60 ms.
#[test]
fn several_entries_do_not_overload_a_freed_engine() {
    let mut entries: Vec<_> = (0..3)
        .map(|_| {
            let mut pool = pool(&[upstream("freed", "a", Some(1))]);
            pool.set_entries(3);
            pool
        })
        .collect();
    let now = start();
    let mut prefill = 0_u64;

    for pool in &mut entries {
        while let Choice::Send(id) = pool.choose(now, &needs(now), no_evacuation) {
            pool.get_mut(&id).unwrap().record_send(now, 900);
            prefill += 900;
        }
    }

    let engine = fixture::engine();
    let last = prefill as f64 / engine.prefill_rate;
    assert!(prefill >= 2 * 900, "the engine is used");
    assert!(last < 0.4, "the last prompt is prefilled after {last} s");
}

/// Requests that had ended counted as those of other entries for 80 ms, so free slots were not
/// used.
#[test]
fn short_requests_of_the_last_moments_do_not_fill_an_upstream() {
    let mut small = upstream("small", "a", None);
    small.slots = 4;
    let mut pool = pool(&[small]);
    pool.set_entries(3);
    pool.get_mut("small").unwrap().ownership = Ownership::Foreign;
    let mut sent = 0;

    for step in 0..20 {
        let now = start() + ms(10 * step);
        if let Choice::Send(id) = pool.choose(now, &Requirements::default(), no_evacuation) {
            pool.get_mut(&id).unwrap().record_send(now, 0);
            pool.get_mut(&id).unwrap().record_end();
            sent += 1;
        }
    }

    assert_eq!(sent, 20);
}

/// Many slots are free at once, but an engine prefills prompts one after the other.
#[test]
fn request_waits_when_prefill_backlog_would_make_it_late() {
    let mut pool = pool(&[upstream("u", "a", Some(1))]);
    pool.get_mut("u").unwrap().others = UpstreamLoad {
        requests: 8,
        prefill_tokens: 8 * 900,
    };

    let choice = pool.choose(start(), &needs(start()), no_evacuation);

    assert_eq!(choice, Choice::Full);
}

#[test]
fn late_request_is_not_sent_to_a_busy_engine() {
    let mut pool = pool(&[upstream("u", "a", Some(1))]);
    let late = Requirements {
        due: None,
        ..needs(start())
    };
    let free = pool.choose(start(), &late, no_evacuation);
    pool.get_mut("u").unwrap().others = UpstreamLoad {
        requests: 3,
        prefill_tokens: 3000,
    };

    let busy = pool.choose(start(), &late, no_evacuation);

    assert_eq!(chosen(free).as_deref(), Some("u"));
    assert_eq!(busy, Choice::Full);
}

#[test]
fn repeated_failure_pauses_an_upstream_for_longer() {
    let mut pool = pool(&[upstream("u", "a", Some(1))]);
    let pause_after_failure = |pool: &mut dispatch::UpstreamPool, at: Moment| {
        pool.get_mut("u").unwrap().record_failure(at);
        (0..5000)
            .map(|step| at + ms(step))
            .find(|t| pool.get_mut("u").unwrap().is_open(*t))
            .map(|t| t - at)
    };

    let first = pause_after_failure(&mut pool, start());
    let second = pause_after_failure(&mut pool, start() + secs(10));

    assert!(first < second);
}

/// One slow request took the only upstream of a service from all others.
#[test]
fn slow_request_pauses_an_upstream_that_answers_others() {
    let mut pool = pool(&[upstream("u", "a", Some(1))]);
    let u = pool.get_mut("u").unwrap();
    u.record_heard(start() + ms(300));

    u.record_silence(start() + ms(450), start());

    assert!(u.is_open(start() + ms(450)));
    assert!(u.failure_rate > 0.0);
}

#[test]
fn silent_upstream_is_paused_until_it_is_heard() {
    let mut pool = pool(&[upstream("u", "a", Some(1))]);
    let u = pool.get_mut("u").unwrap();
    u.record_heard(start());

    u.record_silence(start() + ms(450), start());
    let silent = u.is_open(start() + ms(460));
    u.record_heard(start() + ms(470));

    assert!(!silent);
    assert!(u.is_open(start() + ms(470)));
}

#[test]
fn upstream_that_failed_stays_paused_when_it_is_heard() {
    let mut pool = pool(&[upstream("u", "a", Some(1))]);
    let u = pool.get_mut("u").unwrap();

    u.record_failure(start());
    u.record_heard(start() + ms(10));

    assert!(!u.is_open(start() + ms(20)));
}

/// Engines switch to a new version during a burst. An engine that waits for its
/// longest request before it can switch is idle for most of that time.
#[test]
fn long_request_is_not_sent_to_an_engine_about_to_switch() {
    let mut pool = pool(&[upstream("switches", "a", Some(1))]);
    pool.get_mut("switches").unwrap().closes_at = Some(start() + secs(1));
    let short = Requirements {
        output_tokens: Some(30),
        ..needs(start())
    };
    let long = Requirements {
        output_tokens: Some(200),
        ..needs(start())
    };

    let choices = [&short, &long].map(|needs| pool.choose(start(), needs, no_evacuation));

    assert_eq!(chosen(choices[0].clone()).as_deref(), Some("switches"));
    assert_eq!(choices[1], Choice::Full);
}

#[test]
fn upstream_gets_no_more_requests_than_its_connection_limit_allows() {
    let mut pool = pool(&[upstream("u", "a", Some(1))]);
    pool.set_connection_budget(ConnectionBudget::new(4, Some(1)));
    pool.get_mut("u").unwrap().others = UpstreamLoad {
        requests: 3,
        prefill_tokens: 0,
    };
    let below = pool.choose(start(), &needs(start()), no_evacuation);
    pool.get_mut("u").unwrap().others.requests = 4;

    let at_limit = pool.choose(start(), &needs(start()), no_evacuation);

    assert_eq!(chosen(below).as_deref(), Some("u"));
    assert_eq!(at_limit, Choice::Full);
}

/// A notice or record from before a load arrived after those that followed it, and the
/// engine was passed over although it held the required version.
#[test]
fn late_statement_does_not_bring_back_an_older_version() {
    let older = upstream("u", "a", Some(1));
    let mut pool = pool(std::slice::from_ref(&older));
    let held = |version| {
        vec![HeldModel {
            model: "m".into(),
            version,
        }]
    };
    let needs = Requirements {
        min_weight_version: Some(2),
        ..needs(start())
    };

    pool.get_mut("u").unwrap().update_models(held(2));
    pool.get_mut("u").unwrap().update_models(held(1));
    let after_notice = pool.choose(start(), &needs, no_evacuation);
    pool.upsert(start(), &older, "north", 0);
    let after_record = pool.choose(start(), &needs, no_evacuation);
    let mut restarted = older;
    restarted.started_ms += 1;
    pool.upsert(start(), &restarted, "north", 0);
    let after_restart = pool.choose(start(), &needs, no_evacuation);

    assert_eq!(chosen(after_notice).as_deref(), Some("u"));
    assert_eq!(chosen(after_record).as_deref(), Some("u"));
    assert_eq!(after_restart, Choice::NoMatch);
}

/// The plan of a switch outlived the agent that had announced it, and the engine got
/// no requests until the agent was back.
#[test]
fn announced_switch_does_not_outlive_its_agent() {
    let mut pool = pool(&[upstream("u", "a", Some(1))]);
    let announced = pool.get_mut("u").unwrap();
    announced.record_notice(start());
    announced.closes_at = Some(start() + ms(300));

    let closed = pool.choose(start() + secs(1), &needs(start() + secs(1)), no_evacuation);
    let silent = pool.choose(start() + secs(4), &needs(start() + secs(4)), no_evacuation);

    assert_eq!(closed, Choice::Full);
    assert_eq!(chosen(silent).as_deref(), Some("u"));
}

/// A limit near the slots took a third of the throughput, and the owner's reservation
/// was counted of the slots, so that others could take all connections.
#[test]
fn owner_may_use_all_requests_that_the_connection_limit_allows() {
    let mut pool = pool(&[upstream("u", "a", Some(1))]);
    pool.set_connection_budget(ConnectionBudget::new(12, Some(3)));
    let mut choose = |ownership, requests| {
        let upstream = pool.get_mut("u").unwrap();
        upstream.ownership = ownership;
        upstream.others.requests = requests;
        chosen(pool.choose(start(), &needs(start()), no_evacuation)).is_some()
    };

    assert!(choose(Ownership::Own, 11));
    assert!(!choose(Ownership::Own, 12));
    assert!(choose(Ownership::Foreign, 8));
    assert!(!choose(Ownership::Foreign, 9));
}

/// Half of a region's engines were added to a fleet of 235 in five regions. Requests went to
/// busy engines of the region and to other regions, as few of the idle ones were sampled.
#[test]
fn idle_upstream_of_the_region_is_found_in_a_large_fleet() {
    const REGIONS: usize = 5;
    let region = |i: usize| format!("r{}", i % REGIONS);
    let is_idle = |i: usize| i.is_multiple_of(2 * REGIONS);
    let mut pool = dispatch::UpstreamPool::new("llm".into(), "r0".into(), "r0".into());
    for i in 0..235 {
        let id = format!("i-{i}");
        let tag = u32::try_from(i).unwrap();
        pool.upsert(
            start(),
            &upstream(&id, &region(i), Some(1)),
            &region(i),
            tag,
        );
        if !is_idle(i) {
            let load = UpstreamLoad {
                requests: 12,
                prefill_tokens: 0,
            };
            pool.set_others(tag, load);
        }
    }

    let choices =
        (0..1000).filter_map(|_| chosen(pool.choose(start(), &needs(start()), no_evacuation)));
    let idle = choices.filter(|id| is_idle(id[2..].parse().unwrap()));

    assert!(idle.count() >= 900);
}

/// Eight entries sent a request each to an engine within 10 ms of the end of its switch; the
/// last prompts were late by 0.1 s.
#[test]
fn opened_upstream_gets_requests_of_all_entries_at_once() {
    let mut pool = pool(&[upstream("u", "a", Some(1))]);
    let pooled = pool.get_mut("u").unwrap();
    pooled.set_switching(start(), true);
    pooled.set_switching(start() + ms(300), false);
    let mut sends = |turn: u32, after: u64| {
        pool.get_mut("u").unwrap().turn = turn;
        let now = start() + ms(300 + after);
        chosen(pool.choose(now, &needs(now), no_evacuation)).is_some()
    };

    assert!(sends(0, 0));
    assert!(!sends(3, 10));
    assert!(sends(3, 160));
    assert!(!sends(u32::MAX, 160));
    assert!(sends(u32::MAX, 510));
}

/// On a link between regions that carries weights, a request and its cancellation took so long
/// that the engine began it after the deadline of the newer version.
#[test]
fn older_weights_in_another_region_are_used_until_the_deadline() {
    let near = upstream("near", "a", Some(1));
    let far = upstream("far", "b", Some(1));
    let needs = needs(start());
    let mut only_far = pool(std::slice::from_ref(&far));
    let mut both = pool(&[near, far]);
    let before = only_far.choose(start(), &needs, no_evacuation);

    only_far.set_far_version("m", Some(2));
    both.set_far_version("m", Some(2));
    let after = only_far.choose(start(), &needs, no_evacuation);
    let of_both = both.choose(start(), &needs, no_evacuation);
    only_far.set_far_version("m", None);
    let again = only_far.choose(start(), &needs, no_evacuation);

    assert_eq!(chosen(before).as_deref(), Some("far"));
    assert_eq!(after, Choice::NoMatch);
    assert_eq!(chosen(of_both).as_deref(), Some("near"));
    assert_eq!(chosen(again).as_deref(), Some("far"));
}
