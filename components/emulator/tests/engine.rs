//! One engine by itself.

use std::time::Duration;

use emulator::{Engine, EngineEvent, engine_spec};

fn run(engine: &mut Engine, from: Duration) -> (Duration, Vec<EngineEvent>) {
    let end = engine.start_pass(from).expect("work");
    (end, engine.finish_pass())
}

#[test]
fn a_lone_prompt_is_read_at_the_published_rate() {
    let mut engine = Engine::new(engine_spec(), 24);
    engine.enqueue(1, 2070, 5);

    let (first, events) = run(&mut engine, Duration::ZERO);
    let (second, more) = run(&mut engine, first);

    // 2,048 of the tokens fit into one piece.
    assert!(events.is_empty());
    assert_eq!(more, [EngineEvent::FirstToken(1)]);
    assert_eq!(second.as_millis(), 100);
}

#[test]
fn a_full_engine_refuses() {
    let mut engine = Engine::new(engine_spec(), 1);

    let taken: Vec<bool> = (0..3).map(|id| engine.enqueue(id, 100, 5)).collect();

    assert_eq!(taken, [true, false, false]);
}

#[test]
fn the_newest_gives_way_when_memory_is_short() {
    let mut spec = engine_spec();
    spec.kv_capacity = 205;
    let mut engine = Engine::new(spec, 24);
    engine.enqueue(1, 100, 50);
    engine.enqueue(2, 100, 50);
    let mut now = Duration::ZERO;
    let mut done = Vec::new();

    while !engine.is_idle() {
        let (end, events) = run(&mut engine, now);
        now = end;
        done.extend(
            events
                .into_iter()
                .filter(|e| matches!(e, EngineEvent::Completed(_))),
        );
    }

    assert_eq!(done, [EngineEvent::Completed(1), EngineEvent::Completed(2)]);
    assert!(engine.preempted > 0);
}

/// The load of the experiments is given as a share of this.
#[test]
fn an_engine_bears_about_ten_usual_requests_a_second() {
    let mut engine = Engine::new(engine_spec(), 24);
    let (mut now, mut id, mut done) = (Duration::ZERO, 0, 0);

    while now < Duration::from_secs(60) {
        while engine.enqueue(id, 979, 94) {
            id += 1;
        }
        let (end, events) = run(&mut engine, now);
        now = end;
        done += events
            .iter()
            .filter(|e| matches!(e, EngineEvent::Completed(_)))
            .count();
    }

    let rate = done as f64 / now.as_secs_f64();
    assert!((8.5..11.5).contains(&rate), "{rate}");
}
