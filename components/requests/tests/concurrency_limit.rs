//! The concurrency limit of an upstream.

use std::time::Duration;

use requests::{Admit, ConcurrencyLimit, LimitRange, RunEnd};
use testkit::check_seeds;

const RANGE: LimitRange = LimitRange { cold: 4, warm: 16 };

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn fill(limit: &mut ConcurrencyLimit) -> usize {
    (0..).take_while(|_| limit.begin() == Admit::Run).count()
}

fn warm() -> ConcurrencyLimit {
    let mut limit = ConcurrencyLimit::new(RANGE);
    while limit.current() < RANGE.warm {
        fill(&mut limit);
        while limit.in_flight() > 0 {
            limit.end(RunEnd::Completed(ms(100)));
        }
    }
    limit
}

#[test]
fn a_new_upstream_starts_at_its_cold_limit() {
    let mut limit = ConcurrencyLimit::new(RANGE);

    assert_eq!(fill(&mut limit), 4);
    assert_eq!(limit.begin(), Admit::Full);
}

#[test]
fn completed_work_raises_the_limit_to_warm_and_no_further() {
    let mut limit = warm();

    assert_eq!(fill(&mut limit), 16);
}

#[test]
fn idle_completions_do_not_raise_the_limit() {
    let mut limit = ConcurrencyLimit::new(RANGE);

    for _ in 0..100 {
        limit.begin();
        limit.end(RunEnd::Completed(ms(100)));
    }

    assert_eq!(limit.current(), 4);
}

#[test]
fn a_restart_or_a_failure_returns_to_cold() {
    let mut limit = warm();
    limit.reset();
    assert_eq!(limit.current(), 4);

    let mut limit = warm();
    limit.begin();
    limit.end(RunEnd::Failed);
    assert_eq!(limit.current(), 4);
}

#[test]
fn requests_in_flight_stay_counted_over_a_reset() {
    let mut limit = warm();
    fill(&mut limit);

    limit.reset();

    assert_eq!(limit.in_flight(), 16);
    assert_eq!(limit.begin(), Admit::Full);
}

#[test]
fn a_sudden_rise_of_service_time_returns_to_cold() {
    let mut limit = warm();
    fill(&mut limit);

    for _ in 0..3 {
        limit.end(RunEnd::Completed(ms(1000)));
    }

    assert_eq!(limit.current(), 4);
}

#[test]
fn one_slow_request_keeps_the_limit() {
    let mut limit = warm();
    fill(&mut limit);

    limit.end(RunEnd::Completed(ms(1000)));
    limit.end(RunEnd::Completed(ms(100)));

    assert_eq!(limit.current(), 16);
}

/// The capacity of an upstream is its cold limit, plus one for each request completed
/// since it was cold. No request is admitted beyond it, provided the limit is reset
/// before the first request after a restart.
#[test]
fn requests_in_flight_never_exceed_the_capacity() {
    check_seeds(2000, |u| {
        let mut limit = ConcurrencyLimit::new(RANGE);
        let mut capacity = RANGE.cold;
        for _ in 0..u.int_in_range(1..=200)? {
            match u.int_in_range(0..=9)? {
                0..=4 => {
                    let over = limit.in_flight() >= capacity;
                    let admitted = limit.begin() == Admit::Run;
                    assert!(!(admitted && over), "over {capacity}");
                }
                5..=7 if limit.in_flight() > 0 => {
                    let took = ms(u.int_in_range(1..=500)?);
                    limit.end(RunEnd::Completed(took));
                    capacity = (capacity + 1).min(RANGE.warm);
                }
                8 if limit.in_flight() > 0 => limit.end(RunEnd::Cancelled),
                9 if u.ratio(1, 4)? => {
                    capacity = RANGE.cold;
                    limit.reset();
                }
                _ => {}
            }
            assert!(limit.current() <= RANGE.warm && limit.current() >= RANGE.cold);
        }
        Ok(())
    });
}
