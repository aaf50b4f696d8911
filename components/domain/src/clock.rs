use std::time::Duration;

use rustix::time::{ClockId, clock_gettime};

/// Time since the VM booted. It goes on while the VM is suspended, so the age
/// of knowledge stays true.
pub type Moment = Duration;

/// Whole milliseconds of a time, for logs and messages.
pub fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}

/// The present moment.
pub fn now() -> Moment {
    let t = clock_gettime(ClockId::Boottime);
    let secs = u64::try_from(t.tv_sec).unwrap_or(0);
    let nanos = u32::try_from(t.tv_nsec).unwrap_or(0);
    Duration::new(secs, nanos)
}
