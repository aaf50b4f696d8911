use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use config::ClientAccountId;

/// The newest sample has the weight `1 / SMOOTHING` in the moving averages.
const SMOOTHING: u32 = 8;
/// Most completions that the interval between them is averaged over.
const MAX_COMPLETIONS: usize = 64;
/// Successive completions, with requests waiting, before the average is used.
const MIN_COMPLETIONS: usize = 8;
/// Virtual time charged for one request of an account with share 1.
const STRIDE: u64 = 1 << 20;
/// Shortest wait advised before a retry.
const MIN_RETRY: Duration = Duration::from_millis(200);
/// Longest wait advised before a retry.
const MAX_RETRY: Duration = Duration::from_secs(30);

/// Bounds of the queue of one service at one entry.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct QueueLimits {
    /// Most requests that may wait.
    pub capacity: usize,
}

/// A request that arrives at the queue.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Arrival {
    /// Number of the request, unique within the entry.
    pub id: u64,
    /// Client account of the caller.
    pub account: ClientAccountId,
    /// Share of the account.
    pub share: u32,
    /// Priority, 0 to 9.
    pub priority: u8,
    /// Time by which the response has to be complete.
    pub deadline: Duration,
}

/// A request in the queue.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct QueuedRequest {
    /// The request.
    pub arrival: Arrival,
    /// Time since which it waits.
    pub since: Duration,
}

/// A request taken from the queue.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Dequeued {
    /// It can start.
    Start(QueuedRequest),
    /// It can no longer be completed in time and has to be refused.
    Late(QueuedRequest),
}

/// Outcome of [`AdmissionQueue::enqueue`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum EnqueueResult {
    /// It is queued. A request that it displaced has to be refused.
    Queued {
        /// Id of the request that was removed from the full queue.
        displaced: Option<u64>,
    },
    /// It cannot be completed in time, or the queue is full.
    Refused {
        /// Time after which the caller should retry.
        retry_after: Duration,
    },
}

#[derive(Debug, Default)]
struct Account {
    waiting: Vec<QueuedRequest>,
    virtual_time: u64,
    share: u32,
}

/// The queue of one service at one entry.
///
/// Requests of the accounts are dequeued in proportion to their shares, by stride
/// scheduling. Within an account the higher priority goes first, then the earlier
/// deadline. A request that cannot be completed before its deadline is refused at once.
#[derive(Debug)]
pub struct AdmissionQueue {
    limits: QueueLimits,
    accounts: HashMap<ClientAccountId, Account>,
    waiting: usize,
    virtual_now: u64,
    service_time: Duration,
    deviation: Duration,
    interval: Duration,
    completions: VecDeque<Duration>,
}

impl AdmissionQueue {
    /// An empty queue.
    pub fn new(limits: QueueLimits) -> Self {
        AdmissionQueue {
            limits,
            accounts: HashMap::new(),
            waiting: 0,
            virtual_now: 0,
            service_time: Duration::ZERO,
            deviation: Duration::ZERO,
            interval: Duration::ZERO,
            completions: VecDeque::new(),
        }
    }

    /// Sets the bounds.
    pub fn set_limits(&mut self, limits: QueueLimits) {
        self.limits = limits;
    }

    /// Requests waiting.
    pub fn len(&self) -> usize {
        self.waiting
    }

    /// True when no request waits.
    pub fn is_empty(&self) -> bool {
        self.waiting == 0
    }

    /// Expected wait of a request that joins the queue now.
    pub fn expected_wait(&self) -> Duration {
        self.interval * u32::try_from(self.waiting).unwrap_or(u32::MAX)
    }

    /// Records a completed request and its service time.
    pub fn record_completion(&mut self, now: Duration, took: Duration) {
        if !self.service_time.is_zero() {
            self.deviation = smooth(self.deviation, took.abs_diff(self.service_time));
        }
        self.service_time = smooth(self.service_time, took);
        self.update_interval(now);
    }

    /// Adds a request to the queue, unless it would be completed too late or the queue
    /// is full.
    pub fn enqueue(&mut self, now: Duration, arrival: Arrival) -> EnqueueResult {
        // Half of the spare time is reserved for errors of the estimate: a queue that
        // fills all of it completes most of its requests just too late.
        let wait = self.account_wait(&arrival) * 2;
        // An empty queue ignores the estimate: after a period of slow responses it
        // would refuse every request, and no completion could correct it.
        let estimate = match self.waiting {
            0 => Duration::ZERO,
            _ => wait + self.service_bound(),
        };
        if now + estimate >= arrival.deadline {
            return EnqueueResult::Refused {
                retry_after: self.retry_after(),
            };
        }
        let mut displaced = None;
        if self.waiting >= self.limits.capacity {
            match self.displace(&arrival) {
                Some(id) => displaced = Some(id),
                None => {
                    return EnqueueResult::Refused {
                        retry_after: self.retry_after(),
                    };
                }
            }
        }
        self.push(now, arrival);
        EnqueueResult::Queued { displaced }
    }

    /// Takes the next request.
    pub fn dequeue(&mut self, now: Duration) -> Option<Dequeued> {
        let queued = self.take()?;
        // A request that has not waited starts regardless of the estimate.
        if now > queued.since && self.is_late(now, &queued.arrival) {
            return Some(Dequeued::Late(queued));
        }
        Some(Dequeued::Start(queued))
    }

    fn take(&mut self) -> Option<QueuedRequest> {
        let id = self
            .accounts
            .iter()
            .filter(|(_, a)| !a.waiting.is_empty())
            .min_by(|(ai, a), (bi, b)| a.virtual_time.cmp(&b.virtual_time).then(ai.cmp(bi)))
            .map(|(id, _)| id.clone())?;
        let account = self.accounts.get_mut(&id)?;
        let index = first_index(&account.waiting)?;
        let queued = account.waiting.swap_remove(index);
        self.virtual_now = account.virtual_time;
        account.virtual_time += STRIDE / u64::from(account.share.max(1));
        self.waiting -= 1;
        Some(queued)
    }

    /// Whether a request that starts now is expected to miss its deadline.
    fn is_late(&self, now: Duration, arrival: &Arrival) -> bool {
        now + self.service_bound() > arrival.deadline
    }

    /// Service time that few requests exceed: the mean plus twice the mean deviation,
    /// in the manner of RFC 6298.
    fn service_bound(&self) -> Duration {
        self.service_time + self.deviation * 2
    }

    /// Puts back a dequeued request that its upstream refused.
    pub fn requeue(&mut self, queued: QueuedRequest) {
        let account = self
            .accounts
            .entry(queued.arrival.account.clone())
            .or_default();
        account.virtual_time = account
            .virtual_time
            .saturating_sub(STRIDE / u64::from(account.share.max(1)));
        account.waiting.push(queued);
        self.waiting += 1;
    }

    /// Removes a request; returns whether it was queued.
    pub fn remove(&mut self, account: &ClientAccountId, id: u64) -> bool {
        let Some(a) = self.accounts.get_mut(account) else {
            return false;
        };
        let before = a.waiting.len();
        a.waiting.retain(|w| w.arrival.id != id);
        let removed = before - a.waiting.len();
        self.waiting -= removed;
        removed > 0
    }

    /// Removes and returns the requests that can no longer be completed in time.
    pub fn expire(&mut self, now: Duration) -> Vec<QueuedRequest> {
        let service_time = self.service_bound();
        let mut expired = Vec::new();
        for a in self.accounts.values_mut() {
            let late = |w: &mut QueuedRequest| now + service_time > w.arrival.deadline;
            expired.extend(a.waiting.extract_if(.., late));
        }
        self.waiting -= expired.len();
        self.remove_idle_accounts();
        expired
    }

    /// Time after which a refused caller should retry.
    pub fn retry_after(&self) -> Duration {
        (self.expected_wait() + self.service_time).clamp(MIN_RETRY, MAX_RETRY)
    }

    /// Expected wait of a request, while the other accounts are served by their shares.
    fn account_wait(&self, arrival: &Arrival) -> Duration {
        let own = self.accounts.get(&arrival.account);
        let ahead = own.map_or(0, |a| {
            let before = |w: &&QueuedRequest| goes_before(&w.arrival, arrival);
            a.waiting.iter().filter(before).count()
        });
        let active: u32 = self
            .accounts
            .iter()
            .filter(|(id, a)| !a.waiting.is_empty() && **id != arrival.account)
            .map(|(_, a)| a.share)
            .sum();
        let rounds = 1 + u32::try_from(ahead).unwrap_or(u32::MAX - 1);
        let dequeues = rounds.saturating_mul(active + arrival.share) / arrival.share.max(1);
        let dequeues = dequeues.min(u32::try_from(self.waiting).unwrap_or(u32::MAX));
        self.interval * dequeues
    }

    fn push(&mut self, now: Duration, arrival: Arrival) {
        let virtual_now = self.virtual_now;
        let account = self.accounts.entry(arrival.account.clone()).or_default();
        account.share = arrival.share;
        if account.waiting.is_empty() {
            // An idle account does not accumulate a right to later service.
            account.virtual_time = account.virtual_time.max(virtual_now);
        }
        account.waiting.push(QueuedRequest {
            arrival,
            since: now,
        });
        self.waiting += 1;
    }

    /// Removes a request from a full queue so that `arrival` fits: the last one of the
    /// account with the most requests waiting per share. `None` if the account of
    /// `arrival` would then have at least as many, or if it is that account and has no
    /// request of lower priority.
    fn displace(&mut self, arrival: &Arrival) -> Option<u64> {
        let own = self
            .accounts
            .get(&arrival.account)
            .map_or(0, |a| a.waiting.len());
        let own_load = (own as u64 + 1) * STRIDE / u64::from(arrival.share.max(1));
        let (id, load) = self
            .accounts
            .iter()
            .map(|(id, a)| {
                let load = a.waiting.len() as u64 * STRIDE / u64::from(a.share.max(1));
                (id.clone(), load)
            })
            .max_by(|a, b| a.1.cmp(&b.1).then(b.0.cmp(&a.0)))?;
        if id == arrival.account {
            return self.displace_own(arrival);
        }
        if load <= own_load {
            return None;
        }
        let account = self.accounts.get_mut(&id)?;
        let index = last_index(&account.waiting)?;
        self.waiting -= 1;
        Some(account.waiting.swap_remove(index).arrival.id)
    }

    fn displace_own(&mut self, arrival: &Arrival) -> Option<u64> {
        let account = self.accounts.get_mut(&arrival.account)?;
        let index = last_index(&account.waiting)?;
        if account.waiting[index].arrival.priority >= arrival.priority {
            return None;
        }
        self.waiting -= 1;
        Some(account.waiting.swap_remove(index).arrival.id)
    }

    /// Updates the interval between completions while requests wait. It is the mean over
    /// the latest ones, because they come in bursts. Starts are not counted, because a
    /// request starts again after its upstream was at its limit.
    fn update_interval(&mut self, now: Duration) {
        if self.waiting == 0 {
            self.completions.clear();
            return;
        }
        if self.completions.len() == MAX_COMPLETIONS {
            self.completions.pop_front();
        }
        self.completions.push_back(now);
        if let Some(first) = self.completions.front()
            && self.completions.len() >= MIN_COMPLETIONS
        {
            let intervals = u32::try_from(self.completions.len() - 1).unwrap_or(u32::MAX);
            self.interval = now.saturating_sub(*first) / intervals;
        }
    }

    fn remove_idle_accounts(&mut self) {
        let now = self.virtual_now;
        self.accounts
            .retain(|_, a| !a.waiting.is_empty() || a.virtual_time > now);
    }
}

fn goes_before(a: &Arrival, b: &Arrival) -> bool {
    (std::cmp::Reverse(a.priority), a.deadline, a.id)
        < (std::cmp::Reverse(b.priority), b.deadline, b.id)
}

fn first_index(waiting: &[QueuedRequest]) -> Option<usize> {
    (0..waiting.len()).reduce(|a, b| {
        if goes_before(&waiting[b].arrival, &waiting[a].arrival) {
            b
        } else {
            a
        }
    })
}

fn last_index(waiting: &[QueuedRequest]) -> Option<usize> {
    (0..waiting.len()).reduce(|a, b| {
        if goes_before(&waiting[a].arrival, &waiting[b].arrival) {
            b
        } else {
            a
        }
    })
}

fn smooth(average: Duration, sample: Duration) -> Duration {
    if average.is_zero() {
        return sample;
    }
    (average * (SMOOTHING - 1) + sample) / SMOOTHING
}
