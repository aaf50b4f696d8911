//! Accounts of one priority in a shortage.

mod fixture;

use dispatch::{
    IncomingRequest, Placement, QueueLimits, RequestQueue, ServiceScheduler, UpstreamLoad,
};
use fixture::{ms, needs, pool, secs, start, upstream};

/// Shares of the requests of six accounts that are started, where the first sends `first` of
/// 100 requests and 60 arrive in a second at an engine that starts 40; `named` is whether they
/// carry their accounts.
fn started_shares(first: u64, named: bool) -> [f64; 6] {
    fastrand::seed(5);
    let queue = RequestQueue::new(QueueLimits { capacity: 256 });
    let mut scheduler = ServiceScheduler::new(pool(&[upstream("u", "a", Some(1))]), queue);
    scheduler.upstreams.get_mut("u").unwrap().own.requests = 16;
    let (mut arrived, mut started, mut accounts) = ([0_u32; 6], [0_u32; 6], Vec::new());
    for step in 0..20_000_u64 {
        let now = start() + ms(step);
        let mut ids = Vec::new();
        scheduler.expire(now);
        if fastrand::u64(0..1000) < 60 {
            let is_first = fastrand::u64(0..100) < first;
            let account = if is_first { 0 } else { fastrand::usize(1..6) };
            let id = u64::try_from(accounts.len()).unwrap();
            accounts.push(account);
            arrived[account] += 1;
            let request = IncomingRequest {
                id,
                priority: 1,
                account: named.then(|| account.to_string().into()),
                first_attempt: now,
                target_latency: ms(400),
                deadline: now + secs(6),
                begun: false,
                needs: needs(now),
            };
            let placement = scheduler.submit(now, request, |_| false);
            ids.extend(matches!(placement, Placement::Assigned(_)).then_some(id));
        }
        if step % 25 == 0 {
            let engine = scheduler.upstreams.get_mut("u").unwrap();
            engine.own = UpstreamLoad {
                requests: 15,
                prefill_tokens: 0,
            };
        }
        let assigned = scheduler.assign_queued(now, |_| Some(1), |_| false);
        ids.extend(assigned.iter().map(|a| a.id));
        for id in ids {
            started[accounts[usize::try_from(id).unwrap()]] += 1;
        }
    }
    std::array::from_fn(|a| f64::from(started[a]) / f64::from(arrived[a].max(1)))
}

/// The small accounts lost as large a part of their requests as the one that sent 85%.
#[test]
fn account_that_sends_most_takes_the_share_of_others() {
    let shares = started_shares(85, true);

    println!("{shares:?} {:?}", started_shares(85, false));
    assert!(shares[1..].iter().all(|s| *s >= 0.9), "{shares:?}");
    assert!(shares[0] >= 0.5, "{shares:?}");
}

#[test]
fn accounts_that_send_alike_change_the_order() {
    assert_eq!(started_shares(17, true), started_shares(17, false));
}
