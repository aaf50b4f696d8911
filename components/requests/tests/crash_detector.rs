//! Crashes of an upstream as distinct from other failed exchanges.

use requests::{CrashDetector, Probe};

const OLD: Option<u64> = Some(1);
const NEW: Option<u64> = Some(2);

fn up(incarnation: Option<u64>) -> Probe {
    Probe {
        reachable: true,
        incarnation,
    }
}

fn down() -> Probe {
    Probe {
        reachable: false,
        incarnation: OLD,
    }
}

#[test]
fn a_failed_exchange_alone_is_no_crash() {
    let mut detector = CrashDetector::default();

    detector.record_failure(OLD, [1, 2].into_iter());

    assert_eq!(detector.record_probe(up(OLD)), None);
}

#[test]
fn a_failed_exchange_with_a_restart_or_no_reply_is_a_crash() {
    for probe in [up(NEW), down()] {
        let mut detector = CrashDetector::default();

        detector.record_failure(OLD, [1, 2].into_iter());

        assert_eq!(detector.record_probe(probe), Some(vec![1, 2]));
    }
}

/// If each failed request counted as a crash of its own, one crash would quarantine
/// all requests that were in flight.
#[test]
fn one_crash_counts_once_however_many_requests_fail() {
    let mut detector = CrashDetector::default();
    detector.record_failure(OLD, [1, 2, 3].into_iter());
    detector.record_failure(OLD, [2, 3].into_iter());
    assert_eq!(detector.record_probe(down()), Some(vec![1, 2, 3]));

    detector.record_failure(OLD, [3].into_iter());
    assert_eq!(detector.record_probe(down()), None);
    assert_eq!(detector.record_probe(up(NEW)), None);
}

#[test]
fn a_second_crash_counts_again() {
    let mut detector = CrashDetector::default();
    detector.record_failure(OLD, [1].into_iter());
    detector.record_probe(down());
    detector.record_probe(up(NEW));

    detector.record_failure(NEW, [1].into_iter());

    assert_eq!(detector.record_probe(down()), Some(vec![1]));
}

#[test]
fn an_upstream_without_incarnations_has_crashed_if_unreachable() {
    let mut detector = CrashDetector::default();
    detector.record_failure(None, [1].into_iter());
    assert_eq!(detector.record_probe(up(None)), None);

    detector.record_failure(None, [1].into_iter());
    let unreachable = Probe {
        reachable: false,
        incarnation: None,
    };
    assert_eq!(detector.record_probe(unreachable), Some(vec![1]));
}
