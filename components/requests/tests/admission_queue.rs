//! The queue of a service at an entry.

use std::collections::HashSet;
use std::time::Duration;

use requests::{AdmissionQueue, Arrival, Dequeued, EnqueueResult, QueueLimits, QueuedRequest};
use testkit::check_seeds;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn queue(size: usize) -> AdmissionQueue {
    AdmissionQueue::new(QueueLimits { capacity: size })
}

fn arrival(id: u64, account: &str, share: u32) -> Arrival {
    Arrival {
        id,
        account: account.into(),
        share,
        priority: 5,
        deadline: ms(60_000),
    }
}

fn enqueue_all(queue: &mut AdmissionQueue, arrivals: impl IntoIterator<Item = Arrival>) {
    for a in arrivals {
        assert_eq!(
            queue.enqueue(ms(0), a),
            EnqueueResult::Queued { displaced: None }
        );
    }
}

/// Dequeues all requests, one every `step`.
fn drain(queue: &mut AdmissionQueue, step: Duration) -> Vec<Arrival> {
    let mut now = ms(0);
    std::iter::from_fn(|| {
        now += step;
        queue.dequeue(now).map(|d| request_of(d).arrival)
    })
    .collect()
}

fn request_of(dequeued: Dequeued) -> QueuedRequest {
    match dequeued {
        Dequeued::Start(w) | Dequeued::Late(w) => w,
    }
}

#[test]
fn a_large_account_does_not_starve_a_small_one() {
    let mut queue = queue(2000);
    enqueue_all(&mut queue, (0..1000).map(|i| arrival(i, "large", 1)));
    enqueue_all(&mut queue, [arrival(5000, "small", 1)]);

    let order = drain(&mut queue, ms(1));

    let position = order.iter().position(|a| a.account == "small").unwrap();
    assert!(position <= 2, "small account at position {position}");
}

#[test]
fn accounts_are_served_by_their_shares() {
    let mut queue = queue(2000);
    enqueue_all(&mut queue, (0..300).map(|i| arrival(i, "three", 3)));
    enqueue_all(&mut queue, (1000..1300).map(|i| arrival(i, "one", 1)));

    let first: Vec<_> = drain(&mut queue, ms(1)).into_iter().take(100).collect();

    let three = first.iter().filter(|a| a.account == "three").count();
    assert!((74..=76).contains(&three), "{three} of 100");
}

#[test]
fn within_an_account_priority_goes_before_deadline() {
    let mut queue = queue(10);
    let request = |id, priority, deadline| Arrival {
        priority,
        deadline: ms(deadline),
        ..arrival(id, "a", 1)
    };
    enqueue_all(
        &mut queue,
        [
            request(1, 5, 9000),
            request(2, 5, 8000),
            request(3, 9, 9500),
        ],
    );

    let order: Vec<u64> = drain(&mut queue, ms(1)).iter().map(|a| a.id).collect();

    assert_eq!(order, [3, 2, 1]);
}

#[test]
fn a_request_that_would_miss_its_deadline_is_refused() {
    let mut queue = queue(1000);
    let urgent = |i| Arrival {
        priority: 9,
        ..arrival(i, "a", 1)
    };
    enqueue_all(&mut queue, (0..100).map(urgent));
    // One request completes every 50 ms. Each is requeued once, as after a refusal by
    // its upstream; an estimate from starts would expect half the wait.
    for i in 1..=20 {
        let queued = request_of(queue.dequeue(ms(50 * i)).unwrap());
        queue.requeue(queued);
        queue.dequeue(ms(50 * i));
        queue.record_completion(ms(50 * i), ms(100));
    }

    let late = Arrival {
        deadline: ms(1000 + 500),
        ..arrival(999, "a", 1)
    };
    let EnqueueResult::Refused { retry_after } = queue.enqueue(ms(1000), late) else {
        panic!("80 requests of 50 ms are ahead");
    };

    assert!(retry_after >= ms(3000), "{retry_after:?}");
}

#[test]
fn a_full_queue_displaces_a_request_of_the_largest_account() {
    let mut queue = queue(10);
    enqueue_all(&mut queue, (0..10).map(|i| arrival(i, "large", 1)));

    let result = queue.enqueue(ms(0), arrival(100, "small", 1));

    assert!(matches!(result, EnqueueResult::Queued { displaced: Some(id) } if id < 10));
    let result = queue.enqueue(ms(0), arrival(101, "large", 1));
    assert!(matches!(result, EnqueueResult::Refused { .. }));
    assert_eq!(queue.len(), 10);
}

#[test]
fn expired_requests_leave_the_queue() {
    let mut queue = queue(10);
    let soon = Arrival {
        deadline: ms(50),
        ..arrival(1, "a", 1)
    };
    enqueue_all(&mut queue, [soon, arrival(2, "a", 1)]);

    let expired: Vec<u64> = queue.expire(ms(51)).iter().map(|w| w.arrival.id).collect();

    assert_eq!(expired, [1]);
    assert_eq!(queue.len(), 1);
}

/// A request sent with too little time left times out, and the timeout counts as a
/// failure of its upstream.
#[test]
fn a_request_without_time_left_does_not_start() {
    let mut queue = queue(10);
    let soon = Arrival {
        deadline: ms(500),
        ..arrival(1, "a", 1)
    };
    enqueue_all(&mut queue, [soon]);
    queue.record_completion(ms(0), ms(400));

    let dequeued = queue.dequeue(ms(200)).unwrap();

    assert!(matches!(dequeued, Dequeued::Late(_)));
}

/// A few responses delayed by a frozen process raise the estimated service time above
/// every deadline. An idle queue that applied it would refuse all requests from then
/// on.
#[test]
fn slow_responses_do_not_close_an_idle_queue() {
    let mut queue = queue(10);
    for took in [100, 2000, 2400] {
        queue.record_completion(ms(0), ms(took));
    }
    let request = Arrival {
        deadline: ms(2000),
        ..arrival(1, "a", 1)
    };

    let result = queue.enqueue(ms(1000), request);

    assert_eq!(result, EnqueueResult::Queued { displaced: None });
    assert!(matches!(queue.dequeue(ms(1000)), Some(Dequeued::Start(_))));
}

/// Every request leaves the queue exactly once: dequeued, displaced, expired or removed.
#[test]
fn no_request_is_lost_or_dequeued_twice() {
    check_seeds(1000, |u| {
        let mut queue = queue(u.int_in_range(1..=12)?);
        let mut waiting: HashSet<u64> = HashSet::new();
        let mut now = ms(0);
        for id in 0..u.int_in_range(1..=150)? {
            now += ms(u.int_in_range(0..=40)?);
            let account = *u.choose(&["a", "b", "c"])?;
            match u.int_in_range(0..=5)? {
                0..=2 => {
                    let a = Arrival {
                        priority: u.int_in_range(0..=9)?,
                        deadline: now + ms(u.int_in_range(0..=400)?),
                        ..arrival(id, account, u.int_in_range(1..=4)?)
                    };
                    if let EnqueueResult::Queued { displaced } = queue.enqueue(now, a) {
                        assert!(waiting.insert(id));
                        if let Some(id) = displaced {
                            assert!(waiting.remove(&id));
                        }
                    }
                }
                3 => {
                    if let Some(w) = queue.dequeue(now).map(request_of) {
                        assert!(waiting.remove(&w.arrival.id));
                        if u.arbitrary()? {
                            waiting.insert(w.arrival.id);
                            queue.requeue(w);
                        }
                    }
                }
                4 => {
                    for w in queue.expire(now) {
                        assert!(waiting.remove(&w.arrival.id));
                    }
                }
                _ => {
                    let target = u.int_in_range(0..=id)?;
                    if queue.remove(&account.into(), target) {
                        assert!(waiting.remove(&target));
                    }
                }
            }
            assert_eq!(queue.len(), waiting.len());
        }
        Ok(())
    });
}
