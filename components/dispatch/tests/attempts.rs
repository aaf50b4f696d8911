//! Attempts at one request, several at the same time.

use dispatch::{AttemptEnd, Attempts};

#[test]
fn attempts_in_flight_count_as_runs() {
    let mut attempts = Attempts::new(2);

    attempts.start("a".into());
    let beside_one = attempts.allows_another();
    attempts.start("b".into());

    assert!(beside_one && attempts.may_have_run());
    assert!(!attempts.allows_another());
}

#[test]
fn refused_attempt_leaves_room_for_another_elsewhere() {
    let mut attempts = Attempts::new(2);
    attempts.start("a".into());
    attempts.start("b".into());

    attempts.did_not_run(&"b".into(), AttemptEnd::Refused);

    assert!(attempts.allows_another() && attempts.may_have_run());
    assert_eq!(attempts.excluded(), ["a", "b"]);
}

#[test]
fn refusals_are_forgotten_and_runs_are_not() {
    let mut attempts = Attempts::new(2);
    attempts.start("a".into());
    attempts.start("b".into());
    attempts.did_not_run(&"b".into(), AttemptEnd::Refused);

    attempts.forget_refusals();

    assert_eq!(attempts.excluded(), ["a"]);
}

#[test]
fn request_that_no_upstream_ran_did_not_run() {
    let mut attempts = Attempts::new(2);
    attempts.start("a".into());
    attempts.did_not_run(&"a".into(), AttemptEnd::Refused);

    let refused = attempts.clone();
    attempts.start("b".into());
    attempts.did_not_run(&"b".into(), AttemptEnd::Unsent);

    assert!(!refused.may_have_run() && !attempts.may_have_run());
    assert!(refused.is_retry() && attempts.is_retry());
}

#[test]
fn unsent_attempt_is_no_retry() {
    let mut attempts = Attempts::new(2);

    attempts.start("a".into());
    attempts.did_not_run(&"a".into(), AttemptEnd::Unsent);

    assert!(!attempts.is_retry());
}

#[test]
fn refusals_are_limited_until_the_response_goes_on() {
    let mut attempts = Attempts::new(2);
    let mut refused = 0;
    while attempts.allows_another() {
        attempts.start("a".into());
        attempts.did_not_run(&"a".into(), AttemptEnd::Refused);
        refused += 1;
    }

    attempts.record_progress();

    assert_eq!(refused, 4);
    assert!(attempts.allows_another());
}
