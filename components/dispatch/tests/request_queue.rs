//! The queue of a service.

mod fixture;

use dispatch::{EnqueueResult, QueueLimits, QueuedRequest, RequestQueue, Requirements};
use domain::Moment;
use fixture::{ms, start};

fn queue() -> RequestQueue {
    RequestQueue::new(QueueLimits { capacity: 64 })
}

fn request(id: u64, start_by: Moment) -> QueuedRequest {
    QueuedRequest {
        id,
        priority: 1,
        rank: 1,
        level: 0,
        account: None,
        start_by,
        on_time: true,
        begun: false,
        held: false,
        needs: Requirements::default(),
    }
}

#[test]
fn request_that_can_be_on_time_goes_before_late_one() {
    let mut queue = queue();
    let now = start();
    let late = QueuedRequest {
        on_time: false,
        ..request(1, now + ms(100))
    };
    queue.enqueue(now, late);
    queue.enqueue(now, request(2, now + ms(300)));
    queue.enqueue(now, request(3, now + ms(200)));

    let order: Vec<u64> = queue.iter().map(|w| w.id).collect();

    assert_eq!(order, [3, 2, 1]);
}

#[test]
fn higher_priority_goes_first() {
    let mut queue = queue();
    let now = start();
    queue.enqueue(now, request(1, now + ms(100)));
    let urgent = QueuedRequest {
        rank: 0,
        ..request(2, now + ms(300))
    };
    queue.enqueue(now, urgent);

    let order: Vec<u64> = queue.iter().map(|w| w.id).collect();

    assert_eq!(order, [2, 1]);
}

/// Streams whose upstream broke were cut for requests that nothing had been done for.
#[test]
fn begun_request_goes_after_others_of_its_priority() {
    let mut queue = queue();
    let now = start();
    let urgent = QueuedRequest {
        rank: 0,
        ..request(1, now + ms(900))
    };
    let begun = |id, start_by| QueuedRequest {
        begun: true,
        ..request(id, start_by)
    };
    let late = QueuedRequest {
        on_time: false,
        ..begun(2, now + ms(100))
    };
    queue.enqueue(now, late);
    queue.enqueue(now, request(3, now + ms(200)));
    queue.enqueue(now, begun(4, now + ms(800)));
    queue.enqueue(now, begun(5, now + ms(700)));
    queue.enqueue(now, urgent);

    let order: Vec<u64> = queue.iter().map(|w| w.id).collect();

    assert_eq!(order, [1, 5, 4, 3, 2]);
}

/// Twice as many requests arrive as can start. A request that cannot start in
/// time is refused at once instead of expiring in the queue.
#[test]
fn request_that_cannot_start_in_time_is_refused_at_once() {
    let mut queue = queue();
    let mut now = start();
    let (mut expired, mut refused, mut id) = (0, 0, 0);

    for step in 0..2000_u64 {
        now = start() + ms(step);
        expired += queue.expire(now).len();
        if step % 10 == 0 {
            id += 1;
            if queue.enqueue(now, request(id, now + ms(200))) != EnqueueResult::Queued {
                refused += 1;
            }
        }
        if step % 20 == 0 {
            queue.take(now, 0);
        }
    }

    assert!(refused > 60, "refused {refused} of 200");
    assert!(expired < refused, "expired {expired}, refused {refused}");
    assert!(queue.retry_after(now) >= ms(1000));
}

#[test]
fn request_past_its_latest_start_expires() {
    let mut queue = queue();
    let now = start();
    queue.enqueue(now, request(1, now + ms(100)));
    queue.enqueue(now, request(2, now + ms(300)));

    let expired = queue.expire(now + ms(150));

    let expired: Vec<u64> = expired.iter().map(|w| w.id).collect();
    assert_eq!(expired, [1]);
    assert_eq!(queue.len(), 1);
}

#[test]
fn full_queue_refuses() {
    let mut queue = RequestQueue::new(QueueLimits { capacity: 1 });
    let now = start();
    queue.enqueue(now, request(1, now + ms(100)));

    let second = queue.enqueue(now, request(2, now + ms(100)));

    assert!(matches!(second, EnqueueResult::Refused { .. }));
}

/// The estimate of the wait after a silence of the upstreams refused every request that found no
/// free slot, and only requests that waited could correct it.
#[test]
fn requests_are_queued_again_after_a_silence() {
    let mut queue = queue();
    let silence = start() + ms(1800);
    queue.record_start(start());
    for id in 1..=2 {
        queue.enqueue(silence - ms(100), request(id, silence + ms(200)));
    }
    queue.take(silence, 0);
    queue.take(silence, 0);

    let mut refused = 0;
    for id in 3..=102 {
        let now = silence + ms(30 * id);
        if queue.enqueue(now, request(id, now + ms(300))) != EnqueueResult::Queued {
            refused += 1;
        }
        queue.record_start(now);
        queue.take(now + ms(15), 0);
    }

    assert_eq!(refused, 0, "of 100");
}
