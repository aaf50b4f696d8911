//! Tests of a single engine.

use std::time::Duration;

use dispatch::PromptPrefix;
use domain::{EngineSpec, Pace, PromptPart};
use emulator::{Engine, EngineEvent, engine_spec};

fn run(engine: &mut Engine, from: Duration) -> (Duration, Vec<EngineEvent>) {
    let end = engine.start_pass(from).expect("the engine has requests");
    (end, engine.finish_pass())
}

#[test]
fn single_prompt_is_prefilled_at_the_published_rate() {
    let mut engine = Engine::new(engine_spec(), 24);
    engine.enqueue(1, 2070, 5);

    let (first_end, events) = run(&mut engine, Duration::ZERO);
    let (second_end, later_events) = run(&mut engine, first_end);

    // The first chunk has 2,048 of the tokens.
    assert!(events.is_empty());
    assert_eq!(later_events, [EngineEvent::FirstToken(1)]);
    assert_eq!(second_end.as_millis(), 100);
}

#[test]
fn pass_takes_longer_at_a_slow_pace() {
    let mut engine = Engine::new(engine_spec(), 24);
    engine.enqueue(1, 2070, 5);
    engine.pace = Pace::try_from(250_u16).unwrap();

    let (first_end, _) = run(&mut engine, Duration::ZERO);
    let (second_end, _) = run(&mut engine, first_end);

    assert_eq!(second_end.as_millis(), 250);
}

#[test]
fn full_engine_refuses_requests() {
    let mut engine = Engine::new(engine_spec(), 1);

    let accepted: Vec<bool> = (0..3).map(|id| engine.enqueue(id, 100, 5)).collect();

    assert_eq!(accepted, [true, false, false]);
}

/// Tokens that an engine retaining `cache` tokens reuses for the last of three prompts, which
/// shares a part of 1,000 tokens with the first.
fn reused(cache: u32) -> u64 {
    let mut engine = Engine::new(
        EngineSpec {
            prompt_cache: cache,
            ..engine_spec()
        },
        24,
    );
    let mut now = Duration::ZERO;
    for (id, shared) in [(1, 7), (2, 8), (3, 7)] {
        let part = |id, tokens| PromptPart { id, tokens };
        let prefix = PromptPrefix::new(None, &[part(shared, 1000), part(100 + id, 50)]);
        engine.enqueue_prompt(id, 1050, 1, prefix);
        now = run(&mut engine, now).0;
    }
    engine.prompt_tokens.1
}

/// An engine that never evicts would show savings that no engine has.
#[test]
fn retained_prompts_are_reused_until_evicted() {
    assert_eq!([0, 1500, 5000].map(reused), [0, 0, 1000]);
}

#[test]
fn newest_request_is_preempted_when_kv_cache_is_full() {
    let mut spec = engine_spec();
    spec.kv_capacity = 205;
    let mut engine = Engine::new(spec, 24);
    engine.enqueue(1, 100, 50);
    engine.enqueue(2, 100, 50);
    let mut now = Duration::ZERO;
    let mut completed = Vec::new();

    while !engine.is_idle() {
        let (end, events) = run(&mut engine, now);
        now = end;
        completed.extend(
            events
                .into_iter()
                .filter(|e| matches!(e, EngineEvent::Completed(_))),
        );
    }

    assert_eq!(
        completed,
        [EngineEvent::Completed(1), EngineEvent::Completed(2)]
    );
    assert!(engine.preempted > 0);
}

/// Load patterns are defined relative to this capacity.
#[test]
fn engine_serves_about_ten_mean_requests_per_second() {
    let mut engine = Engine::new(engine_spec(), 24);
    let (mut now, mut id, mut completed) = (Duration::ZERO, 0, 0);

    while now < Duration::from_secs(60) {
        while engine.enqueue(id, 979, 94) {
            id += 1;
        }
        let (end, events) = run(&mut engine, now);
        now = end;
        completed += events
            .iter()
            .filter(|e| matches!(e, EngineEvent::Completed(_)))
            .count();
    }

    let rate = completed as f64 / now.as_secs_f64();
    assert!((8.5..11.5).contains(&rate), "{rate}");
}
