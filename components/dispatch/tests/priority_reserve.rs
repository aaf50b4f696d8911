//! Requests of several priorities in a shortage: engines that cannot start all of them in time.

mod fixture;

use std::collections::VecDeque;

use dispatch::{
    IncomingRequest, Placement, QueueLimits, RequestQueue, Requirements, ServiceScheduler,
};
use domain::Moment;
use fixture::{ms, needs, pool, secs, start, upstream};

/// Prompt tokens and target latency in ms of the requests of each priority.
const CLASSES: [(u32, u64); 3] = [(827, 400), (647, 400), (1330, 1000)];
/// Prompt tokens that an engine processes in a millisecond.
const PREFILL_TOKENS: f64 = 20.7;
/// Time in ms for which a request keeps its slot after its prompt, 16 at an engine.
const HELD_TIME: u64 = 1000;

fn incoming(id: u64, now: Moment, priority: u8) -> IncomingRequest {
    let (prompt, target) = CLASSES[usize::from(priority)];
    IncomingRequest {
        id,
        priority,
        account: None,
        first_attempt: now,
        target_latency: ms(target),
        deadline: now + secs(6),
        begun: false,
        needs: Requirements {
            prompt_tokens: prompt,
            ..needs(now)
        },
    }
}

fn scheduler() -> ServiceScheduler {
    let upstreams = [upstream("u", "a", Some(1)), upstream("v", "a", Some(1))];
    let queue = RequestQueue::new(QueueLimits { capacity: 256 });
    ServiceScheduler::new(pool(&upstreams), queue)
}

/// Two engines, idle since a request of `priority` was lost while they were full.
fn scheduler_after_loss(priority: u8) -> ServiceScheduler {
    let mut scheduler = scheduler();
    for upstream in scheduler.upstreams.iter_mut() {
        upstream.own.requests = 16;
    }
    scheduler.submit(start(), incoming(1, start(), priority), |_| false);
    assert_eq!(scheduler.expire(start() + ms(990)), [1]);
    for upstream in scheduler.upstreams.iter_mut() {
        upstream.own.requests = 0;
    }
    scheduler
}

/// A prompt that an engine has not processed.
struct Prompt {
    priority: u8,
    tokens: f64,
    due: Moment,
}

/// Shares of the requests of each priority that were on time, while `rates` arrive in a second
/// for 20 s at two engines that can start about 30.
fn on_time_shares(rates: [u64; 3]) -> [f64; 3] {
    fastrand::seed(3);
    let mut scheduler = scheduler();
    let mut prompts: [VecDeque<Prompt>; 2] = Default::default();
    let mut slots: VecDeque<(Moment, usize)> = VecDeque::new();
    let (mut arrived, mut on_time) = ([0_u32; 3], [0_u32; 3]);
    let mut submitted = Vec::new();
    for step in 0..20_000_u64 {
        let now = start() + ms(step);
        let mut assigned = Vec::new();
        for priority in 0..3_u8 {
            let class = usize::from(priority);
            if fastrand::u64(0..1000) >= rates[class] {
                continue;
            }
            let id = u64::try_from(submitted.len()).unwrap();
            submitted.push((priority, now + ms(CLASSES[class].1)));
            arrived[class] += 1;
            let placement = scheduler.submit(now, incoming(id, now, priority), |_| false);
            if let Placement::Assigned(assignment) = placement {
                assigned.push(*assignment);
            }
        }
        while slots.front().is_some_and(|(end, _)| *end <= now) {
            let (_, engine) = slots.pop_front().unwrap();
            let id = ["u", "v"][engine];
            scheduler.upstreams.get_mut(id).unwrap().record_end();
        }
        for engine in 0..2 {
            let Some(prompt) = prompts[engine].front_mut() else {
                continue;
            };
            prompt.tokens -= PREFILL_TOKENS;
            if prompt.tokens > 0.0 {
                continue;
            }
            let done = prompts[engine].pop_front().unwrap();
            let class = usize::from(done.priority);
            on_time[class] += u32::from(now + ms(50) <= done.due);
            let pooled = scheduler.upstreams.get_mut(["u", "v"][engine]).unwrap();
            pooled.record_prefill(CLASSES[class].0);
            slots.push_back((now + ms(HELD_TIME), engine));
        }
        scheduler.expire(now);
        assigned.extend(scheduler.assign_queued(now, |_| Some(1), |_| false));
        for assignment in assigned {
            let (priority, due) = submitted[usize::try_from(assignment.id).unwrap()];
            let tokens = f64::from(CLASSES[usize::from(priority)].0);
            prompts[usize::from(assignment.upstream == "v")].push_back(Prompt {
                priority,
                tokens,
                due,
            });
        }
    }
    [0, 1, 2].map(|k| f64::from(on_time[k]) / f64::from(arrived[k].max(1)))
}

/// First suspected cause: in a shortage a request near its latest start was passed over for
/// one of a lower priority that had time to spare.
#[test]
fn rushed_request_waits_for_one_of_a_lower_priority() {
    let mut scheduler = scheduler();
    for upstream in scheduler.upstreams.iter_mut() {
        upstream.own.requests = 16;
    }
    let lost = IncomingRequest {
        target_latency: ms(300),
        ..incoming(1, start(), 0)
    };
    scheduler.submit(start(), lost, |_| false);
    scheduler.submit(start(), incoming(2, start(), 0), |_| false);
    scheduler.submit(start(), incoming(3, start(), 2), |_| false);
    assert_eq!(scheduler.expire(start() + ms(160)), [1]);
    scheduler.upstreams.get_mut("v").unwrap().record_end();

    let assigned = scheduler.assign_queued(start() + ms(170), |_| Some(1), |_| false);

    assert_eq!(assigned[0].id, 2);
}

/// Second suspected cause: requests with long targets filled the engines with prompts, behind
/// which no request with a short target could be on time.
#[test]
fn lower_priority_leaves_no_engine_for_a_higher_one_that_was_lost() {
    let mut scheduler = scheduler_after_loss(0);
    let now = start() + secs(1);
    for id in 10..20 {
        scheduler.submit(now, incoming(id, now, 2), |_| false);
    }

    let placement = scheduler.submit(now, incoming(30, now, 0), |_| false);

    let losses: Vec<(u8, u64)> = scheduler.reserve().losses().collect();
    assert!(matches!(placement, Placement::Assigned(_)), "{placement:?}");
    assert!(scheduler.reserve().held() > 0);
    assert_eq!(losses, [(0, 1), (2, 0)]);
}

/// Both causes under the load in which they were seen: of the priorities 0, 1 and 2, in the
/// rates of the workload, about 1.5 times what the engines can start.
#[test]
fn higher_priority_is_on_time_less_often_than_lower_one() {
    let shares = on_time_shares([30, 6, 9]);

    println!("{shares:?}");
    assert!(shares[0] > shares[1] && shares[1] > shares[2], "{shares:?}");
}

/// Kept room while nothing was lost, so that requests waited beside free slots.
#[test]
fn room_is_kept_for_a_priority_that_loses_nothing() {
    let now = start() + secs(1);
    let assigned = |mut scheduler: ServiceScheduler| {
        let placements = (10..30).map(|id| scheduler.submit(now, incoming(id, now, 2), |_| false));
        let assigned = placements.filter(|p| matches!(p, Placement::Assigned(_)));
        assigned.count()
    };

    let [without_loss, own_loss, higher_loss] = [
        assigned(scheduler()),
        assigned(scheduler_after_loss(2)),
        assigned(scheduler_after_loss(0)),
    ];

    assert_eq!(own_loss, without_loss);
    assert!(higher_loss < without_loss, "{higher_loss} {without_loss}");
}

/// Lower priorities got nothing where the highest one alone sends more than the engines can
/// start. Required: a quarter of the share of all.
#[test]
fn lower_priorities_starve_beside_a_higher_one() {
    for rates in [[60, 6, 9], [150, 20, 20]] {
        let shares = on_time_shares(rates);

        let rates = rates.map(|rate| rate as f64);
        let on_time: f64 = shares.iter().zip(rates).map(|(s, r)| s * r).sum();
        let all = on_time / rates.iter().sum::<f64>();
        println!("{shares:?} {all}");
        assert!(shares.iter().all(|s| *s >= all / 4.0), "{shares:?} {all}");
        assert!(shares[0] >= shares[1].max(shares[2]), "{shares:?}");
    }
}
