//! What the production decisions are worth under the loads that they answer. Each
//! load is replayed with the decision and with a policy that lacks it.

use emulator::{Emulation, FleetSize, Pattern, PolicyName, Report};

/// A site of the milestone.
const SCALE: FleetSize = FleetSize {
    entries: 3,
    engines: 14,
    domains: 3,
};

/// Seeds over which shares of small groups are taken.
const SEEDS: u64 = 6;

fn run(pattern: Pattern, policy: PolicyName) -> Report {
    Emulation::new(SCALE, pattern, policy, 7).run(|_| {})
}

/// Mean of a figure over some seeds.
fn mean(pattern: Pattern, figure: impl Fn(&Report) -> f64) -> f64 {
    let seeds = 1..=SEEDS;
    let runs = seeds.map(|s| Emulation::new(SCALE, pattern, PolicyName::Production, s).run(|_| {}));
    runs.map(|r| figure(&r)).sum::<f64>() / SEEDS as f64
}

fn beats(pattern: Pattern, others: &[PolicyName]) {
    let ours = run(pattern, PolicyName::Production);
    for other in others {
        let other = run(pattern, *other);
        assert!(ours.worth > other.worth, "{ours:?}\n{other:?}");
    }
}

#[test]
fn a_calm_load_is_served_on_time() {
    let report = run(Pattern::Steady, PolicyName::Production);

    assert!(report.on_time > 0.98, "{report:?}");
}

/// Waiting without an end, and waiting without regard to objectives, make
/// everybody late when more arrive than can begin.
#[test]
fn a_step_is_answered_by_refusing_early() {
    beats(
        Pattern::Step,
        &[PolicyName::NoObjectives, PolicyName::FirstCome],
    );
}

#[test]
fn a_backlog_at_once_does_not_make_those_after_it_late() {
    beats(
        Pattern::Backlog,
        &[PolicyName::NoObjectives, PolicyName::FirstCome],
    );
}

/// Engines that are closed in turn hold requests that were placed by count alone.
#[test]
fn a_switch_in_a_burst_is_planned_around() {
    beats(
        Pattern::Switch,
        &[PolicyName::RoundRobin, PolicyName::FirstCome],
    );
}

#[test]
fn lost_engines_are_made_up_for() {
    beats(
        Pattern::Lost,
        &[PolicyName::FirstCome, PolicyName::RoundRobin],
    );
}

#[test]
fn callers_that_come_back_at_once_do_not_feed_the_overload() {
    let patient = run(Pattern::Step, PolicyName::Production);

    let impatient = run(Pattern::Impatient, PolicyName::Production);

    assert!(
        impatient.on_time > patient.on_time * 0.95,
        "{patient:?}\n{impatient:?}"
    );
}

/// Goodput at an overload, and the peak over all loads.
fn against_peak(overload: Pattern) -> (f64, f64) {
    let loads = [
        Pattern::Steady,
        Pattern::Step,
        Pattern::Double,
        Pattern::Fivefold,
    ];
    let goodput = |p| mean(p, |r| r.goodput);
    let peak = loads.into_iter().map(goodput).fold(0.0, f64::max);
    (goodput(overload), peak)
}

/// The target of the issue: at least 0.95 of the peak.
#[test]
fn goodput_stays_at_twice_the_capacity() {
    let (goodput, peak) = against_peak(Pattern::Double);

    assert!(goodput >= peak * 0.95, "{goodput} {peak}");
}

/// The same.
#[test]
fn goodput_stays_at_five_times_the_capacity() {
    let (goodput, peak) = against_peak(Pattern::Fivefold);

    assert!(goodput >= peak * 0.95, "{goodput} {peak}");
}

/// The target of the issue: each kind and the smallest account within 0.8 of the
/// mean share.
#[test]
fn kinds_and_accounts_share_an_overload() {
    let kind = mean(Pattern::Double, |r| r.worst_kind);
    let account = mean(Pattern::Double, |r| r.small_account);

    assert!(kind >= 0.8, "{kind}");
    assert!(account >= 0.8, "{account}");
}

/// The target of the issue for the largest tenth of each kind.
#[test]
fn large_requests_share_an_overload() {
    let largest = [0, 1, 2].map(|k| mean(Pattern::Double, |r| r.largest[k]));

    assert!(largest.iter().all(|share| *share >= 0.8), "{largest:?}");
}

#[test]
fn a_run_repeats() {
    let first = run(Pattern::Step, PolicyName::Production);

    let second = run(Pattern::Step, PolicyName::Production);

    assert_eq!(first.requests, second.requests);
    assert!((first.worth - second.worth).abs() < 1e-12);
}
