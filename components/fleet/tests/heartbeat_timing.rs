//! The pace of heartbeats.

use std::time::Duration;

use fleet::HeartbeatTiming;

/// Life of a ticket; an upstream must not be open with a ticket that has expired.
const TICKET_TTL: Duration = Duration::from_secs(10);
/// The letter's budget for all control traffic of a node, bytes a second.
const BUDGET: f64 = 6_000.0;
/// Bytes of one heartbeat and its answer as measured by `cargo trial -- slopes`, rounded up.
const BYTES: f64 = 400.0;

#[test]
fn silence_is_longer_than_two_heartbeats_and_shorter_than_a_ticket() {
    for known in 0..2000 {
        let timing = HeartbeatTiming::for_agents(known);
        assert!(
            timing.timeout * 2 >= timing.interval * 3,
            "{known}: {timing:?}"
        );
        assert!(timing.timeout < TICKET_TTL, "{known}: {timing:?}");
    }
}

#[test]
fn sixty_known_agents_stay_inside_the_budget() {
    for known in 1..=60_u32 {
        let timing = HeartbeatTiming::for_agents(usize::try_from(known).unwrap());
        let spent = f64::from(known) * BYTES / timing.interval.as_secs_f64();
        assert!(spent <= BUDGET, "{known}: {spent} bytes a second");
    }
}
