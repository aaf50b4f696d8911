use std::time::Duration;

/// Bytes of one heartbeat and its answer, heads included.
const HEARTBEAT_BYTES: u64 = 400;
/// Bytes a second that an entry spends on heartbeats.
const BUDGET: u64 = 4_000;
/// Shortest time between two heartbeats to one agent.
const FASTEST: Duration = Duration::from_millis(500);
/// Longest time between two heartbeats to one agent.
const SLOWEST: Duration = Duration::from_secs(6);
/// Shortest silence that counts as a failure.
const MIN_SILENCE: Duration = Duration::from_secs(3);
/// Longest silence that does not; shorter than the life of a ticket.
const MAX_SILENCE: Duration = Duration::from_secs(9);

/// How often an entry sends heartbeats, and how long an agent may be silent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Pace {
    /// Time between two heartbeats to one agent.
    pub every: Duration,
    /// Silence after which an agent receives no new work.
    pub silence: Duration,
}

impl Pace {
    /// The pace of an entry that knows `known` agents, within its budget of bytes.
    pub fn of(known: usize) -> Self {
        let known = u64::try_from(known).unwrap_or(u64::MAX);
        let millis = known.saturating_mul(HEARTBEAT_BYTES * 1000) / BUDGET;
        let every = Duration::from_millis(millis).clamp(FASTEST, SLOWEST);
        Pace {
            every,
            silence: (every * 3).clamp(MIN_SILENCE, MAX_SILENCE),
        }
    }
}
