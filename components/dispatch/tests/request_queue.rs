//! The queue before the upstreams.

mod fixture;

use dispatch::{EnqueueResult, QueueLimits, QueuedRequest, RequestQueue, Requirements};
use domain::Moment;
use fixture::{ms, start};

fn room() -> RequestQueue {
    RequestQueue::new(QueueLimits { capacity: 64 })
}

fn waiter(id: u64, until: Moment) -> QueuedRequest {
    QueuedRequest {
        id,
        priority: 1,
        start_by: until,
        on_time: true,
        needs: Requirements::default(),
    }
}

#[test]
fn who_can_be_on_time_goes_before_who_cannot() {
    let mut room = room();
    let now = start();
    let late = QueuedRequest {
        on_time: false,
        ..waiter(1, now + ms(100))
    };
    room.enqueue(now, late);
    room.enqueue(now, waiter(2, now + ms(300)));
    room.enqueue(now, waiter(3, now + ms(200)));

    let order: Vec<u64> = room.iter().map(|w| w.id).collect();

    assert_eq!(order, [3, 2, 1]);
}

#[test]
fn the_more_urgent_rank_goes_first() {
    let mut room = room();
    let now = start();
    room.enqueue(now, waiter(1, now + ms(100)));
    let urgent = QueuedRequest {
        priority: 0,
        ..waiter(2, now + ms(300))
    };
    room.enqueue(now, urgent);

    let order: Vec<u64> = room.iter().map(|w| w.id).collect();

    assert_eq!(order, [2, 1]);
}

/// Load pattern: twice as many requests arrive as can begin. Whoever would wait
/// beyond the limit is told at once instead of waiting in vain.
#[test]
fn a_request_that_cannot_begin_in_time_is_refused_at_once() {
    let mut room = room();
    let mut now = start();
    let (mut expired, mut refused, mut id) = (0, 0, 0);

    for step in 0..2000_u64 {
        now = start() + ms(step);
        expired += room.expire(now).len();
        if step % 10 == 0 {
            id += 1;
            if room.enqueue(now, waiter(id, now + ms(200))) != EnqueueResult::Queued {
                refused += 1;
            }
        }
        if step % 20 == 0 {
            room.take(now, 0);
        }
    }

    assert!(refused > 60, "refused {refused} of 200");
    assert!(expired < refused, "expired {expired}, refused {refused}");
    assert!(room.retry_after(now) >= ms(1000));
}

#[test]
fn requests_that_waited_too_long_are_let_go() {
    let mut room = room();
    let now = start();
    room.enqueue(now, waiter(1, now + ms(100)));
    room.enqueue(now, waiter(2, now + ms(300)));

    let gone = room.expire(now + ms(150));

    let gone: Vec<u64> = gone.iter().map(|w| w.id).collect();
    assert_eq!(gone, [1]);
    assert_eq!(room.len(), 1);
}

#[test]
fn a_full_room_refuses() {
    let mut room = RequestQueue::new(QueueLimits { capacity: 1 });
    let now = start();
    room.enqueue(now, waiter(1, now + ms(100)));

    let second = room.enqueue(now, waiter(2, now + ms(100)));

    assert!(matches!(second, EnqueueResult::Refused { .. }));
}
