//! Quarantine of requests that crash upstreams, and the retry budget.

use std::time::Duration;

use requests::{Quarantine, RetryBudget, Suspicion};

fn secs(s: u64) -> Duration {
    Duration::from_secs(s)
}

#[test]
fn a_request_is_quarantined_after_two_crashes() {
    let mut quarantine = Quarantine::default();
    assert_eq!(quarantine.check(secs(0), 1), Suspicion::Clear);

    quarantine.record_crash(secs(0), 1);
    assert_eq!(quarantine.check(secs(1), 1), Suspicion::Suspect);

    quarantine.record_crash(secs(2), 1);
    assert_eq!(
        quarantine.check(secs(2), 1),
        Suspicion::Quarantined {
            remaining: secs(600)
        }
    );
}

#[test]
fn suspicion_ends_with_time_or_a_completed_request() {
    let mut quarantine = Quarantine::default();
    quarantine.record_crash(secs(0), 1);
    quarantine.record_crash(secs(0), 2);

    quarantine.forget(2);

    assert_eq!(quarantine.check(secs(601), 1), Suspicion::Clear);
    assert_eq!(quarantine.check(secs(1), 2), Suspicion::Clear);
}

#[test]
fn a_full_quarantine_keeps_the_latest_crash() {
    let mut quarantine = Quarantine::default();

    for fingerprint in 0..10_000 {
        quarantine.record_crash(secs(fingerprint), fingerprint);
    }

    assert_eq!(quarantine.check(secs(10_000), 9_999), Suspicion::Suspect);
}

#[test]
fn retries_are_a_share_of_first_attempts() {
    let mut budget = RetryBudget::default();
    while budget.try_withdraw() {}

    for _ in 0..100 {
        budget.deposit();
    }

    let retries = (0..).take_while(|_| budget.try_withdraw()).count();
    assert_eq!(retries, 20);
}
