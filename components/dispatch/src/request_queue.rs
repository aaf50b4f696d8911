use std::time::Duration;

use domain::{AccountId, Moment};

use crate::Requirements;

/// Weight of the newest interval in the mean interval between starts.
const GAP_WEIGHT: f64 = 0.1;
/// Time without a start after which the mean interval is no longer valid.
const GAP_MEMORY: Duration = Duration::from_secs(2);
/// Shortest advised retry time: bursts last longer, and it exceeds the variation of
/// callers' timeouts, so that a later attempt is recognised as a retry.
const MIN_RETRY: Duration = Duration::from_millis(1000);
/// Longest advised retry time; callers retry within a third of the time that they
/// have left.
const MAX_RETRY: Duration = Duration::from_millis(1900);

/// Limits of a request queue.
#[derive(Debug, Clone, Copy)]
pub struct QueueLimits {
    /// Most requests waiting.
    pub capacity: usize,
}

/// A request in the queue.
#[derive(Debug, Clone)]
pub struct QueuedRequest {
    /// Number of the request.
    pub id: u64,
    /// Priority, 0 first.
    pub priority: u8,
    /// Rank among priorities: its own, or a higher one of which it gets a share.
    pub rank: u8,
    /// Level of its account among those of the same rank, 0 first.
    pub level: u8,
    /// Account of its caller, if any.
    pub account: Option<AccountId>,
    /// Latest moment at which it may still be started.
    pub start_by: Moment,
    /// Whether its response can still be on time.
    pub on_time: bool,
    /// Whether its response has begun.
    pub begun: bool,
    /// Whether it has been counted as held back for a higher priority.
    pub held: bool,
    /// What it requires of an upstream.
    pub needs: Requirements,
}

/// Outcome of adding a request to the queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EnqueueResult {
    /// It waits.
    Queued,
    /// The queue is full, or the request would wait beyond its latest start.
    Refused {
        /// Time after which the caller should retry.
        retry_after: Duration,
    },
}

/// The requests of one service that wait for a free slot at an upstream.
///
/// In a burst, more requests arrive than upstreams can start. A request that cannot
/// be started by its latest moment is refused at once. Requests that can be on time
/// go first, then by rank among priorities, then those whose response has begun, then by the
/// level of their account, then by latest start.
#[derive(Debug)]
pub struct RequestQueue {
    limits: QueueLimits,
    waiting: Vec<QueuedRequest>,
    /// Mean interval between starts while requests wait, in seconds.
    mean_gap: Option<f64>,
    /// Since when requests have been waiting.
    waiting_since: Moment,
    /// When a request was last started.
    last_start: Option<Moment>,
}

impl RequestQueue {
    /// An empty queue.
    pub fn new(limits: QueueLimits) -> Self {
        RequestQueue {
            limits,
            waiting: Vec::new(),
            mean_gap: None,
            waiting_since: Duration::ZERO,
            last_start: None,
        }
    }

    /// Requests waiting.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Adds a request, or refuses it if the expected wait is too long.
    pub fn enqueue(&mut self, now: Moment, queued: QueuedRequest) -> EnqueueResult {
        let ahead = self
            .waiting
            .iter()
            .filter(|w| goes_before(w, &queued))
            .count();
        // The next in line ignores the estimate: after a silence of the upstreams it would
        // refuse every request, and no start could correct it.
        let wait = match ahead {
            0 => Duration::ZERO,
            _ => self.expected_wait(now, ahead),
        };
        if self.waiting.len() >= self.limits.capacity || now + wait > queued.start_by {
            return EnqueueResult::Refused {
                retry_after: self.retry_after(now),
            };
        }
        if self.is_empty() {
            self.waiting_since = now;
        }
        let index = self.waiting.partition_point(|w| goes_before(w, &queued));
        self.waiting.insert(index, queued);
        EnqueueResult::Queued
    }

    /// The waiting requests in queue order.
    pub fn iter(&self) -> impl Iterator<Item = &QueuedRequest> + Clone {
        self.waiting.iter()
    }

    /// The request at an index of the queue, mutable.
    pub fn get_mut(&mut self, index: usize) -> Option<&mut QueuedRequest> {
        self.waiting.get_mut(index)
    }

    /// The waiting requests in queue order, mutable.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = &mut QueuedRequest> {
        self.waiting.iter_mut()
    }

    /// Removes the request at an index of the queue, which is about to be started.
    pub fn take(&mut self, now: Moment, index: usize) -> Option<QueuedRequest> {
        let queued = (index < self.waiting.len()).then(|| self.waiting.remove(index))?;
        if let Some(last) = self.last_start {
            let since = last.max(self.waiting_since);
            let gap = now.saturating_sub(since).as_secs_f64();
            self.mean_gap = Some(match self.mean_gap {
                Some(mean) => mean * (1.0 - GAP_WEIGHT) + gap * GAP_WEIGHT,
                None => gap,
            });
        }
        self.record_start(now);
        Some(queued)
    }

    /// Records that a request was started.
    pub fn record_start(&mut self, now: Moment) {
        self.last_start = Some(now);
    }

    /// Removes a request; returns false when it was not waiting.
    pub fn remove(&mut self, id: u64) -> bool {
        let before = self.waiting.len();
        self.waiting.retain(|w| w.id != id);
        before > self.waiting.len()
    }

    /// Removes and returns the requests that waited for too long.
    pub fn expire(&mut self, now: Moment) -> Vec<QueuedRequest> {
        let expired = |w: &mut QueuedRequest| w.start_by <= now;
        self.waiting.extract_if(.., expired).collect()
    }

    /// Time after which a refused caller should retry.
    pub fn retry_after(&self, now: Moment) -> Duration {
        spread_retry(self.expected_wait(now, self.waiting.len()) + MIN_RETRY)
    }

    fn expected_wait(&self, now: Moment, ahead: usize) -> Duration {
        let current = self
            .last_start
            .is_some_and(|last| now.saturating_sub(last) < GAP_MEMORY);
        match self.mean_gap {
            Some(gap) if current => {
                let starts = f64::from(u32::try_from(ahead + 1).unwrap_or(u32::MAX));
                Duration::from_secs_f64((gap * starts).min(3600.0))
            }
            _ => Duration::ZERO,
        }
    }
}

/// Time after which a caller should retry that must not do so before `wait`, so that not
/// all callers return at once.
pub(crate) fn spread_retry(wait: Duration) -> Duration {
    let spread = Duration::from_millis(fastrand::u64(0..500));
    wait.max(MIN_RETRY).saturating_add(spread).min(MAX_RETRY)
}

fn goes_before(a: &QueuedRequest, b: &QueuedRequest) -> bool {
    let rank = |w: &QueuedRequest| (!w.on_time, w.rank, !w.begun, w.level, w.start_by);
    rank(a) <= rank(b)
}
