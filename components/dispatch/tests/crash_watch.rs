//! Requests, and parts of prompts, that crash upstreams.

mod fixture;

use std::collections::VecDeque;
use std::time::Duration;

use dispatch::{CrashWatch, EvidenceReport, ExchangeEnd, Feature, NextCheck, Verdict};
use domain::Moment;
use fixture::{ms, secs, start};

/// Part that belongs to all requests.
const POPULAR: Feature = Feature::Part(9);
/// Part on which upstreams crash.
const CRASHING: Feature = Feature::Part(2);
const LATENCY: Duration = Duration::from_millis(50);

fn request(number: u64) -> Feature {
    Feature::Request(number)
}

/// A request that is sent at `sent` breaks off when its upstream crashes soon after.
fn crash(watch: &mut CrashWatch, sent: Moment, upstream: u64, features: &[Feature]) {
    let at = sent + LATENCY;
    watch.record_end(at, upstream, ExchangeEnd::Broken, sent, features.to_vec());
    watch.record_start_ended(upstream);
}

/// The same request crashes `count` upstreams one after another.
fn crashes(watch: &mut CrashWatch, count: u64, features: impl Fn(u64) -> Vec<Feature>) {
    for i in 0..count {
        crash(watch, start() + ms(100 * i), i, &features(i));
    }
}

fn verdict(watch: &mut CrashWatch, feature: Feature) -> Verdict {
    watch.check(start() + secs(2), &[feature])
}

#[test]
fn lost_responses_alone_charge_no_request() {
    let mut watch = CrashWatch::default();

    for i in 0..20 {
        let at = start() + secs(i);
        watch.record_end(at, 1, ExchangeEnd::Broken, at, vec![request(7), CRASHING]);
        watch.record_connection_accepted(at + ms(1), 1);
    }

    let now = start() + secs(20);
    assert_eq!(watch.check(now, &[request(7), CRASHING]), Verdict::Run);
}

#[test]
fn request_that_crashes_two_upstreams_is_refused() {
    let mut watch = CrashWatch::default();

    crashes(&mut watch, 2, |_| vec![request(7)]);

    assert_eq!(verdict(&mut watch, request(7)), Verdict::Refuse);
    assert_eq!(verdict(&mut watch, request(8)), Verdict::Run);
}

/// Two crashes at the same moment may have a common cause; a third in sequence does not.
#[test]
fn request_that_crashes_upstreams_at_once_is_refused_after_the_next() {
    let mut watch = CrashWatch::default();
    for upstream in [1, 2] {
        crash(&mut watch, start(), upstream, &[request(7)]);
    }

    crash(&mut watch, start() + ms(100), 3, &[request(7)]);

    assert_eq!(verdict(&mut watch, request(7)), Verdict::Refuse);
}

#[test]
fn requests_in_a_single_crash_are_not_refused() {
    let mut watch = CrashWatch::default();
    for number in [7, 8] {
        let end = ExchangeEnd::Broken;
        watch.record_end(start(), 1, end, start(), vec![request(number)]);
    }
    watch.record_start_ended(1);

    assert_eq!(verdict(&mut watch, request(7)), Verdict::Run);
    assert_eq!(verdict(&mut watch, request(8)), Verdict::Run);
}

/// Identical lookups were in flight at upstreams that crashed, and all such lookups
/// were refused from then on (seeds 3 and 23 of the soak).
#[test]
fn completed_request_is_not_charged_with_crashes_of_other_upstreams() {
    let mut watch = CrashWatch::default();
    watch.record_response(start(), 30, &[request(7)]);

    crashes(&mut watch, 10, |_| vec![request(7)]);

    assert_eq!(verdict(&mut watch, request(7)), Verdict::Run);
}

#[test]
fn crash_that_breaks_many_exchanges_is_charged_once() {
    let mut watch = CrashWatch::default();

    for i in 0..10 {
        crash(
            &mut watch,
            start() + ms(i * 400),
            1,
            &[request(7), CRASHING],
        );
    }

    assert_eq!(verdict(&mut watch, request(7)), Verdict::Run);
    assert_eq!(verdict(&mut watch, CRASHING), Verdict::Run);
}

/// Requests without two crashes each were sent on and on, though all had one part of
/// their prompts in common.
#[test]
fn part_that_crashes_upstreams_in_different_requests_is_refused() {
    let mut watch = CrashWatch::default();

    crashes(&mut watch, 5, |i| vec![POPULAR, CRASHING, request(i)]);
    watch.record_response(start() + secs(1), 30, &[POPULAR, request(40)]);

    let next = [POPULAR, CRASHING, request(99)];
    assert_eq!(watch.check(start() + secs(2), &next), Verdict::Refuse);
    assert_eq!(verdict(&mut watch, POPULAR), Verdict::Run);
}

/// Requests that were in flight when upstreams crashed share parts of their prompts too.
#[test]
fn popular_part_is_not_blamed_for_being_in_most_crashed_requests() {
    let mut watch = CrashWatch::default();

    for i in 0..8 {
        watch.record_response(start() + ms(100 * i), 30, &[POPULAR]);
        let sent = start() + ms(100 * i);
        crash(&mut watch, sent, i, &[POPULAR, CRASHING, request(i)]);
    }

    assert_eq!(verdict(&mut watch, POPULAR), Verdict::Run);
    assert_eq!(verdict(&mut watch, CRASHING), Verdict::Refuse);
}

#[test]
fn upstreams_that_crash_at_once_blame_no_part() {
    let mut watch = CrashWatch::default();

    for upstream in 0..16 {
        crash(&mut watch, start(), upstream, &[POPULAR, request(upstream)]);
    }

    assert_eq!(verdict(&mut watch, POPULAR), Verdict::Run);
}

/// A part that is blamed along with the one that crashes upstreams is cleared when
/// requests without it crash upstreams as well.
#[test]
fn part_that_came_with_the_crashing_one_is_cleared() {
    let mut watch = CrashWatch::default();
    let other = Feature::Part(3);

    crashes(&mut watch, 3, |i| vec![other, CRASHING, request(i)]);
    let late = start() + secs(1);
    crash(&mut watch, late, 10, &[CRASHING, request(10)]);

    assert_eq!(verdict(&mut watch, CRASHING), Verdict::Refuse);
    assert_eq!(verdict(&mut watch, other), Verdict::Run);
}

#[test]
fn part_that_was_answered_before_is_refused_once_it_crashes_upstreams() {
    let mut watch = CrashWatch::default();
    watch.record_response(start(), 30, &[CRASHING]);

    crashes(&mut watch, 4, |i| vec![CRASHING, request(i)]);

    assert_eq!(verdict(&mut watch, CRASHING), Verdict::Refuse);
}

#[test]
fn answered_request_clears_a_part() {
    let mut watch = CrashWatch::default();
    crashes(&mut watch, 4, |i| vec![CRASHING, request(i)]);

    watch.record_response(start() + secs(1), 30, &[CRASHING]);

    assert_eq!(verdict(&mut watch, CRASHING), Verdict::Run);
}

/// A response without a length ends with its connection, also when its upstream crashes.
#[test]
fn end_of_a_response_without_length_in_a_crash_clears_nothing() {
    let mut watch = CrashWatch::default();
    let end = ExchangeEnd::Undelimited;

    for i in 0..4 {
        let sent = start() + ms(100 * i);
        let next = watch.record_end(sent + LATENCY, i, end, sent, vec![CRASHING]);
        assert_eq!(next, NextCheck::Connect);
        watch.record_start_ended(i);
    }
    let sent = start() + secs(1);
    watch.record_end(sent + LATENCY, 30, end, sent, vec![POPULAR]);
    watch.record_connection_accepted(sent + ms(51), 30);

    assert_eq!(verdict(&mut watch, CRASHING), Verdict::Refuse);
    let reported = watch.report(start() + secs(2)).completions;
    assert_eq!(reported, []);
}

#[test]
fn blame_ends_by_itself() {
    let mut watch = CrashWatch::default();
    crashes(&mut watch, 5, |i| vec![CRASHING, request(i)]);

    let during = watch.check(start() + secs(590), &[CRASHING]);
    let after = watch.check(start() + secs(601), &[CRASHING]);

    assert_eq!((during, after), (Verdict::Refuse, Verdict::Run));
}

/// Crashes that each entry saw once added up at none of them.
#[test]
fn crashes_seen_by_different_entries_add_up() {
    let mut watches: Vec<CrashWatch> = (0..5).map(|_| CrashWatch::default()).collect();
    for (i, watch) in (0..).zip(&mut watches) {
        let sent = start() + ms(100 * i);
        crash(watch, sent, i, &[POPULAR, CRASHING, request(i)]);
    }
    let now = start() + secs(1);
    watches[0].record_response(now, 30, &[POPULAR]);

    let reports: Vec<EvidenceReport> = watches.iter_mut().map(|w| w.report(now)).collect();
    for watch in &mut watches {
        for report in &reports {
            watch.merge(now + ms(2), report.clone());
            watch.merge(now + ms(62), report.clone());
        }
    }

    for watch in &mut watches {
        assert_eq!(verdict(watch, CRASHING), Verdict::Refuse);
        assert_eq!(verdict(watch, POPULAR), Verdict::Run);
        assert_eq!(verdict(watch, request(0)), Verdict::Run);
    }
}

/// The features of all requests in flight at many crashes did not fit into a datagram, and
/// none of them arrived.
#[test]
fn report_of_many_crashes_has_the_latest_and_is_short() {
    let mut watch = CrashWatch::default();
    for i in 0..40 {
        let features = (0..48).map(|f| request(100 * i + f)).collect();
        let end = ExchangeEnd::Broken;
        watch.record_end(start() + ms(i), i, end, start(), features);
        watch.record_start_ended(i);
    }

    let report = watch.report(start() + secs(1));

    let features = report.crashes.iter().map(|c| c.features.len());
    assert_eq!(report.crashes[0].id, 39);
    assert!(features.sum::<usize>() <= 400);
}

/// Each entry passed on what all others had seen in flight.
#[test]
fn entry_reports_only_its_own_requests_of_a_crash_without_cause() {
    let mut watches = [CrashWatch::default(), CrashWatch::default()];
    crash(&mut watches[0], start(), 1, &[CRASHING, request(1)]);
    crash(&mut watches[1], start(), 1, &[POPULAR]);
    watches[1].record_response(start() + ms(500), 30, &[CRASHING]);
    let now = start() + secs(1);
    let first = watches[0].report(now);

    watches[1].merge(now, first);
    let second = watches[1].report(now);

    assert_eq!(second.crashes[0].features, [(POPULAR, 50)]);
    assert_eq!(second.completions, [(CRASHING, 500)]);
}

/// An entry that started after the crashes learnt only of new ones.
#[test]
fn late_entry_learns_the_cause_from_any_other_and_passes_it_on() {
    let mut seen = CrashWatch::default();
    crashes(&mut seen, 9, |i| vec![POPULAR, CRASHING, request(i)]);
    seen.record_response(start() + secs(1), 30, &[POPULAR]);

    let mut later = CrashWatch::default();
    later.merge(start() + secs(100), seen.report(start() + secs(100)));
    let mut last = CrashWatch::default();
    last.merge(start() + secs(300), later.report(start() + secs(300)));

    assert_eq!(
        last.check(start() + secs(301), &[CRASHING]),
        Verdict::Refuse
    );
    assert_eq!(last.check(start() + secs(301), &[POPULAR]), Verdict::Run);
    let expired = last.check(start() + secs(602), &[CRASHING]);
    assert_eq!(expired, Verdict::Run);
}

#[test]
fn entries_do_not_return_expired_crashes_to_each_other() {
    let mut watches = [CrashWatch::default(), CrashWatch::default()];
    for i in 0..3 {
        let sent = start() + ms(60 * i);
        crash(&mut watches[0], sent, i, &[CRASHING, request(i)]);
    }

    // Each report arrives a second after it was made.
    let mut delayed = VecDeque::new();
    for step in 10..7000 {
        let now = start() + ms(step * 100);
        delayed.push_back(watches.each_mut().map(|w| w.report(now)));
        if delayed.len() > 10 {
            let reports = delayed.pop_front().unwrap();
            for (watch, report) in watches.iter_mut().zip(reports.into_iter().rev()) {
                watch.merge(now, report);
            }
        }
        let verdicts = watches.each_mut().map(|w| w.check(now, &[CRASHING]));
        if now > start() + secs(605) {
            assert_eq!(verdicts, [Verdict::Run; 2], "{now:?}");
        }
    }
}

/// An upstream that opened no connection in time counted as crashed, though it may have stood
/// still.
#[test]
fn upstreams_that_open_no_connection_charge_their_requests() {
    let mut watch = CrashWatch::default();
    let features = [request(7), CRASHING];

    for i in 0..5 {
        let at = start() + ms(100 * i);
        watch.record_end(at, i, ExchangeEnd::Broken, at, features.to_vec());
        let next = watch.record_connection_timeout(at + ms(350), i);
        assert_eq!(next, NextCheck::ConnectLater);
    }

    assert_eq!(watch.check(start() + secs(2), &features), Verdict::Run);
}

#[test]
fn upstreams_that_refuse_connections_later_have_crashed() {
    let mut watch = CrashWatch::default();
    for upstream in [1, 2] {
        let at = start() + ms(100 * upstream);
        let features = vec![request(7)];
        watch.record_end(at, upstream, ExchangeEnd::Broken, at, features);
        watch.record_connection_timeout(at + secs(1), upstream);
    }

    assert!(watch.record_start_ended(1));
    assert!(watch.record_start_ended(2));

    assert_eq!(verdict(&mut watch, request(7)), Verdict::Refuse);
}

#[test]
fn upstream_that_opens_no_connection_is_not_checked_for_ever() {
    let mut watch = CrashWatch::default();
    let features = vec![request(7)];
    watch.record_end(start(), 1, ExchangeEnd::Broken, start(), features);

    let checks = [9, 11].map(|s| watch.record_connection_timeout(start() + secs(s), 1));

    assert_eq!(checks, [NextCheck::ConnectLater, NextCheck::None]);
    assert!(!watch.record_start_ended(1));
}

/// The same request is silent at `count` upstreams one after another.
fn silences(watch: &mut CrashWatch, count: u64) -> Vec<NextCheck> {
    let silent = |upstream| {
        let sent = start() + ms(450 * upstream);
        let noticed = sent + ms(450);
        let features = vec![request(7)];
        watch.record_end(noticed, upstream, ExchangeEnd::Silent, sent, features)
    };
    (0..count).map(silent).collect()
}

/// A request whose exchanges were silent until their end was never charged.
#[test]
fn upstreams_that_end_while_they_are_silent_charge_nobody() {
    let mut watch = CrashWatch::default();

    let checks = silences(&mut watch, 2);
    let silent = verdict(&mut watch, request(7));
    let found = [0, 1].map(|upstream| watch.record_start_ended(upstream));

    assert_eq!(checks, [NextCheck::Connect; 2]);
    assert_eq!(silent, Verdict::Run);
    assert_eq!(found, [true; 2]);
    assert_eq!(verdict(&mut watch, request(7)), Verdict::Refuse);
}

/// A machine that is back accepts connections before its new start is listed.
#[test]
fn connection_of_a_later_start_ends_the_check() {
    let mut watch = CrashWatch::default();
    silences(&mut watch, 2);

    let accepted = [0, 1].map(|u| watch.record_connection_accepted(start() + secs(4), u));
    let again = watch.record_connection_accepted(start() + secs(5), 0);
    for upstream in [0, 1] {
        watch.record_start_ended(upstream);
    }

    assert_eq!(accepted, [NextCheck::AwaitStart; 2]);
    assert_eq!(again, NextCheck::AwaitStart);
    assert_eq!(verdict(&mut watch, request(7)), Verdict::Refuse);
}

#[test]
fn upstreams_that_go_on_after_a_silence_charge_their_requests() {
    let mut watch = CrashWatch::default();
    silences(&mut watch, 3);

    for upstream in 0..3 {
        watch.record_heard(upstream);
    }
    let found = [0, 1, 2].map(|upstream| watch.record_start_ended(upstream));

    assert_eq!(found, [false; 3]);
    assert_eq!(verdict(&mut watch, request(7)), Verdict::Run);
}

#[test]
fn silent_exchange_is_checked_for_ever() {
    let mut watch = CrashWatch::default();
    silences(&mut watch, 1);

    let checks = [9, 11].map(|s| watch.record_connection_accepted(start() + secs(s), 0));

    assert_eq!(checks, [NextCheck::AwaitStart, NextCheck::None]);
    assert!(!watch.record_start_ended(0));
}

/// A part of the machines goes down at once, with requests in flight that are sound.
#[test]
fn upstreams_that_go_down_at_once_charge_identical_requests() {
    let mut watch = CrashWatch::default();

    for upstream in 0..5 {
        let end = ExchangeEnd::Silent;
        watch.record_end(start() + ms(450), upstream, end, start(), vec![request(7)]);
        watch.record_start_ended(upstream);
    }

    assert_eq!(verdict(&mut watch, request(7)), Verdict::Run);
}

#[test]
fn request_served_elsewhere_is_charged_with_silent_upstreams() {
    let mut watch = CrashWatch::default();
    silences(&mut watch, 4);

    watch.record_response(start() + secs(2), 30, &[request(7)]);
    for upstream in 0..4 {
        watch.record_start_ended(upstream);
    }

    assert_eq!(verdict(&mut watch, request(7)), Verdict::Run);
}
