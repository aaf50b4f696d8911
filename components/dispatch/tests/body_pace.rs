//! When a body that is received too slowly is given up.

use std::time::Duration;

use dispatch::{BodyPace, LeastPace};

const LEAST: LeastPace = LeastPace {
    pause: Duration::from_secs(3),
    rate: 1000,
};

fn at(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// A body that stopped short of its end held its memory until the deadline of its request.
#[test]
fn body_that_stops_is_given_up_after_the_pause() {
    let mut pace = BodyPace::new(LEAST, at(500));
    let before = pace.next_by();

    pace.receive(1_000_000, at(700));

    assert_eq!((before, pace.next_by()), (at(3500), at(3700)));
}

/// Single bytes, each within the pause, kept a body alive.
#[test]
fn body_of_single_bytes_is_given_up() {
    let mut pace = BodyPace::new(LEAST, at(0));

    pace.receive(1, at(2900));

    assert_eq!(pace.next_by(), at(3001));
}

/// A steady sender above the rate is slow, and no reason to refuse it.
#[test]
fn steady_body_above_the_rate_goes_on() {
    let mut pace = BodyPace::new(LEAST, at(0));

    for second in 1..60 {
        let now = at(second * 1000);
        assert!(now < pace.next_by(), "second {second}");
        pace.receive(1100, now);
    }
}
