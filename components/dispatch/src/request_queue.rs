use std::time::Duration;

use domain::Moment;

use crate::Requirements;

/// Weight of the newest interval in the pace of the queue.
const PACE_WEIGHT: f64 = 0.1;
/// A queue that has not moved for this long has no known pace.
const PACE_MEMORY: Duration = Duration::from_secs(2);
/// Shortest advised wait: a burst lasts longer, and whoever comes back later
/// than callers' patience differs is known to come back.
const MIN_RETRY: Duration = Duration::from_millis(1000);
/// Longest advised wait; callers come back after at most a third of the time
/// that they have left.
const MAX_RETRY: Duration = Duration::from_millis(1900);

/// How long requests may wait in a room.
#[derive(Debug, Clone, Copy)]
pub struct QueueLimits {
    /// Most requests waiting.
    pub capacity: usize,
}

/// A request in the room.
#[derive(Debug, Clone)]
pub struct QueuedRequest {
    /// Number of the request.
    pub id: u64,
    /// Rank, 0 first.
    pub priority: u8,
    /// Moment after which starting it makes no sense.
    pub start_by: Moment,
    /// The request can still be answered on time.
    pub on_time: bool,
    /// What it needs of an upstream.
    pub needs: Requirements,
}

/// Answer to a request that asks for a place.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EnqueueResult {
    /// It waits.
    Queued,
    /// It would wait for too long.
    Refused {
        /// When to come back.
        retry_after: Duration,
    },
}

/// The requests of one service that wait for a place at an upstream.
///
/// Answers the burst in which more requests arrive than the upstreams can
/// begin: whoever cannot be begun while an answer is still on time is told so
/// at once, and those who can go first, in the order of their limits.
#[derive(Debug)]
pub struct RequestQueue {
    rules: QueueLimits,
    waiting: Vec<QueuedRequest>,
    gap: Option<f64>,
    last: Option<Moment>,
}

impl RequestQueue {
    /// An empty room.
    pub fn new(rules: QueueLimits) -> Self {
        RequestQueue {
            rules,
            waiting: Vec::new(),
            gap: None,
            last: None,
        }
    }

    /// Requests waiting.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// True when nobody waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Asks for a place.
    pub fn enqueue(&mut self, now: Moment, waiter: QueuedRequest) -> EnqueueResult {
        let ahead = self
            .waiting
            .iter()
            .filter(|w| goes_before(w, &waiter))
            .count();
        let wait = self.expected_wait(now, ahead);
        if self.waiting.len() >= self.rules.capacity || now + wait > waiter.start_by {
            return EnqueueResult::Refused {
                retry_after: self.retry_after(now),
            };
        }
        let at = self.waiting.partition_point(|w| goes_before(w, &waiter));
        self.waiting.insert(at, waiter);
        EnqueueResult::Queued
    }

    /// The waiting requests in their order.
    pub fn iter(&self) -> impl Iterator<Item = &QueuedRequest> {
        self.waiting.iter()
    }

    /// The request at a place of the queue.
    pub fn get(&self, place: usize) -> Option<&QueuedRequest> {
        self.waiting.get(place)
    }

    /// Takes the request at a place of the queue, whose turn it is.
    pub fn take(&mut self, now: Moment, place: usize) -> Option<QueuedRequest> {
        let waiter = (place < self.waiting.len()).then(|| self.waiting.remove(place))?;
        self.record_start(now);
        Some(waiter)
    }

    /// Records that a request was begun without waiting.
    pub fn record_start(&mut self, now: Moment) {
        if self.waiting.is_empty() {
            self.last = Some(now);
            return;
        }
        if let Some(last) = self.last {
            let gap = now.saturating_sub(last).as_secs_f64();
            self.gap = Some(match self.gap {
                Some(g) => g * (1.0 - PACE_WEIGHT) + gap * PACE_WEIGHT,
                None => gap,
            });
        }
        self.last = Some(now);
    }

    /// Removes a request; false when it was not waiting.
    pub fn remove(&mut self, id: u64) -> bool {
        let before = self.waiting.len();
        self.waiting.retain(|w| w.id != id);
        before > self.waiting.len()
    }

    /// Removes and returns the requests that waited for too long.
    pub fn expire(&mut self, now: Moment) -> Vec<QueuedRequest> {
        let late = |w: &mut QueuedRequest| w.start_by <= now;
        self.waiting.extract_if(.., late).collect()
    }

    /// When a refused caller should come back.
    pub fn retry_after(&self, now: Moment) -> Duration {
        let wait = self.expected_wait(now, self.waiting.len());
        let spread = Duration::from_millis(fastrand::u64(0..500));
        (wait + MIN_RETRY + spread).min(MAX_RETRY)
    }

    fn expected_wait(&self, now: Moment, ahead: usize) -> Duration {
        let current = self
            .last
            .is_some_and(|last| now.saturating_sub(last) < PACE_MEMORY);
        match self.gap {
            Some(gap) if current => {
                let turns = f64::from(u32::try_from(ahead + 1).unwrap_or(u32::MAX));
                Duration::from_secs_f64((gap * turns).min(3600.0))
            }
            _ => Duration::ZERO,
        }
    }
}

fn goes_before(a: &QueuedRequest, b: &QueuedRequest) -> bool {
    (!a.on_time, a.priority, a.start_by) <= (!b.on_time, b.priority, b.start_by)
}
