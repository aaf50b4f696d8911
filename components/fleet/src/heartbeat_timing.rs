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
pub struct HeartbeatTiming {
    /// Time between two heartbeats to one agent.
    pub interval: Duration,
    /// Silence after which an agent receives no new work.
    pub timeout: Duration,
}

impl HeartbeatTiming {
    /// The pace of an entry that knows `known` agents, within its budget of bytes.
    pub fn for_agents(agents: usize) -> Self {
        let agents = u64::try_from(agents).unwrap_or(u64::MAX);
        let millis = agents.saturating_mul(HEARTBEAT_BYTES * 1000) / BUDGET;
        let interval = Duration::from_millis(millis).clamp(FASTEST, SLOWEST);
        HeartbeatTiming {
            interval,
            timeout: (interval * 3).clamp(MIN_SILENCE, MAX_SILENCE),
        }
    }
}
