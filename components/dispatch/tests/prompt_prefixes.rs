//! Saving at an engine that still holds a prompt's beginning, against the wait there.

mod fixture;

use std::collections::HashSet;
use std::time::Duration;

use dispatch::{
    Choice, LatencyModel, PrefixGuess, PromptPrefix, Requirements, UpstreamOwners, UpstreamPool,
};
use domain::{HeldModel, PromptPart, UpstreamId};
use fixture::{ms, needs_with_part, pool, retaining, secs, start, upstream};

/// Id of the shared part in these tests.
const PART: u64 = 0xabc;

/// A pool of `engines` engines that retain `cache` tokens.
fn engines(engines: u32, cache: u32) -> UpstreamPool {
    let listed: Vec<_> = (0..engines)
        .map(|i| upstream(&format!("i-{i}"), "a", Some(1)))
        .collect();
    let mut pool = pool(&listed);
    pool.set_latency_model(LatencyModel::new(Some(retaining(cache))));
    pool
}

fn chosen(pool: &UpstreamPool, at: Duration, needs: &Requirements) -> UpstreamId {
    match pool.choose(at, needs, |_| false) {
        Choice::Send(id) => id,
        other => panic!("{other:?}"),
    }
}

/// Sends a request to `id`, whose prompt is processed as fast as expected.
fn serve(pool: &mut UpstreamPool, at: Duration, id: &str, needs: &Requirements) -> PrefixGuess {
    let guess = pool.record_send(at, id, needs).unwrap();
    pool.record_prompt(id, &guess, guess.first_token - guess.saving);
    let pooled = pool.get_mut(id).unwrap();
    pooled.record_prefill(guess.prefill_tokens());
    pooled.record_end();
    guess
}

/// Tokens that the next request with the part is expected to save at `id`.
fn saved_at(pool: &mut UpstreamPool, id: &str, tokens: u32) -> u32 {
    let now = start() + secs(2);
    serve(pool, now, id, &needs_with_part(now, PART, tokens)).saved_tokens
}

/// Number of choices, of 50, for the engine `i-0`.
fn choices_of_first(pool: &UpstreamPool, tokens: u32) -> usize {
    let now = start() + secs(1);
    let choices = (0..50).map(|_| chosen(pool, now, &needs_with_part(now, PART, tokens)));
    choices.filter(|id| id == "i-0").count()
}

#[test]
fn holder_is_chosen_at_equal_waits() {
    let mut pool = engines(6, 100_000);

    serve(
        &mut pool,
        start(),
        "i-0",
        &needs_with_part(start(), PART, 500),
    );

    assert_eq!(choices_of_first(&pool, 500), 50);
}

/// A backlog of 1,500 tokens is a wait of 72 ms; 500 held tokens save 24 ms.
#[test]
fn saving_smaller_than_the_wait_changes_nothing() {
    let mut pool = engines(6, 100_000);
    serve(
        &mut pool,
        start(),
        "i-0",
        &needs_with_part(start(), PART, 500),
    );

    pool.get_mut("i-0").unwrap().others.prefill_tokens = 1500;

    assert_eq!(choices_of_first(&pool, 500), 0);
}

/// Without a spread, all requests of a burst with a popular part would wait at one engine;
/// without the saving, the second request would already go elsewhere.
#[test]
fn popular_part_spreads_over_engines() {
    let mut pool = engines(6, 100_000);
    let now = start() + secs(1);
    serve(
        &mut pool,
        start(),
        "i-0",
        &needs_with_part(start(), PART, 4000),
    );

    let mut sent = Vec::new();
    for i in 0..30 {
        let now = now + ms(i);
        let needs = needs_with_part(now, PART, 4000);
        let id = chosen(&pool, now, &needs);
        let guess = pool.record_send(now, &id, &needs).unwrap();
        pool.record_prompt(&id, &guess, guess.first_token - guess.saving);
        sent.push(id);
    }

    let at_holder = sent.iter().filter(|id| *id == "i-0").count();
    assert!(sent[..4].iter().all(|id| id == "i-0"), "{sent:?}");
    assert!((4..16).contains(&at_holder), "{sent:?}");
    assert!(sent.iter().collect::<HashSet<_>>().len() >= 3, "{sent:?}");
}

/// Gateways that know nothing of each other's requests would spread a cold part over all
/// engines and evict others from each.
#[test]
fn cold_fleet_has_the_same_preferred_engines_at_all_gateways() {
    let mut used = HashSet::new();

    for _ in 0..20 {
        let mut pool = engines(12, 100_000);
        pool.set_owners(&UpstreamOwners::new(&[], &[]), "e");
        used.insert(chosen(
            &pool,
            start(),
            &needs_with_part(start(), PART, 4000),
        ));
    }

    assert!(used.len() <= 2, "{used:?}");
}

#[test]
fn restarted_engine_holds_nothing() {
    let mut pool = engines(2, 100_000);
    serve(
        &mut pool,
        start(),
        "i-0",
        &needs_with_part(start(), PART, 500),
    );
    let mut restarted = upstream("i-0", "a", Some(1));
    restarted.started_ms = 2;

    pool.upsert(start(), &restarted, "north", 0);

    assert_eq!(saved_at(&mut pool, "i-0", 500), 0);
}

#[test]
fn switched_engine_holds_nothing() {
    let mut pool = engines(2, 100_000);
    serve(
        &mut pool,
        start(),
        "i-0",
        &needs_with_part(start(), PART, 500),
    );

    pool.get_mut("i-0").unwrap().update_models(vec![HeldModel {
        model: "m".into(),
        version: 2,
    }]);

    assert_eq!(saved_at(&mut pool, "i-0", 500), 0);
}

/// The update of a record that states the same weights must not lose the memory.
#[test]
fn repeated_record_keeps_the_memory() {
    let mut pool = engines(2, 100_000);
    serve(
        &mut pool,
        start(),
        "i-0",
        &needs_with_part(start(), PART, 500),
    );

    pool.upsert(start(), &upstream("i-0", "a", Some(1)), "north", 0);

    assert_eq!(saved_at(&mut pool, "i-0", 500), 500);
}

/// An engine that lost its memory unnoticed would attract requests for ever.
#[test]
fn wrong_guesses_are_unlearned_and_right_ones_learned_again() {
    let mut pool = engines(2, 100_000);
    let needs = needs_with_part(start(), PART, 4000);
    serve(&mut pool, start(), "i-0", &needs);

    let guess = pool.record_send(start() + secs(1), "i-0", &needs).unwrap();
    let right = pool.record_prompt("i-0", &guess, guess.first_token);
    let after_wrong = saved_at(&mut pool, "i-0", 4000);
    for _ in 0..30 {
        saved_at(&mut pool, "i-0", 4000);
    }

    assert_eq!((right, after_wrong), (Some(false), 2000));
    assert_eq!(saved_at(&mut pool, "i-0", 4000), 4000);
}

/// What has been written since a part's last use has evicted it.
#[test]
fn part_is_evicted_once_the_engine_holds_newer_ones() {
    let mut pool = engines(2, 5000);
    serve(
        &mut pool,
        start(),
        "i-0",
        &needs_with_part(start(), PART, 500),
    );

    for other in 0..7 {
        serve(
            &mut pool,
            start(),
            "i-0",
            &needs_with_part(start(), other, 500),
        );
    }

    assert_eq!(saved_at(&mut pool, "i-0", 500), 0);
}

#[test]
fn memory_of_an_upstream_is_bounded() {
    let mut pool = engines(1, u32::MAX);

    for other in 0..1000 {
        serve(
            &mut pool,
            start(),
            "i-0",
            &needs_with_part(start(), other, 500),
        );
    }

    assert_eq!(pool.get_mut("i-0").unwrap().prefixes.len(), 128);
}

/// Present deployments state nothing and must keep their choices.
#[test]
fn without_a_statement_nothing_is_remembered() {
    let mut pool = engines(6, 0);
    let needs = needs_with_part(start(), PART, 4000);
    pool.set_owners(&UpstreamOwners::new(&[], &[]), "e");

    let guess = pool.record_send(start(), "i-0", &needs);

    assert_eq!(guess, None);
    assert_eq!(pool.iter().map(|u| u.own.prefill_tokens).sum::<u64>(), 4300);
    assert!(pool.iter().all(|u| u.prefixes.is_empty()));
}

#[test]
fn parts_count_only_behind_the_same_beginning() {
    let part = |id, tokens| PromptPart { id, tokens };
    let ids = |parts: &[PromptPart]| {
        let prefix = PromptPrefix::new(Some("m"), parts);
        prefix.parts().iter().map(|p| p.id).collect::<Vec<_>>()
    };

    let (a, b) = (
        ids(&[part(1, 5), part(3, 5)]),
        ids(&[part(2, 5), part(3, 5)]),
    );
    let unknown = ids(&[part(1, 5), part(2, 0), part(3, 5)]);
    let many = ids(&vec![part(1, 5); 1000]);

    assert!(a[0] != b[0] && a[1] != b[1]);
    assert_eq!((unknown.len(), many.len()), (1, 8));
}
