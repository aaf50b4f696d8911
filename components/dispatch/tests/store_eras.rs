//! Records after the store came back from an older copy.

mod fixture;

use bytes::Bytes;
use dispatch::{FleetView, Mirror, ViewChange};
use domain::{Era, FleetRecord, Record, RecordBatch, Upstream, UpstreamState};
use fixture::{ms, secs, start, upstream};

fn record(key: &str, offset: u64, value: Option<&'static str>) -> Record {
    Record {
        key: key.into(),
        offset,
        value: value.map(|v| Bytes::from_static(v.as_bytes())),
    }
}

fn batch(era: Era, end: u64, records: Vec<Record>) -> RecordBatch {
    RecordBatch {
        records,
        end,
        topic_end: end,
        era,
    }
}

/// The record of an upstream after `sequence` writes.
fn written(sequence: u64, state: UpstreamState) -> Upstream {
    Upstream {
        sequence,
        state,
        ..upstream("u", "a", None)
    }
}

#[test]
fn offset_that_is_given_out_again_does_not_hide_its_record() {
    let mut mirror = Mirror::default();
    mirror.reset(batch(0, 9, vec![record("k", 8, Some("old"))]));

    let restored = mirror.restore(batch(1, 3, vec![record("k", 2, Some("new"))]));
    let next = mirror.extend(batch(1, 4, vec![record("k", 3, Some("newer"))]));

    assert_eq!(restored.records, [record("k", 2, Some("new"))]);
    assert_eq!(next, [record("k", 3, Some("newer"))]);
    assert_eq!((mirror.era(), mirror.end()), (1, Some(4)));
}

#[test]
fn removed_record_is_not_taken_from_the_copy_until_it_had_time_to_be_removed_again() {
    let mut mirror = Mirror::default();
    mirror.reset(batch(0, 2, vec![record("k", 1, Some("1"))]));
    mirror.extend(batch(0, 3, vec![record("k", 2, None)]));

    let restored = mirror.restore(batch(1, 2, vec![record("k", 1, Some("1"))]));
    let settled = mirror.settle();

    assert!(restored.records.is_empty());
    assert_eq!(settled, [record("k", 1, Some("1"))]);
}

#[test]
fn record_written_again_under_a_removed_key_is_taken() {
    let mut mirror = Mirror::default();
    mirror.reset(batch(0, 2, vec![record("k", 1, Some("1"))]));
    mirror.extend(batch(0, 3, vec![record("k", 2, None)]));

    let restored = mirror.restore(batch(1, 4, vec![record("k", 3, Some("1"))]));

    assert_eq!(restored.records, [record("k", 3, Some("1"))]);
}

#[test]
fn record_that_the_copy_lost_is_removed_only_if_it_is_not_written_again() {
    let mut mirror = Mirror::default();
    let records = vec![record("a", 0, Some("1")), record("b", 1, Some("2"))];
    mirror.reset(batch(0, 2, records));

    let mut lost = mirror.restore(batch(1, 0, Vec::new())).lost;
    mirror.extend(batch(1, 1, vec![record("b", 0, Some("2"))]));
    let settled = mirror.settle();

    lost.sort_unstable();
    assert_eq!(lost, ["a", "b"]);
    assert_eq!(settled, [record("a", 0, None), record("b", 0, Some("2"))]);
}

#[test]
fn record_lost_by_one_copy_is_still_lost_after_the_next() {
    let mut mirror = Mirror::default();
    mirror.reset(batch(0, 1, vec![record("a", 0, Some("1"))]));
    mirror.restore(batch(1, 0, Vec::new()));

    let restored = mirror.restore(batch(2, 0, Vec::new()));

    assert_eq!(restored.lost, ["a"]);
}

#[test]
fn older_copy_does_not_undo_draining() {
    let mut view = FleetView::default();
    view.apply_upstream_record(start(), "u", Some(written(7, UpstreamState::Draining)));

    let change = view.apply_restored_upstream(start(), written(3, UpstreamState::Ready));

    assert_eq!(change, None);
    let state = view.upstream("u").map(|u| u.state);
    assert_eq!(state, Some(UpstreamState::Draining));
}

#[test]
fn older_copy_does_not_bring_back_an_upstream_that_left() {
    let mut view = FleetView::default();
    view.apply_upstream_record(start(), "u", Some(written(7, UpstreamState::Ready)));
    view.apply_upstream_record(start(), "u", None);

    let older = view.apply_restored_upstream(start(), written(3, UpstreamState::Ready));
    let newer = view.apply_restored_upstream(start(), written(8, UpstreamState::Ready));

    assert_eq!(older, None);
    assert_eq!(newer, Some(ViewChange::Listed("u".into())));
}

#[test]
fn upstream_of_a_newer_start_is_taken_from_the_copy() {
    let mut view = FleetView::default();
    view.apply_upstream_record(start(), "u", Some(written(7, UpstreamState::Draining)));
    let restarted = Upstream {
        started_ms: 2,
        ..written(1, UpstreamState::Ready)
    };

    let change = view.apply_restored_upstream(start(), restarted);

    assert_eq!(change, Some(ViewChange::Listed("u".into())));
}

#[test]
fn upstream_missing_in_the_copy_is_used_until_relist_time() {
    let mut view = FleetView::default();
    view.apply_upstream_record(start(), "u", Some(upstream("u", "a", None)));

    let change = view.lapse_lost_upstream(start(), "u");
    let early = view.expire(start() + secs(2));
    let late = view.expire(start() + ms(2300));

    assert_eq!(change, Some(ViewChange::Lapsed("u".into())));
    assert!(early.is_empty());
    assert_eq!(late, ["u"]);
}

#[test]
fn version_written_again_keeps_its_declaration_time() {
    let mut view = FleetView::default();
    let weights = |v| Some(FleetRecord::Weights("m".into(), v));
    view.apply_fleet_record(start(), "w", weights(3));

    view.apply_fleet_record(start() + secs(6), "w", weights(2));
    view.apply_fleet_record(start() + secs(7), "w", weights(3));

    let declared = view.all_declared().next().map(|(_, list)| list.to_vec());
    assert_eq!(declared, Some(vec![(3, start())]));
    assert_eq!(view.in_force(start() + secs(8), "m", secs(8)), Some(3));
}

/// The state that a peer sends has the removals that it knows; the first record written
/// again under such a key made the count of removals negative.
#[test]
fn state_of_a_peer_may_contain_removals() {
    let mut mirror = Mirror::default();
    mirror.reset(batch(0, 1, vec![record("k", 0, Some("1"))]));

    let restored = mirror.restore(batch(1, 2, vec![record("k", 1, None)]));
    let written = mirror.extend(batch(1, 3, vec![record("k", 2, Some("2"))]));

    assert_eq!(restored.records, [record("k", 1, None)]);
    assert!(restored.lost.is_empty());
    assert_eq!(written, [record("k", 2, Some("2"))]);
}

/// An evacuation that was requested anew after the restore, at the offset of an earlier one
/// that had ended, was taken for that until the copy was settled.
#[test]
fn record_written_at_the_offset_of_a_removed_one_is_held_until_the_copy_is_settled() {
    let mut mirror = Mirror::default();
    mirror.reset(batch(0, 1, vec![record("other", 0, Some("1"))]));
    mirror.extend(batch(0, 2, vec![record("k", 1, Some("1"))]));
    mirror.extend(batch(0, 3, vec![record("k", 2, None)]));

    let written = vec![record("other", 0, Some("1")), record("k", 1, Some("1"))];
    let restored = mirror.restore(batch(1, 2, written));
    let released = mirror.release();
    let again = mirror.release();

    assert_eq!(restored.records, [record("other", 0, Some("1"))]);
    assert_eq!(released, [record("k", 1, Some("1"))]);
    assert!(again.is_empty());
}

#[test]
fn record_that_was_removed_again_is_not_released() {
    let mut mirror = Mirror::default();
    mirror.reset(batch(0, 2, vec![record("k", 1, Some("1"))]));
    mirror.extend(batch(0, 3, vec![record("k", 2, None)]));

    mirror.restore(batch(1, 2, vec![record("k", 1, Some("1"))]));
    let removed = mirror.extend(batch(1, 3, vec![record("k", 2, None)]));
    let released = mirror.release();

    assert_eq!(removed, [record("k", 2, None)]);
    assert!(released.is_empty());
}
