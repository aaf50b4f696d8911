//! Whom processes ask for the digests of a version.

use std::time::Duration;

use dispatch::{DigestRound, DigestSearch};

/// Time that the origin takes to send a list.
const READ_MS: u64 = 30;
/// Time from an announcement until other processes have handled it.
const NOTICE_MS: u64 = 70;

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

/// A process that searches for digests, in virtual time.
struct Searcher {
    search: DigestSearch,
    next_at: u64,
    votes: usize,
    /// When two lists agreed.
    agreed_at: Option<u64>,
}

/// Milliseconds from the return of an origin, which was down for 6 s, until the last of `count`
/// processes has digests; `shift` sets the lengths of their pauses.
fn agreed_after(count: usize, shift: f64) -> u64 {
    const BACK: u64 = 6000;
    let searcher = |_| Searcher {
        search: DigestSearch::default(),
        next_at: 0,
        votes: 0,
        agreed_at: None,
    };
    let mut all: Vec<Searcher> = (0..count).map(searcher).collect();
    let mut draw = shift;
    for t in 0..BACK + 10_000 {
        let notified = all.iter().filter_map(|s| s.agreed_at);
        let announced = notified.clone().filter(|at| at + NOTICE_MS <= t).count();
        let is_first = announced > 0 && notified.min() == Some(t - NOTICE_MS);
        for (rank, s) in all.iter_mut().enumerate() {
            // The first announcement ends a pause.
            if s.agreed_at.is_some() || t < s.next_at && !is_first {
                continue;
            }
            let round = s.search.next(rank, count, announced);
            let from_origin = round.from_origin && t >= BACK;
            let reads = if from_origin {
                round.origin_reads.min(2 - s.votes)
            } else {
                0
            };
            let took = READ_MS * u64::try_from(reads).unwrap();
            s.votes += reads + round.peers.min(announced);
            draw = (draw + 0.618_034).fract();
            let pause = round.pause.mul_f64(0.7 + 0.6 * draw).as_millis();
            s.next_at = t + took + u64::try_from(pause).unwrap();
            s.agreed_at = (s.votes >= 2).then_some(t + took);
        }
        if all.iter().all(|s| s.agreed_at.is_some_and(|at| at <= t)) {
            return t - BACK;
        }
    }
    panic!("no digests after 10 s");
}

/// Measured release: the digests of a version that was declared shortly before the origin was
/// unavailable were agreed on 1.7 s after its return. A process that had read one list paused
/// before it read the second.
#[test]
fn digests_are_agreed_on_soon_after_the_origin_returns() {
    for count in [15, 52, 288, 1490] {
        let took: Vec<u64> = (0..8)
            .map(|i| agreed_after(count, f64::from(i) / 8.0))
            .collect();

        let most = took.iter().max().unwrap();
        assert!(*most <= 600, "{count} processes: {took:?} ms");
        let mean = took.iter().sum::<u64>() / 8;
        assert!(mean <= 450, "{count} processes: {took:?} ms");
    }
}
