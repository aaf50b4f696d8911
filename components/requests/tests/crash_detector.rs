//! Crashes of an upstream, told from other breaks.

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
fn a_break_alone_is_no_crash() {
    let mut detector = CrashDetector::default();

    detector.record_failure(OLD, [1, 2].into_iter());

    assert_eq!(detector.record_probe(up(OLD)), None);
}

#[test]
fn a_break_with_a_new_incarnation_or_silence_is_a_crash() {
    for probe in [up(NEW), down()] {
        let mut detector = CrashDetector::default();

        detector.record_failure(OLD, [1, 2].into_iter());

        assert_eq!(detector.record_probe(probe), Some(vec![1, 2]));
    }
}

/// Failed before: each request that a crash broke counted as a crash of its
/// own, so that one crash put every request beside it under quarantine.
#[test]
fn one_crash_counts_once_however_many_requests_it_breaks() {
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
fn a_service_without_incarnations_crashes_by_silence() {
    let mut detector = CrashDetector::default();
    detector.record_failure(None, [1].into_iter());
    assert_eq!(detector.record_probe(up(None)), None);

    detector.record_failure(None, [1].into_iter());
    let silent = Probe {
        reachable: false,
        incarnation: None,
    };
    assert_eq!(detector.record_probe(silent), Some(vec![1]));
}
