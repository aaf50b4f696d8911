use std::time::{Duration, SystemTime, UNIX_EPOCH};

use rustix::time::{ClockId, clock_gettime};

/// Monotonic time since the VM booted. It includes the time for which the VM was
/// suspended, so that the computed age of records is correct after a resume.
pub type Moment = Duration;

/// Converts a duration to whole milliseconds, for logs and messages.
pub fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}

/// Current time since boot.
pub fn now() -> Moment {
    let t = clock_gettime(ClockId::Boottime);
    let secs = u64::try_from(t.tv_sec).unwrap_or(0);
    let nanos = u32::try_from(t.tv_nsec).unwrap_or(0);
    Duration::new(secs, nanos)
}

/// Current time in milliseconds of Unix time, which the platform can step. It is only
/// compared with starts that other processes state.
pub fn unix_ms() -> u64 {
    let time = SystemTime::now().duration_since(UNIX_EPOCH);
    time.map_or(0, millis)
}
