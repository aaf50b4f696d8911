//! Records of the store: mirror, fleet view, freshness of the configuration.

mod fixture;

use std::time::Duration;

use bytes::Bytes;
use dispatch::{ConfigFreshness, ConfigStatus, FleetView, Mirror, Pulse, ReadTiming, ViewChange};
use domain::{FleetRecord, Moment, Record, RecordBatch};
use fastrand::Rng;
use fixture::{ms, secs, start, upstream};

fn change(key: &str, offset: u64, value: Option<&'static str>) -> Record {
    Record {
        key: key.into(),
        offset,
        value: value.map(|v| Bytes::from_static(v.as_bytes())),
    }
}

fn batch(end: u64, changes: Vec<Record>) -> RecordBatch {
    RecordBatch {
        topic_end: end,
        records: changes,
        end,
        era: 0,
    }
}

#[test]
fn older_record_does_not_replace_a_newer_one() {
    let mut mirror = Mirror::default();
    mirror.extend(batch(6, vec![change("k", 5, Some("new"))]));

    let changed = mirror.extend(batch(4, vec![change("k", 3, Some("old"))]));

    assert!(changed.is_empty());
    assert_eq!(mirror.end(), Some(6));
}

#[test]
fn key_missing_from_the_newest_state_is_removed() {
    let mut mirror = Mirror::default();
    mirror.reset(batch(
        3,
        vec![change("a", 1, Some("1")), change("b", 2, Some("2"))],
    ));

    let changed = mirror.reset(batch(9, vec![change("b", 2, Some("2"))]));

    assert_eq!(changed, [change("a", 8, None)]);
}

#[test]
fn older_state_is_ignored() {
    let mut mirror = Mirror::default();
    mirror.reset(batch(9, vec![change("a", 8, Some("1"))]));

    let changed = mirror.reset(batch(3, Vec::new()));

    assert!(changed.is_empty());
    assert_eq!(mirror.end(), Some(9));
}

#[test]
fn peer_gets_missing_records_and_removals() {
    let mut mirror = Mirror::default();
    mirror.extend(batch(
        2,
        vec![change("a", 0, Some("1")), change("b", 1, Some("2"))],
    ));
    mirror.extend(batch(3, vec![change("a", 2, None)]));

    let missed = mirror.since(1).unwrap();

    assert_eq!(
        missed.records,
        [change("b", 1, Some("2")), change("a", 2, None)]
    );
}

/// A peer that had loaded the topic after a removal sent what it had, and the receiver
/// took it for everything since: it kept using an upstream that had left.
#[test]
fn peer_that_loaded_after_a_removal_does_not_hide_it() {
    let mut receiver = Mirror::default();
    receiver.reset(batch(
        5,
        vec![change("a", 1, Some("1")), change("b", 4, Some("2"))],
    ));
    let mut peer = Mirror::default();
    peer.reset(batch(7, vec![change("b", 4, Some("2"))]));

    let missed = peer.since(5);
    let state = peer.since(0).unwrap();
    let changed = receiver.reset(state);

    assert_eq!(missed, None);
    assert_eq!(changed, [change("a", 6, None)]);
}

#[test]
fn removals_that_were_dropped_are_not_left_out_of_a_batch() {
    let mut mirror = Mirror::default();
    for offset in 0..2000 {
        let record = change("k", offset, None);
        let key = format!("k{offset}").into();
        mirror.extend(batch(offset + 1, vec![Record { key, ..record }]));
    }

    let missed = mirror.since(1);

    assert!(missed.is_none());
    assert!(mirror.since(2000).is_some());
}

#[test]
fn upstream_is_removed_at_once_without_an_outage() {
    let mut view = FleetView::default();
    view.apply_upstream_record(start(), "u", Some(upstream("u", "a", None)));

    let change = view.apply_upstream_record(start() + secs(1), "u", None);

    assert_eq!(change, Some(ViewChange::Removed("u".into())));
    assert!(view.upstream("u").is_none());
}

#[test]
fn upstream_that_lapsed_in_an_outage_is_used_until_relist_time() {
    let mut view = FleetView::default();
    view.apply_upstream_record(start(), "u", Some(upstream("u", "a", None)));
    view.set_store_reachable(start() + secs(1), false);
    let back = start() + secs(6);
    view.set_store_reachable(back, true);

    let change = view.apply_upstream_record(back, "u", None);
    let early = view.expire(back + secs(2));
    let late = view.expire(back + ms(2300));

    assert_eq!(change, Some(ViewChange::Lapsed("u".into())));
    assert!(early.is_empty());
    assert_eq!(late, ["u"]);
}

/// The store was down for some entries only. An upstream left right after such an
/// entry could read the store again, and was used for another 2.04 s.
#[test]
fn upstream_removed_after_the_backlog_expires_well_before_the_bound() {
    let mut view = FleetView::default();
    view.apply_upstream_record(start(), "u", Some(upstream("u", "a", None)));
    view.set_store_reachable(start(), false);
    let back = start() + secs(5);
    view.set_store_reachable(back, true);
    view.set_store_reachable(back + ms(300), true);
    let left = back + ms(1100);

    view.apply_upstream_record(left, "u", None);

    assert_eq!(view.expire(left + ms(1100)), ["u"]);
}

#[test]
fn upstream_is_removed_at_once_while_a_peer_reads_the_store() {
    let mut view = FleetView::default();
    view.apply_upstream_record(start(), "u", Some(upstream("u", "a", None)));
    view.set_store_reachable(start(), false);
    view.record_peer_access(start() + secs(1));

    let change = view.apply_upstream_record(start() + secs(2), "u", None);

    assert_eq!(change, Some(ViewChange::Removed("u".into())));
}

/// With two versions within two seconds, the bound of the first was lost when the
/// second arrived.
#[test]
fn version_keeps_its_declaration_time_when_the_next_arrives() {
    let mut view = FleetView::default();
    let weights = |v| Some(FleetRecord::Weights("m".into(), v));
    view.apply_fleet_record(start(), "w", weights(2));
    view.apply_fleet_record(start() + secs(2), "w", weights(3));

    let after_first = view.in_force(start() + secs(8), "m", secs(8));
    let after_second = view.in_force(start() + secs(10), "m", secs(8));

    assert_eq!((after_first, after_second), (Some(2), Some(3)));
}

#[test]
fn version_of_unknown_age_is_in_force_until_a_peer_sends_its_declaration_time() {
    let mut view = FleetView::default();
    let zero = std::time::Duration::ZERO;
    view.apply_fleet_record(zero, "w", Some(FleetRecord::Weights("m".into(), 3)));
    let now = start() + secs(8);
    let before = view.in_force(now, "m", secs(8));

    view.merge_declared(
        &"m".into(),
        &[(2, start() - secs(3)), (3, start() + secs(1))],
    );

    assert_eq!(before, Some(3));
    assert_eq!(view.in_force(now, "m", secs(8)), Some(2));
}

/// The store became unreachable right after a declaration. All engines held the older
/// weights, and no request was served for six seconds.
#[test]
fn bound_of_a_version_does_not_run_while_the_store_is_down() {
    let mut view = FleetView::default();
    let weights = |v| Some(FleetRecord::Weights("m".into(), v));
    view.apply_fleet_record(start(), "w", weights(2));
    view.apply_fleet_record(start() + secs(9), "w", weights(3));
    view.pause_bounds(start() + secs(10), secs(8));
    let during = view.in_force(start() + secs(20), "m", secs(8));
    let begin_by = view.expires_at("m", 2, secs(8));
    let back = start() + secs(20);
    let pause = view.restart_bounds(back, back);

    let soon = view.in_force(back + secs(7), "m", secs(8));
    let later = view.in_force(back + secs(8), "m", secs(8));

    assert_eq!((during, soon, later), (Some(2), Some(2), Some(3)));
    assert_eq!((begin_by, pause), (None, Some(secs(10))));
    assert_eq!(view.expires_at("m", 2, secs(8)), Some(back + secs(8)));
}

/// One read broke off while the peers that were asked were restarting. The entry took
/// it for an outage of the store and counted the bounds of all versions anew.
#[test]
fn one_failed_read_does_not_count_as_an_outage() {
    let mut freshness = ConfigFreshness::new(secs(5));
    freshness.confirm(start());
    freshness.record_failure();

    // Two waits of a read and two pauses after failures.
    let is_outage = freshness.is_outage(start() + ms(2300), start() - secs(60));

    assert!(!is_outage);
}

#[test]
fn reads_that_fail_for_longer_than_a_confirmation_is_fresh_are_an_outage() {
    let mut freshness = ConfigFreshness::new(secs(5));
    freshness.confirm(start());
    freshness.record_failure();

    let is_outage = freshness.is_outage(start() + ms(2500), start() - secs(60));

    assert!(is_outage);
}

/// The configurations of a storm took more than 2 s over links between regions. Entries took
/// that for an outage and counted the bounds of all versions anew: requests began on older
/// weights for up to 8 s more.
#[test]
fn slow_read_is_an_outage() {
    let mut freshness = ConfigFreshness::new(secs(5));
    let read = ReadTiming {
        sent: start(),
        wait: ms(0),
        followed: true,
    };
    freshness.record_failure();

    freshness.record_read(start() + ms(2600), &read, false);

    assert!(!freshness.is_outage(start() + ms(2600), start() - secs(60)));
}

#[test]
fn read_that_fails_after_the_process_was_stopped_does_not_count_as_an_outage() {
    let mut freshness = ConfigFreshness::new(secs(5));
    freshness.confirm(start());
    freshness.record_failure();
    let resumed = start() + secs(6);

    let is_outage = freshness.is_outage(resumed + ms(500), resumed);

    assert!(!is_outage);
}

/// An entry whose first read failed counted the bound of a version of unknown age from
/// that moment and used the older weights for another eight seconds.
#[test]
fn version_of_unknown_age_stays_in_force_after_a_failed_first_read() {
    let freshness = ConfigFreshness::new(secs(5));
    let mut view = FleetView::default();
    view.set_store_reachable(start(), false);
    let is_outage = freshness.is_outage(start(), start());
    view.set_store_reachable(start() + ms(150), true);
    let zero = std::time::Duration::ZERO;
    view.apply_fleet_record(zero, "w", Some(FleetRecord::Weights("m".into(), 2)));

    assert!(!is_outage);
    assert_eq!(view.in_force(start() + secs(1), "m", secs(8)), Some(2));
}

/// An entry that was started during an outage counted the bounds of versions from
/// before the outage and refused callers for seconds after it.
#[test]
fn peer_that_cannot_read_the_store_shows_an_outage_to_a_process_just_started() {
    let mut freshness = ConfigFreshness::new(secs(5));
    let started = start() + secs(7);
    let asked = started + ms(20);
    freshness.record_stale_peer(asked);
    freshness.confirm(start());
    freshness.record_failure();

    assert!(freshness.is_outage(asked, started));
    assert!(!freshness.is_outage(asked + ms(500), asked + ms(400)));
}

#[test]
fn process_that_was_stopped_states_no_old_confirmation_to_peers() {
    let mut freshness = ConfigFreshness::new(secs(5));
    freshness.confirm(start());
    let now = start() + secs(6);

    let running = freshness.age_for_peers(now, start() - secs(60));
    let just_resumed = freshness.age_for_peers(now, now - ms(500));
    let recent = freshness.age_for_peers(start() + secs(1), start());

    assert_eq!(running, Some(secs(6)));
    assert_eq!(just_resumed, None);
    assert_eq!(recent, Some(secs(1)));
}

/// After a stop, reads returned before the first beat: the entry took the time of the
/// stop for an outage of the store.
#[test]
fn process_counts_as_resumed_before_its_first_beat() {
    let mut pulse = Pulse::default();
    pulse.beat(start());
    pulse.beat(start() + ms(400));
    let slow = pulse.resumed(start() + ms(800));
    let before_beat = pulse.resumed(start() + secs(3));
    pulse.beat(start() + secs(3));
    let after_beat = pulse.resumed(start() + ms(3400));

    assert_eq!(
        [slow, before_beat, after_beat],
        [start(), start() + secs(3), start() + secs(3)]
    );
}

/// Reads of one entry hung and the peers that it asked were restarting. The next peer
/// had read the store all the while, but the bounds were counted anew.
#[test]
fn pause_that_an_earlier_confirmation_refutes_does_not_restart_bounds() {
    let mut view = FleetView::default();
    let weights = |v| Some(FleetRecord::Weights("m".into(), v));
    view.apply_fleet_record(start(), "w", weights(2));
    let paused = start() + secs(3);
    view.pause_bounds(paused, secs(8));

    let restarted = view.restart_bounds(paused + ms(300), paused - ms(500));

    assert_eq!(restarted, None);
    assert_eq!(view.in_force(start() + secs(8), "m", secs(8)), Some(2));
}

#[test]
fn older_version_is_ignored() {
    let mut view = FleetView::default();
    view.apply_fleet_record(start(), "w", Some(FleetRecord::Weights("m".into(), 3)));

    let change = view.apply_fleet_record(start(), "w", Some(FleetRecord::Weights("m".into(), 2)));

    assert_eq!(change, None);
    let newest = view.all_declared().next().and_then(|(_, l)| l.last());
    assert_eq!(newest.map(|(v, _)| *v), Some(3));
}

#[test]
fn failure_domain_is_evacuated_until_its_record_is_removed() {
    let mut view = FleetView::default();
    let out = Some(FleetRecord::Evacuated("a".into()));

    view.apply_fleet_record(start(), "evacuate/a", out);
    let while_out = view.is_evacuated("a");
    view.apply_fleet_record(start(), "evacuate/a", None);

    assert!(while_out);
    assert!(!view.is_evacuated("a"));
}

#[test]
fn config_status_becomes_stale_then_expired_with_age() {
    let mut freshness = ConfigFreshness::new(secs(5));
    let unknown = freshness.status(start());
    freshness.confirm(start());

    let ages = [ms(1000), ms(3000), ms(4500)];
    let statuses = ages.map(|age| freshness.status(start() + age));

    assert_eq!(unknown, ConfigStatus::Unknown);
    assert_eq!(
        statuses,
        [
            ConfigStatus::Fresh,
            ConfigStatus::Stale,
            ConfigStatus::Expired
        ]
    );
}

/// Timing of a read with a wait of 900 ms that was sent at `sent`, right after another.
fn read(sent: Moment) -> ReadTiming {
    ReadTiming {
        sent,
        wait: ms(900),
        followed: true,
    }
}

/// Records were treated as old as the last confirmation, which can be two waits of a
/// read ago. A version declared under load came into force two seconds early, when no
/// engine held it.
#[test]
fn record_is_as_old_as_the_end_of_the_read_before_at_most() {
    let mut freshness = ConfigFreshness::new(secs(5));
    freshness.record_read(start() + ms(905), &read(start()), true);
    let regular = read(start() + ms(935));
    let failed_before = ReadTiming {
        followed: false,
        ..regular
    };

    let regular = freshness.earliest_write(&regular);
    let after_failures = freshness.earliest_write(&failed_before);

    assert_eq!([regular.at, after_failures.at], [start() + ms(900); 2]);
}

/// An entry was stopped while an empty response arrived and handled it late. A version
/// declared after the store had answered was dated by the time of handling.
#[test]
fn empty_read_that_returns_late_is_complete_only_up_to_its_wait() {
    let mut freshness = ConfigFreshness::new(secs(5));
    freshness.record_read(start() + ms(2900), &read(start()), true);

    let written = freshness.earliest_write(&read(start() + ms(2930)));

    assert_eq!(written.at, start() + ms(900));
}

/// A read that returned records may have been answered as soon as it was sent; what was
/// written while its response was on its way comes with the next one.
#[test]
fn read_that_returned_records_is_complete_only_up_to_its_start() {
    let mut freshness = ConfigFreshness::new(secs(5));
    freshness.record_read(start() + ms(800), &read(start()), false);

    let written = freshness.earliest_write(&read(start() + ms(830)));

    assert_eq!(written.at, start());
}

/// A delay that is mostly short and at times, as of a lost packet or a stopped process, long.
fn delay(rng: &mut Rng) -> Duration {
    match rng.u8(..4) {
        0 => ms(rng.u64(..2500)),
        _ => ms(rng.u64(..20)),
    }
}

/// A record that an entry read late was dated by the course of its read, up to 1.7 s after
/// its write, and requests began on older weights after the bound of newer ones.
#[test]
fn record_is_dated_after_its_write() {
    let mut rng = Rng::with_seed(21);
    for _ in 0..10_000 {
        let mut freshness = ConfigFreshness::new(secs(5));
        freshness.confirm(start());
        let written = start() + ms(rng.u64(..6000));
        let (mut sent, mut complete) = (start(), start());

        let date = loop {
            let arrived = sent + delay(&mut rng);
            let answered = written.clamp(arrived, arrived + ms(900));
            let returned = answered + delay(&mut rng);
            if written <= answered {
                break freshness.earliest_write(&read(sent)).at;
            }
            freshness.record_read(returned, &read(sent), true);
            complete = sent + ms(900);
            sent = returned + ms(30) + delay(&mut rng);
        };

        assert!(date <= written, "{date:?}, written at {written:?}");
        assert_eq!(date, complete, "written at {written:?}");
    }
}
