use std::time::{Duration, Instant};

/// Clock of a process; decisions take its time as an argument.
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
    /// Time since the clock was created.
    pub fn now(&self) -> Duration {
        self.start.elapsed()
    }
}
