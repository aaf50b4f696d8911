//! The pace of heartbeats.

use std::time::Duration;

use fleet::Pace;

/// Life of a ticket; an upstream must not be open with a ticket that has expired.
const TICKET_TTL: Duration = Duration::from_secs(10);
/// The letter's budget for all control traffic of a node, bytes a second.
const BUDGET: f64 = 6_000.0;
/// Bytes of one heartbeat and its answer as measured by `cargo trial -- slopes`, rounded up.
const BYTES: f64 = 400.0;

#[test]
fn silence_is_longer_than_two_heartbeats_and_shorter_than_a_ticket() {
    for known in 0..2000 {
        let pace = Pace::of(known);
        assert!(pace.silence * 2 >= pace.every * 3, "{known}: {pace:?}");
        assert!(pace.silence < TICKET_TTL, "{known}: {pace:?}");
    }
}

#[test]
fn sixty_known_agents_stay_inside_the_budget() {
    for known in 1..=60_u32 {
        let pace = Pace::of(usize::try_from(known).unwrap());
        let spent = f64::from(known) * BYTES / pace.every.as_secs_f64();
        assert!(spent <= BUDGET, "{known}: {spent} bytes a second");
    }
}
