use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use config::ClientAccountId;

/// Weight of the newest sample in the moving averages, as a divisor.
const SMOOTHING: u32 = 8;
/// Latest completions from which the pace of the queue is learnt.
const COMPLETIONS: usize = 64;
/// Completions in a row, with requests waiting, before the pace is trusted.
const MIN_COMPLETIONS: usize = 8;
/// Virtual time that one request of an account with share 1 takes.
const STRIDE: u64 = 1 << 20;
/// Shortest advised wait before coming back.
const MIN_RETRY: Duration = Duration::from_millis(200);
/// Longest advised wait before coming back.
const MAX_RETRY: Duration = Duration::from_secs(30);

/// Bounds of one service's queue at an entry.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct QueueLimits {
    /// Most requests waiting.
    pub max_waiting: usize,
}

/// A request that asks to be admitted.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Arrival {
    /// Number of the request, unique within the entry.
    pub id: u64,
    /// Account of the caller.
    pub account: ClientAccountId,
    /// Share of the account.
    pub share: u32,
    /// Priority, 0 to 9.
    pub priority: u8,
    /// When the answer has to be complete.
    pub deadline: Duration,
}

/// A request in the queue.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct QueuedRequest {
    /// The request.
    pub arrival: Arrival,
    /// When it began to wait.
    pub since: Duration,
}

/// The request whose turn it is.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Dequeued {
    /// It can start.
    Start(QueuedRequest),
    /// It can no longer be answered in time and has to be refused.
    Late(QueuedRequest),
}

/// The answer to an arrival.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OfferResult {
    /// It waits its turn; `displaced` must be refused in its place.
    Wait {
        /// Id of a waiting request that has to give way.
        displaced: Option<u64>,
    },
    /// It cannot be answered in time.
    Refuse {
        /// When to come back.
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
/// Accounts take turns in proportion to their shares; within an account the
/// higher priority goes first, then the earlier deadline. What cannot be
/// answered before its deadline is refused at once.
#[derive(Debug)]
pub struct AdmissionQueue {
    limits: QueueLimits,
    accounts: HashMap<ClientAccountId, Account>,
    waiting: usize,
    virtual_now: u64,
    service: Duration,
    deviation: Duration,
    gap: Duration,
    ended: VecDeque<Duration>,
}

impl AdmissionQueue {
    /// An empty queue.
    pub fn new(limits: QueueLimits) -> Self {
        AdmissionQueue {
            limits,
            accounts: HashMap::new(),
            waiting: 0,
            virtual_now: 0,
            service: Duration::ZERO,
            deviation: Duration::ZERO,
            gap: Duration::ZERO,
            ended: VecDeque::new(),
        }
    }

    /// Takes over changed bounds.
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
        self.gap * u32::try_from(self.waiting).unwrap_or(u32::MAX)
    }

    /// Records a completed request and its service time.
    pub fn record_completion(&mut self, now: Duration, took: Duration) {
        if !self.service.is_zero() {
            self.deviation = smooth(self.deviation, took.abs_diff(self.service));
        }
        self.service = smooth(self.service, took);
        self.note_completion(now);
    }

    /// Offers a request to the queue.
    pub fn offer(&mut self, now: Duration, arrival: Arrival) -> OfferResult {
        // Half of the time to spare is left for what the estimate misses: a queue
        // that fills it all completes most of its requests just too late.
        let wait = self.account_wait(&arrival) * 2;
        // With nobody waiting the estimate does not count: after a slow spell it
        // would refuse everything, and nothing would ever correct it.
        let estimate = match self.waiting {
            0 => Duration::ZERO,
            _ => wait + self.service_bound(),
        };
        if now + estimate >= arrival.deadline {
            return OfferResult::Refuse {
                retry_after: self.retry_after(),
            };
        }
        let mut displaced = None;
        if self.waiting >= self.limits.max_waiting {
            match self.displace(&arrival) {
                Some(id) => displaced = Some(id),
                None => {
                    return OfferResult::Refuse {
                        retry_after: self.retry_after(),
                    };
                }
            }
        }
        self.push(now, arrival);
        OfferResult::Wait { displaced }
    }

    /// Takes the request whose turn it is.
    pub fn dequeue(&mut self, now: Duration) -> Option<Dequeued> {
        let waiting = self.take()?;
        // What starts without having waited starts whatever the estimate says.
        if now > waiting.since && self.is_late(now, &waiting.arrival) {
            return Some(Dequeued::Late(waiting));
        }
        Some(Dequeued::Start(waiting))
    }

    fn take(&mut self) -> Option<QueuedRequest> {
        let id = self
            .accounts
            .iter()
            .filter(|(_, a)| !a.waiting.is_empty())
            .min_by(|(ai, a), (bi, b)| a.virtual_time.cmp(&b.virtual_time).then(ai.cmp(bi)))
            .map(|(id, _)| id.clone())?;
        let account = self.accounts.get_mut(&id)?;
        let index = best(&account.waiting)?;
        let waiting = account.waiting.swap_remove(index);
        self.virtual_now = account.virtual_time;
        account.virtual_time += STRIDE / u64::from(account.share.max(1));
        self.waiting -= 1;
        Some(waiting)
    }

    /// Whether a request cannot be answered before its deadline if it starts now.
    fn is_late(&self, now: Duration, arrival: &Arrival) -> bool {
        now + self.service_bound() > arrival.deadline
    }

    /// Service time that few requests exceed (as in RFC 6298, with a factor of 2).
    fn service_bound(&self) -> Duration {
        self.service + self.deviation * 2
    }

    /// Puts a request back that was taken but refused by its upstream.
    pub fn requeue(&mut self, waiting: QueuedRequest) {
        let account = self
            .accounts
            .entry(waiting.arrival.account.clone())
            .or_default();
        account.virtual_time = account
            .virtual_time
            .saturating_sub(STRIDE / u64::from(account.share.max(1)));
        account.waiting.push(waiting);
        self.waiting += 1;
    }

    /// Removes a request that no longer waits for its turn.
    pub fn cancel(&mut self, account: &ClientAccountId, id: u64) -> bool {
        let Some(a) = self.accounts.get_mut(account) else {
            return false;
        };
        let before = a.waiting.len();
        a.waiting.retain(|w| w.arrival.id != id);
        let removed = before - a.waiting.len();
        self.waiting -= removed;
        removed > 0
    }

    /// Removes and returns the requests that can no longer be answered in time.
    pub fn expire(&mut self, now: Duration) -> Vec<QueuedRequest> {
        let service = self.service_bound();
        let mut expired = Vec::new();
        for a in self.accounts.values_mut() {
            let late = |w: &mut QueuedRequest| now + service > w.arrival.deadline;
            expired.extend(a.waiting.extract_if(.., late));
        }
        self.waiting -= expired.len();
        self.forget_idle();
        expired
    }

    /// When a refused caller should come back.
    pub fn retry_after(&self) -> Duration {
        (self.expected_wait() + self.service).clamp(MIN_RETRY, MAX_RETRY)
    }

    /// Expected wait given that other accounts only take their share of turns.
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
        let turns = rounds.saturating_mul(active + arrival.share) / arrival.share.max(1);
        let turns = turns.min(u32::try_from(self.waiting).unwrap_or(u32::MAX));
        self.gap * turns
    }

    fn push(&mut self, now: Duration, arrival: Arrival) {
        let virtual_now = self.virtual_now;
        let account = self.accounts.entry(arrival.account.clone()).or_default();
        account.share = arrival.share;
        if account.waiting.is_empty() {
            // An account that was idle does not save up turns.
            account.virtual_time = account.virtual_time.max(virtual_now);
        }
        account.waiting.push(QueuedRequest {
            arrival,
            since: now,
        });
        self.waiting += 1;
    }

    /// Removes the worst request of the account that waits most for its share,
    /// provided that account waits for more than the newcomer's would.
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
        let index = worst(&account.waiting)?;
        self.waiting -= 1;
        Some(account.waiting.swap_remove(index).arrival.id)
    }

    fn displace_own(&mut self, arrival: &Arrival) -> Option<u64> {
        let account = self.accounts.get_mut(&arrival.account)?;
        let index = worst(&account.waiting)?;
        if account.waiting[index].arrival.priority >= arrival.priority {
            return None;
        }
        self.waiting -= 1;
        Some(account.waiting.swap_remove(index).arrival.id)
    }

    /// Learns the pace of completions while requests wait: the mean over the
    /// latest ones, since they come in bursts. Starts would mislead: one that
    /// finds its upstream at the limit starts again.
    fn note_completion(&mut self, now: Duration) {
        if self.waiting == 0 {
            self.ended.clear();
            return;
        }
        if self.ended.len() == COMPLETIONS {
            self.ended.pop_front();
        }
        self.ended.push_back(now);
        if let Some(first) = self.ended.front()
            && self.ended.len() >= MIN_COMPLETIONS
        {
            let intervals = u32::try_from(self.ended.len() - 1).unwrap_or(u32::MAX);
            self.gap = now.saturating_sub(*first) / intervals;
        }
    }

    fn forget_idle(&mut self) {
        let now = self.virtual_now;
        self.accounts
            .retain(|_, a| !a.waiting.is_empty() || a.virtual_time > now);
    }
}

fn goes_before(a: &Arrival, b: &Arrival) -> bool {
    (std::cmp::Reverse(a.priority), a.deadline, a.id)
        < (std::cmp::Reverse(b.priority), b.deadline, b.id)
}

fn best(waiting: &[QueuedRequest]) -> Option<usize> {
    (0..waiting.len()).reduce(|a, b| {
        if goes_before(&waiting[b].arrival, &waiting[a].arrival) {
            b
        } else {
            a
        }
    })
}

fn worst(waiting: &[QueuedRequest]) -> Option<usize> {
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
