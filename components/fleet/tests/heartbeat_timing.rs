//! Interval, timeout and traffic of heartbeats.

use std::time::Duration;

use fleet::HeartbeatTiming;

/// Lifetime of a ticket; an upstream with an expired ticket must not receive runs.
const TICKET_TTL: Duration = Duration::from_secs(10);
/// Limit of the control traffic of a node, in bytes a second.
const BYTES_PER_SECOND: f64 = 6_000.0;
/// Bytes of a heartbeat and its reply, rounded up.
const HEARTBEAT_BYTES: f64 = 400.0;

#[test]
fn the_timeout_is_longer_than_the_interval_and_shorter_than_the_ticket_lifetime() {
    for agents in 0..2000 {
        let timing = HeartbeatTiming::for_agents(agents);
        assert!(
            timing.timeout * 2 >= timing.interval * 3,
            "{agents}: {timing:?}"
        );
        assert!(timing.timeout < TICKET_TTL, "{agents}: {timing:?}");
    }
}

#[test]
fn heartbeats_to_sixty_agents_stay_within_the_traffic_limit() {
    for agents in 1..=60_u32 {
        let timing = HeartbeatTiming::for_agents(usize::try_from(agents).unwrap());
        let spent = f64::from(agents) * HEARTBEAT_BYTES / timing.interval.as_secs_f64();
        assert!(
            spent <= BYTES_PER_SECOND,
            "{agents}: {spent} bytes a second"
        );
    }
}
