use std::time::Duration;

/// Completions that raise the limit by one.
const COMPLETIONS_PER_STEP: usize = 2;
/// A recent service time this many times the usual one means a cold upstream.
const COLD_FACTOR: u32 = 4;
/// Service times below this never mean a cold upstream.
const COLD_FLOOR: Duration = Duration::from_millis(20);
/// Successive slow completions that mean a cold upstream.
const SLOW_RUN: usize = 3;

/// Bounds of an upstream's limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LimitRange {
    /// Limit right after a start.
    pub cold: usize,
    /// Limit once warm.
    pub warm: usize,
}

/// Whether a request may start.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admit {
    /// It counts as in flight from now on.
    Run,
    /// The upstream bears no more now.
    Full,
}

/// How a request in flight ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RunEnd {
    /// The upstream answered after this time.
    Completed(Duration),
    /// The caller cancelled it.
    Cancelled,
    /// The upstream broke.
    Failed,
}

/// Limits the requests in flight at one upstream.
///
/// Starts at the cold limit, grows with completed work while the limit is in
/// use, and returns to the cold limit when the upstream restarts, breaks or
/// becomes much slower than usual.
#[derive(Debug, Clone)]
pub struct ConcurrencyLimit {
    range: LimitRange,
    current: usize,
    in_flight: usize,
    credit: usize,
    slow: usize,
    service_time: Duration,
}

impl ConcurrencyLimit {
    /// The limit of an upstream that has just started.
    pub fn new(range: LimitRange) -> Self {
        ConcurrencyLimit {
            range,
            current: range.cold,
            in_flight: 0,
            credit: 0,
            slow: 0,
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

    /// Usual service time; zero before the first completion.
    pub fn service_time(&self) -> Duration {
        self.service_time
    }

    /// Takes over changed bounds from the configuration.
    pub fn set_range(&mut self, range: LimitRange) {
        self.range = range;
        self.current = self.current.clamp(range.cold, range.warm);
    }

    /// Asks to start a request.
    pub fn begin(&mut self) -> Admit {
        if self.in_flight >= self.current {
            return Admit::Full;
        }
        self.in_flight += 1;
        Admit::Run
    }

    /// Records the end of a request that was admitted.
    pub fn end(&mut self, how: RunEnd) {
        let saturated = self.in_flight * 2 >= self.current;
        self.in_flight = self.in_flight.saturating_sub(1);
        match how {
            RunEnd::Completed(took) => self.complete(took, saturated),
            RunEnd::Cancelled => {}
            RunEnd::Failed => self.reset(),
        }
    }

    /// Returns to the cold limit. Requests in flight stay counted.
    pub fn reset(&mut self) {
        self.current = self.range.cold;
        self.credit = 0;
        self.slow = 0;
    }

    fn complete(&mut self, took: Duration, saturated: bool) {
        if self.is_slow(took) {
            self.slow += 1;
            if self.slow >= SLOW_RUN {
                self.reset();
                // The slow time becomes the usual one, or a lasting change
                // would hold the limit down for good.
                self.service_time = took;
            }
            return;
        }
        self.slow = 0;
        self.service_time = match self.service_time {
            Duration::ZERO => took,
            average => (average * 7 + took) / 8,
        };
        if saturated {
            self.grow();
        }
    }

    fn is_slow(&self, took: Duration) -> bool {
        !self.service_time.is_zero() && took > COLD_FLOOR && took > self.service_time * COLD_FACTOR
    }

    fn grow(&mut self) {
        self.credit += 1;
        if self.credit >= COMPLETIONS_PER_STEP {
            self.credit = 0;
            self.current = (self.current + 1).min(self.range.warm);
        }
    }
}
