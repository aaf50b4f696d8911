//! Assignment of the queued requests of a service.

mod fixture;

use std::time::Duration;

use dispatch::{
    IncomingRequest, Placement, QueueLimits, RequestQueue, Requirements, ServiceScheduler,
    UpstreamLoad,
};
use domain::{Moment, UpstreamState, WeightVersion};
use fixture::{ms, needs, pool, secs, start, upstream};

/// Holds one queued request, accepted while version 1 was in force; the only upstream
/// has version `held` and a free slot again.
fn scheduler_with_queued_request(held: WeightVersion) -> ServiceScheduler {
    let mut upstreams = pool(&[upstream("u", "a", Some(held))]);
    upstreams.get_mut("u").unwrap().own.requests = 16;
    let queue = RequestQueue::new(QueueLimits { capacity: 8 });
    let mut scheduler = ServiceScheduler::new(upstreams, queue);
    let request = IncomingRequest {
        id: 1,
        priority: 1,
        account: None,
        first_attempt: start(),
        target_latency: ms(500),
        deadline: start() + secs(6),
        begun: false,
        needs: Requirements {
            min_weight_version: Some(1),
            ..needs(start())
        },
    };
    let placement = scheduler.submit(start(), request, |_| false);
    assert_eq!(placement, Placement::Queued);
    scheduler.upstreams.get_mut("u").unwrap().own.requests = 0;
    scheduler
}

/// A request was queued 25 ms before a version came into force and sent to an engine
/// with the older one 303 ms later.
#[test]
fn queued_request_is_not_assigned_to_weights_that_expired_while_it_waited() {
    let mut scheduler = scheduler_with_queued_request(1);
    let now = start() + ms(50);

    let assigned = scheduler.assign_queued(now, |_| Some(2), |_| false);

    assert!(assigned.is_empty());
}

#[test]
fn queued_request_is_assigned_to_the_version_that_came_into_force_meanwhile() {
    let mut scheduler = scheduler_with_queued_request(2);
    let now = start() + ms(50);

    let unmatched = scheduler.remove_unmatched(now, |_| Some(2), |_| false);
    let assigned = scheduler.assign_queued(now, |_| Some(2), |_| false);

    assert!(unmatched.is_empty());
    assert_eq!(assigned[0].needs.min_weight_version, Some(2));
}

#[test]
fn queued_request_without_any_matching_upstream_leaves_the_queue() {
    let mut scheduler = scheduler_with_queued_request(1);

    let unmatched = scheduler.remove_unmatched(start() + ms(50), |_| Some(2), |_| false);

    assert_eq!(unmatched, [1]);
    assert!(scheduler.queue.is_empty());
}

/// Requests waited for an upstream that accepted none before they would be too late, and
/// their callers were told to return before its time was over.
#[test]
fn request_waits_for_an_upstream_that_accepts_it_too_late() {
    let mut scheduler = scheduler_with_queued_request(1);
    let gate = scheduler.upstreams.get_mut("u").unwrap().gate.clone();
    gate.close_until(start() + ms(200));
    let soon = scheduler.remove_unmatched(start(), |_| Some(1), |_| false);
    gate.close_until(start() + ms(1500));

    let unmatched = scheduler.remove_unmatched(start(), |_| Some(1), |_| false);
    let tried = Requirements {
        tried: vec!["u".into()],
        ..needs(start())
    };
    let waits = [needs(start()), tried].map(|n| scheduler.retry_after(start(), &n, |_| false));

    assert!(soon.is_empty());
    assert_eq!(unmatched, [1]);
    assert!(
        waits.iter().all(|w| (ms(1500)..ms(2000)).contains(w)),
        "{waits:?}"
    );
}

/// A request whose only upstream had announced its end waited until it was too late.
#[test]
fn queued_request_waits_for_an_upstream_that_leaves() {
    let mut scheduler = scheduler_with_queued_request(1);
    scheduler.upstreams.get_mut("u").unwrap().gate.close();

    let assigned = scheduler.assign_queued(start() + ms(50), |_| Some(1), |_| false);
    let unmatched = scheduler.remove_unmatched(start() + ms(50), |_| Some(1), |_| false);

    assert!(assigned.is_empty());
    assert_eq!(unmatched, [1]);
}

/// A request waited for the end of its time after the only upstream that could serve it
/// had been removed.
#[test]
fn queued_request_waits_for_a_removed_upstream() {
    let mut scheduler = scheduler_with_queued_request(1);
    scheduler.upstreams.remove("u");

    let unmatched = scheduler.remove_unmatched(start() + ms(50), |_| Some(1), |_| false);

    assert_eq!(unmatched, [1]);
}

#[test]
fn queued_request_waits_for_a_draining_upstream() {
    let mut scheduler = scheduler_with_queued_request(1);
    let pooled = scheduler.upstreams.get_mut("u").unwrap();
    pooled.upstream.state = UpstreamState::Draining;

    let unmatched = scheduler.remove_unmatched(start() + ms(50), |_| Some(1), |_| false);

    assert_eq!(unmatched, [1]);
}

#[test]
fn queued_request_waits_for_an_evacuated_upstream() {
    let mut scheduler = scheduler_with_queued_request(1);

    let unmatched = scheduler.remove_unmatched(start() + ms(50), |_| Some(1), |d| d == "a");

    assert_eq!(unmatched, [1]);
}

/// An engine that loads weights lists none meanwhile.
#[test]
fn queued_request_does_not_wait_for_weights_that_are_loaded() {
    let mut scheduler = scheduler_with_queued_request(1);
    let pooled = scheduler.upstreams.get_mut("u").unwrap();
    pooled.upstream.models.clear();

    let unmatched = scheduler.remove_unmatched(start() + ms(50), |_| Some(1), |_| false);

    assert!(unmatched.is_empty());
}

/// A request was queued although all upstreams were draining.
#[test]
fn request_is_queued_for_a_draining_upstream() {
    let mut leaving = upstream("u", "a", Some(1));
    leaving.state = UpstreamState::Draining;
    let queue = RequestQueue::new(QueueLimits { capacity: 8 });
    let mut scheduler = ServiceScheduler::new(pool(&[leaving]), queue);
    let request = IncomingRequest {
        id: 1,
        priority: 1,
        account: None,
        first_attempt: start(),
        target_latency: ms(500),
        deadline: start() + secs(6),
        begun: false,
        needs: needs(start()),
    };

    let placement = scheduler.submit(start(), request, |_| false);

    assert!(matches!(placement, Placement::Refused(_)), "{placement:?}");
}

/// A request that arrives at `now` and is due `target` later; one that has begun was sent to
/// the upstream `u`.
fn incoming(id: u64, now: Moment, target: Duration, begun: bool) -> IncomingRequest {
    let tried: &[&str] = if begun { &["u"] } else { &[] };
    IncomingRequest {
        id,
        priority: 1,
        account: None,
        first_attempt: now,
        target_latency: target,
        deadline: now + secs(6),
        begun,
        needs: Requirements {
            tried: tried.iter().map(|u| (*u).into()).collect(),
            ..needs(now)
        },
    }
}

/// Two full upstreams, `u` and `v`.
fn full_scheduler() -> ServiceScheduler {
    let upstreams = [upstream("u", "a", Some(1)), upstream("v", "a", Some(1))];
    let queue = RequestQueue::new(QueueLimits { capacity: 256 });
    let mut scheduler = ServiceScheduler::new(pool(&upstreams), queue);
    for upstream in scheduler.upstreams.iter_mut() {
        upstream.own.requests = 16;
    }
    scheduler
}

/// Ends a request at an upstream whose prompt was processed, and assigns its slot.
fn free_slot(scheduler: &mut ServiceScheduler, now: Moment, upstream: &str) -> Vec<u64> {
    let pooled = scheduler.upstreams.get_mut(upstream).unwrap();
    pooled.own.prefill_tokens = 0;
    pooled.record_end();
    let assigned = scheduler.assign_queued(now, |_| Some(1), |_| false);
    assigned.iter().map(|a| a.id).collect()
}

/// A stream whose upstream broke was cut at once if the requests that waited already would
/// have taken the slots of the next half second.
#[test]
fn begun_request_is_refused_for_those_that_wait() {
    let mut scheduler = full_scheduler();
    for id in 1..=6 {
        scheduler.submit(start(), incoming(id, start(), ms(1500), false), |_| false);
    }
    for step in 1..=3 {
        free_slot(&mut scheduler, start() + ms(200 * step), "v");
    }
    let now = start() + ms(610);

    let late = incoming(8, now - secs(1), ms(500), false);

    let late = scheduler.submit(now, late, |_| false);
    let placement = scheduler.submit(now, incoming(7, now, secs(2), true), |_| false);
    let next = free_slot(&mut scheduler, now + ms(190), "v");

    assert!(matches!(late, Placement::Refused(_)), "{late:?}");
    assert_eq!(placement, Placement::Queued);
    assert_eq!(next, [7]);
}

#[test]
fn begun_request_waits_where_no_upstream_may_serve_it() {
    let mut scheduler = full_scheduler();
    scheduler.upstreams.remove("v");
    scheduler.submit(start(), incoming(1, start(), ms(500), false), |_| false);

    scheduler.submit(start(), incoming(2, start(), secs(2), true), |_| false);
    let unmatched = scheduler.remove_unmatched(start(), |_| Some(1), |_| false);

    assert_eq!(unmatched, [2]);
}

/// Many streams wait at once when their upstream breaks, which only others may use again.
#[test]
fn begun_requests_keep_others_from_the_upstream_that_broke() {
    let mut scheduler = full_scheduler();
    for id in 1..=10 {
        scheduler.submit(start(), incoming(id, start(), secs(2), true), |_| false);
    }
    scheduler.submit(start(), incoming(11, start(), ms(900), false), |_| false);

    let next = free_slot(&mut scheduler, start() + ms(100), "u");

    assert_eq!(next, [11]);
}

/// At three times the capacity, with a tenth as many begun requests as others, each
/// slot that they leave goes to another request.
#[test]
fn begun_requests_starve_others() {
    let mut scheduler = full_scheduler();
    let (mut begun, mut started, mut started_begun) = (0, 0, 0);
    for step in 0..2000_u64 {
        let now = start() + ms(step);
        scheduler.expire(now);
        if step % 7 == 0 {
            scheduler.submit(now, incoming(step, now, ms(400), false), |_| false);
        }
        if step % 70 == 1 {
            begun += 1;
            scheduler.submit(now, incoming(step + 10_000, now, secs(2), true), |_| false);
        }
        if step % 20 == 19 {
            let assigned = free_slot(&mut scheduler, now, "v");
            started += assigned.len();
            started_begun += assigned.iter().filter(|id| **id >= 10_000).count();
        }
    }

    assert_eq!(started, 100);
    assert_eq!(started_begun, begun);
}

/// While streams waited for an upstream that was full, others were refused although the one
/// that had broken was idle again.
#[test]
fn begun_requests_keep_others_from_an_idle_upstream() {
    for waiting in [1, 10] {
        let mut scheduler = full_scheduler();
        scheduler.upstreams.get_mut("u").unwrap().own.requests = 0;
        for id in 0..waiting {
            scheduler.submit(start(), incoming(id, start(), secs(5), true), |_| false);
        }

        let refused = (1..=30_u64).filter(|step| {
            let now = start() + ms(150 * step);
            scheduler.expire(now);
            let request = incoming(100 + step, now, ms(250), false);
            let placement = scheduler.submit(now, request, |_| false);
            scheduler.assign_queued(now + ms(10), |_| Some(1), |_| false);
            let idle = scheduler.upstreams.get_mut("u").unwrap();
            idle.own.requests = 0;
            idle.own.prefill_tokens = 0;
            matches!(placement, Placement::Refused(_))
        });

        assert_eq!(refused.count(), 0, "{waiting} waiting");
    }
}

/// A stream that waited in vain for an upstream that was full kept late requests from another
/// one that was idle.
#[test]
fn begun_request_that_expires_counts_as_a_shortage() {
    let mut scheduler = full_scheduler();
    scheduler.upstreams.get_mut("u").unwrap().own.requests = 0;
    let now = start() + secs(1);
    scheduler.submit(start(), incoming(1, start(), secs(1), true), |_| false);

    let expired = scheduler.expire(now);
    let late = incoming(2, start(), ms(500), false);
    let placement = scheduler.submit(now, late, |_| false);

    assert_eq!(expired, [1]);
    assert!(matches!(placement, Placement::Assigned(_)), "{placement:?}");
}

/// After a time without starts, requests that could be on time were refused at idle upstreams:
/// a late one waited, which kept them from the free slots, and their refusals kept it waiting.
#[test]
fn waiting_late_request_keeps_others_from_idle_upstreams() {
    let mut scheduler = full_scheduler();
    for id in 1..=2 {
        scheduler.submit(start(), incoming(id, start(), secs(4), false), |_| false);
    }
    for step in 1..=2 {
        free_slot(&mut scheduler, start() + ms(1500 * step), "v");
    }
    let now = start() + ms(3100);
    for id in 3..=4 {
        scheduler.submit(now, incoming(id, now, ms(500), false), |_| false);
    }
    let mut refused = 0;

    for step in 0..20 {
        let now = now + ms(600 + 100 * step);
        for upstream in scheduler.upstreams.iter_mut() {
            upstream.own = UpstreamLoad::default();
        }
        scheduler.expire(now);
        scheduler.assign_queued(now, |_| Some(1), |_| false);
        let late = incoming(100 + step, now - secs(1), ms(500), false);
        scheduler.submit(now, late, |_| false);
        let placement = scheduler.submit(now, incoming(10 + step, now, ms(500), false), |_| false);
        refused += usize::from(matches!(placement, Placement::Refused(_)));
    }

    assert_eq!(refused, 0, "of 20");
}

/// A full scheduler in a shortage: the first request has expired, and those with the ids from
/// 2 on, due after `targets`, wait.
fn scheduler_in_shortage(targets: &[u64]) -> ServiceScheduler {
    let mut scheduler = full_scheduler();
    scheduler.submit(start(), incoming(1, start(), ms(300), false), |_| false);
    for (id, target) in (2..).zip(targets) {
        scheduler.submit(start(), incoming(id, start(), ms(*target), false), |_| {
            false
        });
    }
    assert_eq!(scheduler.expire(start() + ms(140)), [1]);
    scheduler
}

/// At five times the capacity each request was started at its latest moment, and one in
/// fourteen was late after all.
#[test]
fn request_at_its_latest_start_goes_before_one_with_time_in_a_shortage() {
    let mut scheduler = scheduler_in_shortage(&[500, 650]);

    let next = free_slot(&mut scheduler, start() + ms(270), "v");

    assert_eq!(next, [3]);
}

/// The slot would stay idle otherwise.
#[test]
fn last_request_is_started_at_its_latest_moment_in_a_shortage() {
    let mut scheduler = scheduler_in_shortage(&[500]);

    let next = free_slot(&mut scheduler, start() + ms(270), "v");

    assert_eq!(next, [2]);
}

/// The request with time to spare may only use `u`, which is full, so the slot of `v` stays
/// idle until the other one expires.
#[test]
fn rushed_request_is_refused_beside_an_idle_slot_for_one_that_fits_elsewhere() {
    let mut scheduler = scheduler_in_shortage(&[500]);
    let mut restricted = incoming(3, start(), ms(650), false);
    restricted.needs.tried = vec!["v".into()];
    scheduler.submit(start() + ms(141), restricted, |_| false);

    let next = free_slot(&mut scheduler, start() + ms(270), "v");

    assert_eq!(next, [2]);
}
