//! Upstreams that announce that they leave, or that they want no requests for some time.

mod fixture;

use std::sync::Arc;
use std::time::{Duration, Instant};

use fixture::{Deployment, declaration, order, read_response, serve, wait_until};
use smol::Timer;
use stand_ins::faults::Faults;
use stand_ins::plain_service::PlainService;

const TIMEOUT: Duration = Duration::from_secs(8);

/// A deployment before a plain service that runs `limit` requests at once.
async fn start(service_time: Duration, limit: u32) -> (Deployment, Arc<PlainService>) {
    let service = Arc::new(PlainService::new(service_time, true));
    let (addr, close) = serve(service.clone()).await;
    std::mem::forget(close);
    let deployment = Deployment::start(addr, &declaration(limit, TIMEOUT)).await;
    (deployment, service)
}

fn leaving() -> Faults {
    Faults {
        leaving: true,
        ..Faults::default()
    }
}

fn refusing(wait: &str) -> Faults {
    Faults {
        retry_after: Some(wait.to_owned()),
        ..Faults::default()
    }
}

fn runs(service: &PlainService) -> u32 {
    service.record().runs.values().sum()
}

async fn call(deployment: &Deployment, path: &str) -> String {
    let mut caller = deployment.send(path, &order("a")).await;
    read_response(&mut caller).await
}

fn is_not_run(response: &str) -> bool {
    response.starts_with("HTTP/1.1 503") && response.contains("outcome: not-run")
}

#[test]
fn upstream_that_leaves_gets_requests() {
    smol::block_on(async {
        let (deployment, service) = start(Duration::from_millis(300), 4).await;
        let mut first = deployment.send("/orders", &order("a")).await;
        wait_until(async || runs(&service) == 1).await;
        service.set_faults(leaving());
        let announced = read_response(&mut first).await;

        for _ in 0..20 {
            let response = call(&deployment, "/stock").await;
            assert!(is_not_run(&response), "{response:?}");
        }

        assert!(announced.starts_with("HTTP/1.1 200"), "{announced:?}");
        assert_eq!(runs(&service), 1);
        service.restart();
        deployment.await_open(true).await;
        let response = call(&deployment, "/stock").await;
        assert!(response.starts_with("HTTP/1.1 200"), "{response:?}");
    });
}

/// The request waits while the answer with the announcement arrives.
#[test]
fn waiting_request_is_sent_to_an_upstream_that_leaves() {
    smol::block_on(async {
        let (deployment, service) = start(Duration::from_secs(1), 1).await;
        let mut first = deployment.send("/orders", &order("a")).await;
        wait_until(async || runs(&service) == 1).await;
        let mut waiting = deployment.send("/orders", &order("b")).await;

        service.set_faults(leaving());
        let answered = read_response(&mut first).await;
        let refused = read_response(&mut waiting).await;

        assert!(answered.starts_with("HTTP/1.1 200"), "{answered:?}");
        assert!(is_not_run(&refused), "{refused:?}");
        assert_eq!(runs(&service), 1);
    });
}

#[test]
fn upstream_gets_requests_before_the_end_of_its_retry_after() {
    smol::block_on(async {
        let (deployment, service) = start(Duration::from_millis(5), 4).await;
        let wait = Duration::from_millis(2500);
        service.set_faults(refusing("2.5"));
        let turned_away = call(&deployment, "/orders").await;
        let start = Instant::now();
        service.set_faults(Faults::default());

        while start.elapsed() < wait - Duration::from_millis(300) {
            let response = call(&deployment, "/stock").await;
            assert!(is_not_run(&response), "{response:?}");
            Timer::after(Duration::from_millis(50)).await;
        }
        let during = runs(&service);
        let late = call(&deployment, "/stock").await;
        deployment.await_open(true).await;
        let took = start.elapsed();
        let after = call(&deployment, "/stock").await;

        assert!(turned_away.starts_with("HTTP/1.1 503"), "{turned_away:?}");
        assert!(turned_away.contains("retry-after: 2.5"), "{turned_away:?}");
        assert!(late.contains("retry-after: 1\r\n"), "{late:?}");
        assert_eq!(during, 0);
        assert!(took >= wait - Duration::from_millis(50), "{took:?}");
        assert!(after.starts_with("HTTP/1.1 200"), "{after:?}");
    });
}

/// Values that name no time fall back to the usual handling.
#[test]
fn unreadable_retry_after_stops_requests() {
    smol::block_on(async {
        let (deployment, service) = start(Duration::from_millis(5), 4).await;

        for (i, value) in ["soon", "-1", "", "0", "nan"].into_iter().enumerate() {
            service.set_faults(refusing(value));
            call(&deployment, "/orders").await;

            assert_eq!(service.record().refused as usize, i + 1, "{value:?}");
        }
        service.set_faults(Faults::default());
        let response = call(&deployment, "/orders").await;

        assert!(response.starts_with("HTTP/1.1 200"), "{response:?}");
    });
}

#[test]
fn new_start_of_an_upstream_is_bound_by_the_announcements_of_the_last() {
    smol::block_on(async {
        let (deployment, service) = start(Duration::from_millis(5), 4).await;
        service.set_faults(Faults {
            leaving: true,
            ..refusing("60")
        });
        call(&deployment, "/orders").await;
        deployment.await_open(false).await;

        service.restart();
        deployment.await_open(true).await;
        let response = call(&deployment, "/orders").await;

        assert!(response.starts_with("HTTP/1.1 200"), "{response:?}");
    });
}

/// Several requests were in flight or waited when the first of them was turned away.
#[test]
fn requests_in_the_queue_reach_an_upstream_that_wants_none() {
    smol::block_on(async {
        let (deployment, service) = start(Duration::from_millis(5), 2).await;
        service.set_faults(Faults {
            slow_ms: 200,
            ..refusing("5")
        });

        let mut callers = Vec::new();
        for _ in 0..8 {
            callers.push(deployment.send("/orders", &order("a")).await);
        }
        for caller in &mut callers {
            let response = read_response(caller).await;
            assert!(response.starts_with("HTTP/1.1 503"), "{response:?}");
        }

        // Two were in flight.
        assert!(service.record().refused <= 2, "{:?}", service.record());
    });
}
