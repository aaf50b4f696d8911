//! Which version an engine loads, and when.

mod fixture;

use dispatch::{SwitchPlan, SwitchStep, VersionCandidate};
use fixture::{ms, secs, start};

fn plan(position: f64) -> SwitchPlan {
    SwitchPlan {
        bound: secs(8),
        position,
    }
}

fn candidate(version: u64, declared_s: u64, fraction: f64) -> VersionCandidate {
    VersionCandidate {
        version,
        declared_at: start() + secs(declared_s),
        fraction,
        complete_since: (fraction >= 1.0).then(start),
    }
}

#[test]
fn engine_without_weights_loads_as_soon_as_pieces_are_complete() {
    let candidates = [candidate(1, 0, 1.0)];

    let step = plan(0.9).next(start() + ms(100), None, &candidates);

    assert_eq!(step, SwitchStep::Load(1));
}

#[test]
fn engines_switch_in_order_within_the_bound() {
    let candidates = [candidate(2, 0, 1.0)];
    let ordered = |position| {
        (0..8000)
            .map(|t| start() + ms(t))
            .find(|t| plan(position).next(*t, Some(1), &candidates) == SwitchStep::Load(2))
            .map(|t| t - start())
    };

    let (first, middle, last) = (ordered(0.0), ordered(0.5), ordered(0.999));

    assert!(first < middle && middle < last);
    assert!(last < Some(ms(7000)), "{last:?}");
}

#[test]
fn switch_is_announced_in_advance() {
    let mut late = candidate(2, 0, 1.0);
    late.complete_since = Some(start() + ms(4000));

    let step = plan(0.0).next(start() + ms(4100), Some(1), &[late]);

    assert_eq!(step, SwitchStep::Prepare(2, start() + ms(4900)));
}

#[test]
fn incomplete_version_is_not_loaded() {
    let candidates = [candidate(2, 0, 0.99)];

    let step = plan(0.0).next(start() + secs(7), Some(1), &candidates);

    assert_eq!(step, SwitchStep::Wait);
}

/// Two versions are declared within four seconds.
#[test]
fn version_is_skipped_when_the_next_arrives_in_time() {
    let candidates = [candidate(2, 0, 1.0), candidate(3, 4, 0.6)];

    let step = plan(0.9).next(start() + ms(6600), Some(1), &candidates);

    assert_eq!(step, SwitchStep::Wait);
}

/// The origin goes down between two versions.
#[test]
fn version_is_not_skipped_for_one_that_does_not_arrive() {
    let candidates = [candidate(2, 0, 1.0), candidate(3, 2, 0.05)];

    let step = plan(0.9).next(start() + ms(6600), Some(1), &candidates);

    assert_eq!(step, SwitchStep::Load(2));
}

#[test]
fn engine_that_skipped_a_version_switches_at_once() {
    let candidates = [candidate(2, 0, 0.5), candidate(3, 4, 1.0)];

    let step = plan(0.9).next(start() + ms(6800), Some(1), &candidates);

    assert_eq!(step, SwitchStep::Load(3));
}

#[test]
fn engine_does_not_load_an_older_version() {
    let candidates = [candidate(2, 0, 1.0)];

    let step = plan(0.0).next(start() + secs(7), Some(3), &candidates);

    assert_eq!(step, SwitchStep::Wait);
}
