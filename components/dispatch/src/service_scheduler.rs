use std::time::Duration;

use domain::{Moment, UpstreamId};

use crate::{Choice, EnqueueResult, QueuedRequest, RequestQueue, Requirements, UpstreamPool};

/// Longest wait of a request that can no longer be on time.
const LATE_WAIT: Duration = Duration::from_millis(500);
/// Part of the time that is left which such a request waits at most: its caller
/// can still come back after it.
const LATE_SHARE: u32 = 4;
/// Advised wait where no upstream may serve a request: weights and restarts take
/// about this long.
pub const NO_MATCH_RETRY: Duration = Duration::from_millis(1200);
/// Time after a request that could have been on time was turned away in which
/// places are kept for others that can: some engine has a free place in it.
const SHORT_MEMORY: Duration = Duration::from_millis(250);
/// Waiting requests with needs of their own, such as a region, that one look
/// passes over. Nobody passes one that any upstream would do for: a small prompt
/// would take the place for which a large one waits.
const LOOKED_PAST: usize = 4;

/// A request that asks for a place.
#[derive(Debug, Clone)]
pub struct IncomingRequest {
    /// Number of the request.
    pub id: u64,
    /// Rank, 0 first.
    pub priority: u8,
    /// When its caller sent the first attempt.
    pub first_attempt: Moment,
    /// Time from there within which an answer has its full value.
    pub target_latency: Duration,
    /// When its caller gives up.
    pub deadline: Moment,
    /// What it needs of an upstream.
    pub needs: Requirements,
}

/// Answer to an applicant.
#[derive(Debug, Clone, PartialEq)]
pub enum Placement {
    /// It has a place, which is counted already.
    Assigned(Assignment),
    /// It waits; a later look gives it a place or lets it go.
    Queued,
    /// It is refused and may come back after this time.
    Refused(Duration),
}

/// A place that was given to a request.
#[derive(Debug, Clone, PartialEq)]
pub struct Assignment {
    /// Number of the request.
    pub id: u64,
    /// The upstream.
    pub upstream: UpstreamId,
    /// What the request needs of it.
    pub needs: Requirements,
}

/// Where the requests of one service go: to a place, into the queue, or back.
///
/// Answers the load that is more than the upstreams bear: whoever can be on time
/// gets a place before those who cannot, nobody waits for what is lost, and a
/// refusal comes at once. As long as some who could be on time are turned away,
/// those who cannot get nothing: as many are served, and more of them on time.
#[derive(Debug)]
pub struct ServiceScheduler {
    /// The upstreams.
    pub upstreams: UpstreamPool,
    /// The queue.
    pub queue: RequestQueue,
    /// When a request that could have been on time was last turned away.
    short: Option<Moment>,
}

impl ServiceScheduler {
    /// An intake with these upstreams and queue.
    pub fn new(seats: UpstreamPool, room: RequestQueue) -> Self {
        ServiceScheduler {
            upstreams: seats,
            queue: room,
            short: None,
        }
    }

    /// Decides about a new request. `evacuated` tells the failure domains that are
    /// out of service.
    pub fn submit(
        &mut self,
        now: Moment,
        applicant: IncomingRequest,
        evacuated: impl Fn(&str) -> bool,
    ) -> Placement {
        let IncomingRequest {
            id,
            priority,
            first_attempt,
            target_latency,
            deadline,
            needs: mut wanted,
        } = applicant;
        let due = first_attempt + target_latency;
        let start_time = self.upstreams.latency_model();
        wanted.margin = start_time.margin(wanted.prompt, target_latency);
        let best = start_time.first_token(0, wanted.prompt) + wanted.margin;
        let on_time_until = due.saturating_sub(best);
        let on_time = on_time_until > now;
        wanted.due = on_time.then_some(due);
        let served = on_time || !self.is_short(now);
        if self.queue.is_empty() && served {
            match self.upstreams.choose(now, &wanted, evacuated) {
                Choice::Send(key) => {
                    self.queue.record_start(now);
                    return Placement::Assigned(self.seat(now, id, key, wanted));
                }
                Choice::NoMatch => return Placement::Refused(NO_MATCH_RETRY),
                Choice::Full => {}
            }
        }
        let left = deadline.saturating_sub(now);
        let waiter = QueuedRequest {
            id,
            priority,
            start_by: match on_time {
                true => on_time_until,
                false => now + LATE_WAIT.min(left / LATE_SHARE),
            },
            on_time,
            needs: wanted,
        };
        match self.queue.enqueue(now, waiter) {
            EnqueueResult::Queued => Placement::Queued,
            EnqueueResult::Refused { retry_after } => {
                self.note_short(now, on_time);
                Placement::Refused(retry_after)
            }
        }
    }

    /// Gives free places to waiting requests.
    pub fn assign_queued(
        &mut self,
        now: Moment,
        evacuated: impl Fn(&str) -> bool,
    ) -> Vec<Assignment> {
        let mut seated = Vec::new();
        let mut passed = 0;
        while passed < LOOKED_PAST {
            let Some(waiter) = self.queue.get(passed) else {
                break;
            };
            if !waiter.on_time && self.is_short(now) {
                break;
            }
            let Choice::Send(key) = self.upstreams.choose(now, &waiter.needs, &evacuated) else {
                if !waiter.needs.is_restricted() {
                    break;
                }
                passed += 1;
                continue;
            };
            let Some(waiter) = self.queue.take(now, passed) else {
                break;
            };
            seated.push(self.seat(now, waiter.id, key, waiter.needs));
        }
        seated
    }

    /// Removes and returns the requests that waited for too long.
    pub fn expire(&mut self, now: Moment) -> Vec<u64> {
        let gone = self.queue.expire(now);
        let lost = gone.iter().any(|w| w.on_time);
        self.note_short(now, lost);
        gone.into_iter().map(|w| w.id).collect()
    }

    fn note_short(&mut self, now: Moment, lost: bool) {
        if lost {
            self.short = Some(now);
        }
    }

    fn is_short(&self, now: Moment) -> bool {
        self.short
            .is_some_and(|at| now.saturating_sub(at) < SHORT_MEMORY)
    }

    fn seat(&mut self, now: Moment, id: u64, key: UpstreamId, wanted: Requirements) -> Assignment {
        if let Some(seat) = self.upstreams.get_mut(&key) {
            seat.record_send(now, wanted.prompt);
        }
        Assignment {
            id,
            upstream: key,
            needs: wanted,
        }
    }
}
