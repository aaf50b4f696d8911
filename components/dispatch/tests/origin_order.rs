//! Which of two versions the origin is asked for.

mod fixture;

use dispatch::{OriginOrder, PieceSource, Swarm, SwarmStep};
use fixture::{ms, secs, start};

const PIECES: u32 = 64;

/// Version 2 with `known` of its pieces and version 3 with none, recorded every 50 ms for
/// `time_ms`.
fn waiting(order: &mut OriginOrder, known: usize, time_ms: u64) {
    for t in (0..=time_ms).step_by(50) {
        order.record_progress(start() + ms(t), 2, known, PIECES);
        order.record_progress(start() + ms(t), 3, 0, PIECES);
    }
}

fn due() -> domain::Moment {
    start() + secs(60)
}

/// The origin was down for 6 s while 7 pieces of version 2 and all of version 3 were missing.
/// After its return pieces of both came in turn, and version 2 was complete 1.2 s later than
/// its pieces take.
#[test]
fn last_pieces_of_a_version_go_before_the_next_after_an_outage() {
    let mut order = OriginOrder::default();
    order.record_response(start(), true);
    order.record_response(start() + ms(100), false);
    waiting(&mut order, 57, 6000);
    let back = start() + ms(6000);
    order.record_response(back, true);

    let while_missing = order.is_reserved(back, 3, due());
    let own = order.is_reserved(back, 2, due());
    order.record_progress(back + ms(300), 2, 64, PIECES);
    let once_complete = order.is_reserved(back + ms(300), 3, due());

    assert!(while_missing);
    assert!(!own, "the older version waits for nothing");
    assert!(!once_complete);
}

/// A piece that the origin does not have must not keep later versions from the engines.
#[test]
fn version_without_progress_at_a_responding_origin_holds_up_no_other() {
    let mut order = OriginOrder::default();
    order.record_response(start(), true);
    waiting(&mut order, 57, 500);
    let at_first = order.is_reserved(start() + ms(500), 3, due());
    waiting(&mut order, 57, 1300);

    let reserved = order.is_reserved(start() + ms(1300), 3, due());
    order.record_progress(start() + ms(1310), 2, 58, PIECES);
    let grown = order.is_reserved(start() + ms(1310), 3, due());

    assert!(at_first);
    assert!(!reserved);
    assert!(grown, "a new piece reserves the origin again");
}

/// An origin whose refusals look like an outage, and a version that this process no longer
/// fetches.
#[test]
fn reservation_ends_without_responses_and_without_records() {
    let mut silent = OriginOrder::default();
    waiting(&mut silent, 57, 10_100);
    let mut dropped = OriginOrder::default();
    waiting(&mut dropped, 57, 0);

    assert!(!silent.is_reserved(start() + ms(10_100), 3, due()));
    assert!(dropped.is_reserved(start() + ms(900), 3, due()));
    assert!(!dropped.is_reserved(start() + ms(1000), 3, due()));
}

/// After a restart of the whole fleet the version before the one in force is missing, too.
#[test]
fn version_past_its_bound_waits_for_no_older_one() {
    let mut order = OriginOrder::default();
    waiting(&mut order, 0, 0);

    assert!(!order.is_reserved(start(), 3, start()));
}

/// Had the takeover times run on while the origin was reserved, every importer would fetch
/// every piece at the moment at which it is free again.
#[test]
fn swarm_asks_a_reserved_origin_for_nothing_and_then_for_its_own_pieces() {
    let mut swarm = Swarm::new(start(), "a".into(), "north".into(), true, PIECES);
    swarm.set_origin_reserved(start(), true);

    let reserved = swarm.next(start() + secs(5));
    swarm.set_origin_reserved(start() + secs(6), false);
    let free = swarm.next(start() + secs(6));

    assert_eq!(reserved, SwarmStep::Wait);
    assert!(matches!(free, SwarmStep::Fetch(f) if f.source == PieceSource::Origin));
    assert_eq!(swarm.started_at(), start() + secs(6));
}
