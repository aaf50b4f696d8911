use std::time::Duration;

use domain::{AccountId, Moment, UpstreamId, WeightVersion};

use crate::request_queue::spread_retry;
use crate::{
    Acceptance, AccountStarts, Choice, EnqueueResult, PrefixGuess, PriorityReserve, QueuedRequest,
    RequestQueue, Requirements, UpstreamPool,
};

/// Longest wait of a late request, one that can no longer be on time.
const LATE_WAIT: Duration = Duration::from_millis(500);
/// Largest part of its remaining time that such a request waits, as a divisor: its
/// caller can still retry afterwards.
const LATE_DIVISOR: u32 = 4;
/// Retry time advised when no upstream meets the requirements of a request: new
/// weights and restarts take about this long.
pub const NO_MATCH_RETRY: Duration = Duration::from_millis(1200);
/// Time after the loss of a request that could have been on time in which free
/// slots are kept for other such requests: some engine frees a slot within it.
const SHORTAGE_TIME: Duration = Duration::from_millis(250);
/// Largest time to spare that a request must have to be started in a shortage, if others of its
/// priority have it: those that start at their latest moment are often late after all.
const MAX_SLACK: Duration = Duration::from_millis(50);
/// Restricted requests, such as those with home regions, that one pass over the
/// queue skips. A request that any upstream could serve is never overtaken: a small
/// prompt would take the slot for which a large one waits. Those whose response has begun do
/// not count: many wait at once when an upstream breaks, which others may use again soon.
const MAX_SKIPPED: usize = 4;

/// A request submitted to the scheduler.
#[derive(Debug, Clone)]
pub struct IncomingRequest {
    /// Number of the request.
    pub id: u64,
    /// Priority, 0 first.
    pub priority: u8,
    /// Account of its caller, if any.
    pub account: Option<AccountId>,
    /// When its caller sent the first attempt.
    pub first_attempt: Moment,
    /// Time from the first attempt within which a response counts as on time.
    pub target_latency: Duration,
    /// When its caller gives up waiting.
    pub deadline: Moment,
    /// Whether its response has begun, so that it is started before others of its priority.
    pub begun: bool,
    /// What it requires of an upstream.
    pub needs: Requirements,
}

/// What happens to a submitted request.
#[derive(Debug, Clone, PartialEq)]
pub enum Placement {
    /// It goes to an upstream, whose load includes it already.
    Assigned(Box<Assignment>),
    /// It waits until it is assigned or expires.
    Queued,
    /// It is refused; the caller may retry after this time.
    Refused(Duration),
}

/// A request and the upstream that it goes to.
#[derive(Debug, Clone, PartialEq)]
pub struct Assignment {
    /// Number of the request.
    pub id: u64,
    /// The upstream.
    pub upstream: UpstreamId,
    /// What the request requires of it.
    pub needs: Requirements,
    /// What is assumed about its prompt, if upstreams retain prompts.
    pub guess: Option<Box<PrefixGuess>>,
}

/// Assigns the requests of one service to upstreams, queues them or refuses them.
///
/// Under overload, requests that can still be on time are assigned before late ones,
/// and a request that would expire in the queue is refused at once. While requests that
/// could be on time are refused, late ones are not assigned at all, those of the same priority
/// with time to spare go before those at their latest start, and lower priorities leave room
/// for the higher ones that are refused: throughput stays the same and more responses are on
/// time.
#[derive(Debug)]
pub struct ServiceScheduler {
    /// The upstreams.
    pub upstreams: UpstreamPool,
    /// The queue.
    pub queue: RequestQueue,
    /// When a request that could have been on time, and had not begun, was last refused or
    /// expired.
    shortage: Option<Moment>,
    /// What lower priorities leave to the higher ones.
    reserve: PriorityReserve,
    /// Starts of the requests of each account.
    account_starts: AccountStarts,
}

impl ServiceScheduler {
    /// A scheduler with these upstreams and this queue.
    pub fn new(upstreams: UpstreamPool, queue: RequestQueue) -> Self {
        ServiceScheduler {
            upstreams,
            queue,
            shortage: None,
            reserve: PriorityReserve::default(),
            account_starts: AccountStarts::default(),
        }
    }

    /// Assigns, queues or refuses a new request. `evacuated` returns whether a
    /// failure domain is out of service.
    pub fn submit(
        &mut self,
        now: Moment,
        request: IncomingRequest,
        evacuated: impl Fn(&str) -> bool,
    ) -> Placement {
        let IncomingRequest {
            id,
            priority,
            account,
            first_attempt,
            target_latency,
            deadline,
            begun,
            mut needs,
        } = request;
        let due = first_attempt + target_latency;
        let latency = self.upstreams.latency_model();
        needs.margin = latency.margin(needs.prompt_tokens, target_latency);
        let best_case = latency.first_token(0, needs.prompt_tokens) + needs.margin;
        let start_by = due.saturating_sub(best_case);
        let on_time = start_by > now;
        needs.due = on_time.then_some(due);
        let rank = match on_time {
            true => {
                let reserve = &mut self.reserve;
                reserve.record_arrival(now, priority, &needs, target_latency)
            }
            false => priority,
        };
        needs.reserved = self.reserve.reserved(now, rank, latency);
        let served = on_time || !self.has_shortage(now);
        let mut held = false;
        if served && self.is_next(now, on_time, rank, &evacuated) {
            match self.upstreams.choose(now, &needs, &evacuated) {
                Choice::Send(upstream) => {
                    self.queue.record_start(now);
                    self.count_start(now, priority, account.as_ref(), on_time);
                    let assignment = self.assign(now, id, upstream, needs);
                    return Placement::Assigned(Box::new(assignment));
                }
                Choice::NoMatch => {
                    let wait = self.no_match_retry(now, &needs, &evacuated);
                    return Placement::Refused(wait);
                }
                Choice::Full => held = is_held(&self.upstreams, now, &needs, &evacuated),
            }
        }
        if held {
            self.reserve.record_held();
        }
        let time_left = deadline.saturating_sub(now);
        let start_by = match on_time {
            true => start_by,
            false => now + LATE_WAIT.min(time_left / LATE_DIVISOR),
        };
        let acceptance = self.upstreams.acceptance(now, &needs, &evacuated);
        if !accepts_by(acceptance, start_by) {
            return Placement::Refused(self.no_match_retry(now, &needs, &evacuated));
        }
        let starts = &mut self.account_starts;
        let level = account.as_ref().map_or(0, |a| starts.level(now, a));
        let queued = QueuedRequest {
            id,
            priority,
            rank,
            level,
            account,
            start_by,
            on_time,
            begun,
            held,
            needs,
        };
        match self.queue.enqueue(now, queued) {
            EnqueueResult::Queued => Placement::Queued,
            EnqueueResult::Refused { retry_after } => {
                if on_time && !begun {
                    self.record_loss(now, priority);
                }
                Placement::Refused(retry_after)
            }
        }
    }

    /// Assigns waiting requests to upstreams with free slots. `in_force` returns the
    /// version of a model that is in force now: it may have changed since a request
    /// was queued.
    pub fn assign_queued(
        &mut self,
        now: Moment,
        in_force: impl Fn(&str) -> Option<WeightVersion>,
        evacuated: impl Fn(&str) -> bool,
    ) -> Vec<Assignment> {
        let mut assigned = Vec::new();
        let (mut index, mut skipped) = (0, 0);
        let shortage = self.has_shortage(now);
        while skipped < MAX_SKIPPED {
            let Some(queued) = self.queue.get_mut(index) else {
                break;
            };
            queued.needs.raise_version(&in_force);
            let latency = self.upstreams.latency_model();
            queued.needs.reserved = self.reserve.reserved(now, queued.rank, latency);
            if !queued.on_time && shortage {
                break;
            }
            let rushed = shortage && is_rushed(now, queued);
            if rushed && self.has_successor(now, index, &in_force, &evacuated) {
                index += 1;
                continue;
            }
            let Some(queued) = self.queue.get_mut(index) else {
                break;
            };
            let Choice::Send(id) = self.upstreams.choose(now, &queued.needs, &evacuated) else {
                if !queued.held && is_held(&self.upstreams, now, &queued.needs, &evacuated) {
                    queued.held = true;
                    self.reserve.record_held();
                }
                if !queued.needs.is_restricted() {
                    break;
                }
                index += 1;
                skipped += usize::from(!queued.begun);
                continue;
            };
            let Some(queued) = self.queue.take(now, index) else {
                break;
            };
            let account = queued.account.as_ref();
            self.count_start(now, queued.priority, account, queued.on_time);
            assigned.push(self.assign(now, queued.id, id, queued.needs));
        }
        assigned
    }

    /// Removes the requests that no upstream may serve any longer, as a newer version
    /// has come into force, upstreams have left, or none accepts them in time; returns their
    /// ids.
    pub fn remove_unmatched(
        &mut self,
        now: Moment,
        in_force: impl Fn(&str) -> Option<WeightVersion>,
        evacuated: impl Fn(&str) -> bool,
    ) -> Vec<u64> {
        let mut unmatched = Vec::new();
        for queued in self.queue.iter_mut() {
            let raised = queued.needs.raise_version(&in_force);
            let acceptance = self.upstreams.acceptance(now, &queued.needs, &evacuated);
            let is_outdated = raised && acceptance == Acceptance::NoMatch;
            let has_left = !self.upstreams.may_serve(&queued.needs, &evacuated);
            if is_outdated || has_left || !accepts_by(acceptance, queued.start_by) {
                unmatched.push(queued.id);
            }
        }
        for id in &unmatched {
            self.queue.remove(*id);
        }
        unmatched
    }

    /// Time after which the caller of a refused request should retry.
    pub fn retry_after(
        &self,
        now: Moment,
        needs: &Requirements,
        evacuated: impl Fn(&str) -> bool,
    ) -> Duration {
        match self.upstreams.acceptance(now, needs, &evacuated) {
            Acceptance::Now => self.queue.retry_after(now),
            _ => self.no_match_retry(now, needs, evacuated),
        }
    }

    /// The same for a request that no upstream accepts now. A retry may go to upstreams
    /// that were tried.
    fn no_match_retry(
        &self,
        now: Moment,
        needs: &Requirements,
        evacuated: impl Fn(&str) -> bool,
    ) -> Duration {
        let untried = Requirements {
            tried: Vec::new(),
            ..needs.clone()
        };
        match self.upstreams.acceptance(now, &untried, evacuated) {
            Acceptance::From(at) => spread_retry(at.saturating_sub(now)),
            Acceptance::Now | Acceptance::Never | Acceptance::NoMatch => NO_MATCH_RETRY,
        }
    }

    /// Removes the requests that waited for too long; returns their ids.
    pub fn expire(&mut self, now: Moment) -> Vec<u64> {
        let expired = self.queue.expire(now);
        for lost in expired.iter().filter(|w| w.on_time && !w.begun) {
            self.record_loss(now, lost.priority);
        }
        expired.into_iter().map(|w| w.id).collect()
    }

    /// Whether a request that has time waits after the one at `index`, has its rank and level
    /// and may use the free slots. One that any upstream could serve counts even if it fits none
    /// now: a small prompt would take the slot for which a large one waits.
    fn has_successor(
        &mut self,
        now: Moment,
        index: usize,
        in_force: impl Fn(&str) -> Option<WeightVersion>,
        evacuated: impl Fn(&str) -> bool,
    ) -> bool {
        let order = self.queue.iter().nth(index).map(|w| (w.rank, w.level));
        let mut examined = 0;
        for successor in self.queue.iter_mut().skip(index + 1) {
            if Some((successor.rank, successor.level)) != order
                || !successor.on_time
                || examined == MAX_SKIPPED
            {
                return false;
            }
            if is_rushed(now, successor) {
                continue;
            }
            let needs = &mut successor.needs;
            if !needs.is_restricted() {
                return true;
            }
            needs.raise_version(&in_force);
            needs.reserved =
                self.reserve
                    .reserved(now, successor.rank, self.upstreams.latency_model());
            if let Choice::Send(_) = self.upstreams.choose(now, needs, &evacuated) {
                return true;
            }
            examined += 1;
        }
        false
    }

    /// Whether a new request may take a free slot: each one that waits is late and the new one
    /// is not, or has begun and fits no upstream now, or leaves room for higher priorities.
    fn is_next(
        &self,
        now: Moment,
        on_time: bool,
        rank: u8,
        evacuated: impl Fn(&str) -> bool,
    ) -> bool {
        let waits_elsewhere = |needs| {
            let choice = self.upstreams.choose(now, needs, &evacuated);
            !matches!(choice, Choice::Send(_))
        };
        let leaves_room = |w: &QueuedRequest| rank < w.rank && self.reserve.is_active(now, w.rank);
        let waiting = self.queue.iter().filter(|w| w.on_time || !on_time);
        let mut before = waiting.filter(|w| !leaves_room(w));
        before.clone().all(|w| w.begun) && before.all(|w| waits_elsewhere(&w.needs))
    }

    /// What lower priorities leave to the higher ones.
    pub fn reserve(&self) -> &PriorityReserve {
        &self.reserve
    }

    /// Records the loss of a request that could have been on time.
    fn record_loss(&mut self, now: Moment, priority: u8) {
        self.shortage = Some(now);
        self.reserve.record_loss(now, priority);
    }

    fn count_start(
        &mut self,
        now: Moment,
        priority: u8,
        account: Option<&AccountId>,
        on_time: bool,
    ) {
        if let Some(account) = account {
            self.account_starts.record(now, account);
        }
        if on_time {
            self.reserve.record_start(now, priority);
        }
    }

    fn has_shortage(&self, now: Moment) -> bool {
        self.shortage
            .is_some_and(|at| now.saturating_sub(at) < SHORTAGE_TIME)
    }

    fn assign(
        &mut self,
        now: Moment,
        id: u64,
        upstream: UpstreamId,
        needs: Requirements,
    ) -> Assignment {
        let guess = self.upstreams.record_send(now, &upstream, &needs);
        Assignment {
            id,
            upstream,
            needs,
            guess: guess.map(Box::new),
        }
    }
}

/// Whether a request that can't start would, if it left no room for a higher priority.
fn is_held(
    upstreams: &UpstreamPool,
    now: Moment,
    needs: &Requirements,
    evacuated: impl Fn(&str) -> bool,
) -> bool {
    let unreserved = || Requirements {
        reserved: None,
        ..needs.clone()
    };
    let would_start = || upstreams.choose(now, &unreserved(), evacuated);
    needs.reserved.is_some() && matches!(would_start(), Choice::Send(_))
}

/// Whether a waiting request is so close to its latest start that it may be late after all.
/// Large prompts, which never have much time to spare, need less.
fn is_rushed(now: Moment, queued: &QueuedRequest) -> bool {
    let slack = queued.needs.margin.min(MAX_SLACK);
    queued.on_time && !queued.begun && queued.start_by < now + slack
}

/// Whether upstreams accept a request by `start_by`. One that meets its requirements may
/// still be listed.
fn accepts_by(acceptance: Acceptance, start_by: Moment) -> bool {
    match acceptance {
        Acceptance::Now | Acceptance::NoMatch => true,
        Acceptance::From(at) => at <= start_by,
        Acceptance::Never => false,
    }
}
