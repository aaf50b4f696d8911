use std::time::Duration;

use domain::RequestKind;

/// Wait for an event of a stream after which it is resumed at another upstream; callers give
/// up after two seconds at the earliest.
pub const STREAM_SILENCE: Duration = Duration::from_millis(1500);
/// Wait for a response after which a retryable request is sent to another upstream too.
const SAFE_SILENCE: Duration = Duration::from_millis(450);

/// Wait for the response to an unsafe request after which it is checked whether its upstream
/// has crashed.
pub const UNSAFE_SILENCE: Duration = Duration::from_millis(900);

/// Wait for a response after which its upstream counts as silent; `None` if it may take
/// until the deadline.
pub fn silence_limit(kind: RequestKind) -> Option<Duration> {
    match kind {
        RequestKind::Safe => Some(SAFE_SILENCE),
        RequestKind::Unsafe => None,
        RequestKind::Stream { .. } => Some(STREAM_SILENCE),
    }
}
