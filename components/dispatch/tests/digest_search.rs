//! Whom processes ask for the digests of a version.

use std::time::Duration;

use dispatch::{DigestRound, DigestSearch};

/// Rounds of each of `count` processes while nobody has the digests.
fn rounds(count: usize, rounds: usize) -> Vec<Vec<DigestRound>> {
    let process = |rank| {
        let mut search = DigestSearch::default();
        (0..rounds).map(|_| search.next(rank, count, 0)).collect()
    };
    (0..count).map(process).collect()
}

/// The origin was down for 6 s. All of 288 processes then asked it and four peers every
/// 150 ms: its link was full of digests for 4 s after its return, and 12 entries got 640
/// requests a second each meanwhile.
#[test]
fn processes_that_search_together_fill_the_link_of_the_origin() {
    for count in [15, 288, 1490] {
        let processes = rounds(count, 60);

        for round in 0..60 {
            let asking = processes.iter().filter(|p| p[round].from_origin);
            assert!(asking.count() <= 12, "{count} processes, round {round}");
        }
        let late = processes.iter().map(|p| p[59]);
        assert!(late.clone().all(|r| r.peers == 1));
        assert!(late.clone().all(|r| r.pause >= Duration::from_millis(600)));
    }
}

/// The six readers may be cut off from the origin.
#[test]
fn every_process_asks_the_origin_in_turn() {
    let processes = rounds(288, 6 + 48);

    assert!(processes.iter().all(|p| p.iter().any(|r| r.from_origin)));
    assert!(
        processes[6..]
            .iter()
            .all(|p| p[..6].iter().all(|r| !r.from_origin))
    );
    assert!(
        processes[..6]
            .iter()
            .all(|p| p.iter().all(|r| r.from_origin))
    );
}

#[test]
fn peers_that_have_the_digests_are_asked_at_short_intervals() {
    let mut search = DigestSearch::default();
    for _ in 0..30 {
        search.next(100, 288, 0);
    }

    let round = search.next(100, 288, 3);

    assert_eq!(round.peers, 4);
    assert!(round.pause < Duration::from_millis(200));
}
