//! Crashes of an upstream, told from other breaks.

use requests::{CrashDetector, Look};

const OLD: Option<u64> = Some(1);
const NEW: Option<u64> = Some(2);

fn up(incarnation: Option<u64>) -> Look {
    Look {
        reachable: true,
        incarnation,
    }
}

fn down() -> Look {
    Look {
        reachable: false,
        incarnation: OLD,
    }
}

#[test]
fn a_break_alone_is_no_crash() {
    let mut detector = CrashDetector::default();

    detector.broke(OLD, [1, 2].into_iter());

    assert_eq!(detector.look(up(OLD)), None);
}

#[test]
fn a_break_with_a_new_incarnation_or_silence_is_a_crash() {
    for look in [up(NEW), down()] {
        let mut detector = CrashDetector::default();

        detector.broke(OLD, [1, 2].into_iter());

        assert_eq!(detector.look(look), Some(vec![1, 2]));
    }
}

/// Failed before: each request that a crash broke counted as a crash of its
/// own, so that one crash put every request beside it under quarantine.
#[test]
fn one_crash_counts_once_however_many_requests_it_breaks() {
    let mut detector = CrashDetector::default();
    detector.broke(OLD, [1, 2, 3].into_iter());
    detector.broke(OLD, [2, 3].into_iter());
    assert_eq!(detector.look(down()), Some(vec![1, 2, 3]));

    detector.broke(OLD, [3].into_iter());
    assert_eq!(detector.look(down()), None);
    assert_eq!(detector.look(up(NEW)), None);
}

#[test]
fn a_second_crash_counts_again() {
    let mut detector = CrashDetector::default();
    detector.broke(OLD, [1].into_iter());
    detector.look(down());
    detector.look(up(NEW));

    detector.broke(NEW, [1].into_iter());

    assert_eq!(detector.look(down()), Some(vec![1]));
}

#[test]
fn a_service_without_incarnations_crashes_by_silence() {
    let mut detector = CrashDetector::default();
    detector.broke(None, [1].into_iter());
    assert_eq!(detector.look(up(None)), None);

    detector.broke(None, [1].into_iter());
    let silent = Look {
        reachable: false,
        incarnation: None,
    };
    assert_eq!(detector.look(silent), Some(vec![1]));
}
