use std::time::{Duration, Instant};

/// Time since the start of the process, as decisions are told it.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    start: Instant,
}

impl Default for Clock {
    fn default() -> Self {
        Clock {
            start: Instant::now(),
        }
    }
}

impl Clock {
    /// Time since the start.
    pub fn now(&self) -> Duration {
        self.start.elapsed()
    }
}
