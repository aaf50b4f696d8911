use std::time::Duration;

/// Bytes of a heartbeat and its reply, with HTTP headers.
const HEARTBEAT_BYTES: u64 = 400;
/// Bytes a second that an entry may spend on heartbeats.
const BYTES_PER_SECOND: u64 = 4_000;
/// Shortest time between two heartbeats to one agent.
const MIN_INTERVAL: Duration = Duration::from_millis(500);
/// Longest time between two heartbeats to one agent.
const MAX_INTERVAL: Duration = Duration::from_secs(6);
/// Shortest timeout.
const MIN_TIMEOUT: Duration = Duration::from_secs(3);
/// Longest timeout; shorter than the lifetime of a ticket, so that no upstream is
/// used with an expired one.
const MAX_TIMEOUT: Duration = Duration::from_secs(9);

/// Interval and timeout of the heartbeats that an entry sends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HeartbeatTiming {
    /// Time between two heartbeats to one agent.
    pub interval: Duration,
    /// Time without a reply after which an agent receives no new runs.
    pub timeout: Duration,
}

impl HeartbeatTiming {
    /// Timing for an entry that monitors this many agents, within the budget
    /// of bytes as far as the longest interval allows.
    pub fn for_agents(agents: usize) -> Self {
        let agents = u64::try_from(agents).unwrap_or(u64::MAX);
        let millis = agents.saturating_mul(HEARTBEAT_BYTES * 1000) / BYTES_PER_SECOND;
        let interval = Duration::from_millis(millis).clamp(MIN_INTERVAL, MAX_INTERVAL);
        HeartbeatTiming {
            interval,
            timeout: (interval * 3).clamp(MIN_TIMEOUT, MAX_TIMEOUT),
        }
    }
}
