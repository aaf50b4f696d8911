use std::time::Duration;

/// Completions that raise the limit by one.
const COMPLETIONS_PER_STEP: usize = 2;
/// A service time above this multiple of the typical one is slow.
const SLOW_FACTOR: u32 = 4;
/// Service times up to this are never slow.
const SLOW_FLOOR: Duration = Duration::from_millis(20);
/// Successive slow completions after which the upstream counts as cold.
const MAX_SLOW: usize = 3;

/// Bounds of the limit of an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LimitRange {
    /// Limit right after a start.
    pub cold: usize,
    /// Limit of a warm upstream.
    pub warm: usize,
}

/// Whether a request may start.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admit {
    /// It may, and counts as in flight from now on.
    Run,
    /// The upstream is at its limit.
    Full,
}

/// How a request in flight ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RunEnd {
    /// The upstream responded after this time.
    Completed(Duration),
    /// The caller cancelled it.
    Cancelled,
    /// The exchange with the upstream failed.
    Failed,
}

/// Limits the requests in flight at one upstream.
///
/// Starts at the cold limit, grows with completed work while the limit is in
/// use, and returns to the cold limit when the upstream restarts, fails or becomes
/// much slower than before.
#[derive(Debug, Clone)]
pub struct ConcurrencyLimit {
    range: LimitRange,
    current: usize,
    in_flight: usize,
    completions: usize,
    slow_completions: usize,
    service_time: Duration,
}

impl ConcurrencyLimit {
    /// The limit of an upstream that has just started.
    pub fn new(range: LimitRange) -> Self {
        ConcurrencyLimit {
            range,
            current: range.cold,
            in_flight: 0,
            completions: 0,
            slow_completions: 0,
            service_time: Duration::ZERO,
        }
    }

    /// Most requests that may be in flight.
    pub fn current(&self) -> usize {
        self.current
    }

    /// Requests in flight.
    pub fn in_flight(&self) -> usize {
        self.in_flight
    }

    /// Typical service time; zero before the first completion.
    pub fn service_time(&self) -> Duration {
        self.service_time
    }

    /// Sets the bounds.
    pub fn set_range(&mut self, range: LimitRange) {
        self.range = range;
        self.current = self.current.clamp(range.cold, range.warm);
    }

    /// Starts a request if the limit allows it.
    pub fn begin(&mut self) -> Admit {
        if self.in_flight >= self.current {
            return Admit::Full;
        }
        self.in_flight += 1;
        Admit::Run
    }

    /// Records the end of a request that was admitted.
    pub fn end(&mut self, run_end: RunEnd) {
        let saturated = self.in_flight * 2 >= self.current;
        self.in_flight = self.in_flight.saturating_sub(1);
        match run_end {
            RunEnd::Completed(took) => self.complete(took, saturated),
            RunEnd::Cancelled => {}
            RunEnd::Failed => self.reset(),
        }
    }

    /// Returns to the cold limit. Requests in flight stay counted.
    pub fn reset(&mut self) {
        self.current = self.range.cold;
        self.completions = 0;
        self.slow_completions = 0;
    }

    fn complete(&mut self, took: Duration, saturated: bool) {
        if self.is_slow(took) {
            self.slow_completions += 1;
            if self.slow_completions >= MAX_SLOW {
                self.reset();
                // This becomes the typical service time; otherwise a lasting slowdown
                // would keep the limit low permanently.
                self.service_time = took;
            }
            return;
        }
        self.slow_completions = 0;
        self.service_time = match self.service_time {
            Duration::ZERO => took,
            average => (average * 7 + took) / 8,
        };
        if saturated {
            self.grow();
        }
    }

    fn is_slow(&self, took: Duration) -> bool {
        !self.service_time.is_zero() && took > SLOW_FLOOR && took > self.service_time * SLOW_FACTOR
    }

    fn grow(&mut self) {
        self.completions += 1;
        if self.completions >= COMPLETIONS_PER_STEP {
            self.completions = 0;
            self.current = (self.current + 1).min(self.range.warm);
        }
    }
}
