//! The scheduler of a service, in virtual time.

use std::time::Duration;

use async_channel::Receiver;
use config::Declaration;
use fleet::{Member, Role, VmState};
use protocol::{Availability, HeartbeatReply, Load, Ticket};
use requests::Arrival;
use wire::Outcome;

use super::ServiceScheduler;
use crate::grant::{Grant, Target};

const SERVICE: &str = "rota-desk";

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// A text with two failure domains, the second in service or not.
fn declaration(second_in_service: bool) -> Declaration {
    let text = serde_json::json!({
        "origin_region": "fife",
        "failure_domains": {
            "fife-a": { "region": "fife", "in_service": true },
            "fife-b": { "region": "fife", "in_service": second_in_service }
        },
        "client_accounts": { "parents": { "share": 1 } },
        "services": { SERVICE: {
            "limit": 2, "cold_limit": 1, "queue": 4, "deadline_ms": 1000,
            "routes": [{ "method": "POST", "path": "/swaps", "idempotent": false }]
        } }
    });
    Declaration::parse("test", &text.to_string()).unwrap()
}

fn member(vm: &str, domain: &str) -> Member {
    Member {
        vm: vm.into(),
        role: Role::Upstream,
        addr: ([127, 0, 0, 1], 1).into(),
        failure_domain: domain.into(),
        region: "fife".into(),
        service: SERVICE.into(),
        state: VmState::Live,
    }
}

fn load(limit: u32, in_flight: u32) -> Load {
    Load {
        limit,
        in_flight,
        service_us: 1000,
    }
}

fn reply(vm: &str, load: Load) -> HeartbeatReply {
    HeartbeatReply {
        vm: vm.into(),
        ticket: Ticket::default(),
        availability: Availability::Open,
        load,
        revision: 1,
        progress: None,
        crashes: Vec::new(),
    }
}

/// A scheduler that has heard at time 0 from one upstream in each failure domain.
fn scheduler(limit: u32) -> ServiceScheduler {
    let mut scheduler = ServiceScheduler::new(SERVICE.into(), "fife-a", "fife");
    scheduler.configure(&declaration(true));
    scheduler.set_silence(ms(3000));
    let (a, b) = (member("a", "fife-a"), member("b", "fife-b"));
    scheduler.set_members(&[&a, &b]);
    scheduler.heard(ms(0), reply("a", load(limit, 0)));
    scheduler.heard(ms(0), reply("b", load(limit, 0)));
    scheduler
}

fn offer(scheduler: &mut ServiceScheduler, now: Duration, id: u64) -> Receiver<Grant> {
    let arrival = Arrival {
        id,
        account: "parents".into(),
        share: 1,
        priority: 5,
        deadline: now + ms(1000),
    };
    scheduler.offer(now, arrival, None, Vec::new())
}

fn target(granted: &Receiver<Grant>) -> Option<Target> {
    match granted.try_recv() {
        Ok(Grant::Send(target)) => Some(target),
        _ => None,
    }
}

fn open(scheduler: &ServiceScheduler) -> Vec<String> {
    let status = scheduler.status();
    status
        .iter()
        .filter(|u| u.open)
        .map(|u| u.vm.to_string())
        .collect()
}

#[test]
fn a_drained_failure_domain_receives_nothing_new() {
    let mut scheduler = scheduler(8);

    scheduler.configure(&declaration(false));
    scheduler.tick(ms(1));

    assert_eq!(open(&scheduler), ["a"]);
    for id in 0..8 {
        assert_eq!(target(&offer(&mut scheduler, ms(1), id)).unwrap().vm, "a");
    }
}

#[test]
fn a_silent_or_leaving_upstream_receives_nothing_new() {
    let mut scheduler = scheduler(8);
    scheduler.heard(ms(2000), reply("a", load(8, 0)));
    scheduler.tick(ms(3500));
    assert_eq!(open(&scheduler), ["a"]);

    let leaving = Member {
        state: VmState::Leaving,
        ..member("a", "fife-a")
    };
    scheduler.set_members(&[&leaving]);
    scheduler.tick(ms(3500));
    assert!(open(&scheduler).is_empty());
}

#[test]
fn requests_wait_for_a_place_and_get_it_when_one_is_free() {
    let mut scheduler = scheduler(1);
    let first = target(&offer(&mut scheduler, ms(0), 1)).unwrap();
    target(&offer(&mut scheduler, ms(0), 2)).unwrap();
    let third = offer(&mut scheduler, ms(0), 3);
    assert!(third.is_empty());

    scheduler.finish(ms(10), first.key, Some(ms(10)));

    assert_eq!(target(&third).unwrap().key, first.key);
}

/// Failed before: the report left the exchange out or not by chance, and
/// entries sent more than there was room for.
#[test]
fn a_reply_counts_its_own_exchange_once() {
    let mut scheduler = scheduler(2);
    let first = target(&offer(&mut scheduler, ms(0), 1)).unwrap();

    // Nothing else is in flight there.
    scheduler.replied(ms(1), first.key, load(2, 0));

    let status = scheduler.status();
    let upstream = status.iter().find(|u| u.vm == first.vm).unwrap();
    assert_eq!(upstream.in_flight, 1);
}

#[test]
fn at_most_half_of_the_open_upstreams_are_avoided() {
    let mut scheduler = scheduler(8);
    let keys: Vec<u64> = (0..16)
        .map(|id| target(&offer(&mut scheduler, ms(0), id)).unwrap().key)
        .collect();

    for key in &keys {
        scheduler.failed(ms(1), *key);
    }
    for key in &keys {
        scheduler.finish(ms(1), *key, None);
    }

    assert!(target(&offer(&mut scheduler, ms(1), 99)).is_some());
}

#[test]
fn a_closed_service_refuses_at_once_and_says_when_to_come_back() {
    let mut scheduler = scheduler(8);
    scheduler.tick(ms(60_000));

    let granted = offer(&mut scheduler, ms(60_000), 1);

    let Ok(Grant::Refuse(problem)) = granted.try_recv() else {
        panic!("no upstream is open");
    };
    assert_eq!(problem.outcome, Outcome::NotRun);
    assert!(problem.retry_after.is_some());
}

#[test]
fn what_can_no_longer_be_answered_is_refused_on_the_tick() {
    let mut scheduler = scheduler(1);
    let keep: Vec<_> = (0..2).map(|id| offer(&mut scheduler, ms(0), id)).collect();
    let waiting = offer(&mut scheduler, ms(0), 9);

    scheduler.heard(ms(900), reply("a", load(1, 1)));
    scheduler.tick(ms(1001));

    assert!(matches!(waiting.try_recv(), Ok(Grant::Refuse(_))));
    drop(keep);
}

#[test]
fn a_caller_that_has_gone_leaves_the_queue() {
    let mut scheduler = scheduler(1);
    let keep: Vec<_> = (0..2).map(|id| offer(&mut scheduler, ms(0), id)).collect();
    let waiting = offer(&mut scheduler, ms(0), 9);
    assert_eq!(scheduler.waiting(), 1);

    scheduler.cancel(&"parents".into(), 9, &waiting);

    assert_eq!(scheduler.waiting(), 0);
    drop(keep);
}

/// Failed before: a caller that went away between the grant and its use kept
/// the place for ever.
#[test]
fn a_grant_that_was_not_used_gives_its_place_back() {
    let mut scheduler = scheduler(1);
    for id in 0..10 {
        let granted = offer(&mut scheduler, ms(0), id);
        assert!(!granted.is_empty());

        scheduler.cancel(&"parents".into(), id, &granted);
    }
}
