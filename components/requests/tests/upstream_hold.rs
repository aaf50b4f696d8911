//! Announcements of an upstream hold for one of its starts.

use std::time::Duration;

use requests::{Hold, Notice, UpstreamHold};

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn pause(wait: Duration) -> Notice {
    Notice {
        leaving: false,
        retry_after: Some(wait),
    }
}

const LEAVING: Notice = Notice {
    leaving: true,
    retry_after: None,
};

#[test]
fn pause_lasts_until_the_latest_end() {
    let mut hold = UpstreamHold::default();

    hold.record(ms(100), 0, pause(ms(2000)));
    hold.record(ms(200), 0, pause(ms(500)));
    hold.record(ms(300), 0, Notice::default());

    let remaining = ms(100);
    assert_eq!(hold.check(ms(2000)), Some(Hold::Paused { remaining }));
    assert_eq!(hold.check(ms(2100)), None);
}

#[test]
fn leaving_lasts_until_a_new_start() {
    let mut hold = UpstreamHold::default();

    hold.record(ms(0), 0, LEAVING);
    hold.record(ms(1), 0, pause(Duration::MAX));
    hold.record(ms(2), 0, Notice::default());

    assert_eq!(hold.check(ms(1_000_000)), Some(Hold::Leaving));
    hold.restart();
    assert_eq!(hold.check(ms(3)), None);
}

/// A late response of the last start must not close the new one.
#[test]
fn response_of_an_earlier_start_holds_the_new_one() {
    let mut hold = UpstreamHold::default();
    let sent_during = hold.start();

    hold.restart();
    hold.record(ms(5), sent_during, LEAVING);
    hold.record(ms(5), sent_during, pause(ms(1000)));

    assert_eq!(hold.check(ms(6)), None);
}

#[test]
fn zero_wait_is_no_pause() {
    let mut hold = UpstreamHold::default();

    hold.record(ms(0), 0, pause(Duration::ZERO));

    assert_eq!(hold.check(ms(0)), None);
}
