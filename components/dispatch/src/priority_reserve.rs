use std::time::Duration;

use domain::Moment;

use crate::{LatencyModel, Requirements};

/// Time after the loss of a request for which lower priorities leave room for its own. One of a
/// dozen gateways sees few losses in a second.
const RESERVE_TIME: Duration = Duration::from_millis(1000);
/// Smallest share of its requests that a priority starts, relative to that of all. Required is
/// a quarter; the rest is for responses that are late after all.
const MIN_SHARE: f64 = 0.35;
/// Time in which the weight of a counted request falls to a half.
const HALF_LIFE: Duration = Duration::from_secs(2);
/// Number of requests over which the typical request of a priority is averaged.
const TYPICAL_COUNT: u32 = 10;

/// A typical request of a higher priority for which an upstream keeps room.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ReservedRequest {
    /// Number of prompt tokens.
    prompt: u32,
    /// Time from its arrival within which its first event is expected.
    time: Duration,
}

impl ReservedRequest {
    /// Whether it could still be on time behind `backlog` prompt tokens at an engine whose work
    /// takes `slowdown` times the usual time.
    pub fn fits_behind(&self, latency: &LatencyModel, slowdown: f64, backlog: u64) -> bool {
        latency.first_token_at(slowdown, backlog, self.prompt) <= self.time
    }

    /// Moves it towards another request.
    fn approach(&mut self, other: ReservedRequest) {
        let kept = TYPICAL_COUNT - 1;
        let tokens = u64::from(self.prompt) * u64::from(kept) + u64::from(other.prompt);
        self.prompt = u32::try_from(tokens / u64::from(TYPICAL_COUNT)).unwrap_or(u32::MAX);
        self.time = (self.time * kept + other.time) / TYPICAL_COUNT;
    }

    /// Time to spare at an idle upstream.
    fn slack(&self, latency: &LatencyModel) -> Duration {
        self.time
            .saturating_sub(latency.first_token(0, self.prompt))
    }
}

/// Requests of one priority that could be on time when they arrived.
#[derive(Debug)]
struct PriorityUse {
    priority: u8,
    /// Arrived and started, each weighted by age.
    arrived: f64,
    started: f64,
    /// Moment to which they are weighted.
    counted_at: Moment,
    typical: ReservedRequest,
    /// Number lost, and when the last one was.
    lost: u64,
    lost_at: Option<Moment>,
}

impl PriorityUse {
    fn age(&mut self, now: Moment) {
        let since = now.saturating_sub(self.counted_at).as_secs_f64();
        let factor = (-since / HALF_LIFE.as_secs_f64()).exp2();
        self.arrived *= factor;
        self.started *= factor;
        self.counted_at = now;
    }

    fn is_losing(&self, now: Moment) -> bool {
        self.lost_at
            .is_some_and(|at| now.saturating_sub(at) < RESERVE_TIME)
    }
}

/// Keeps room at the upstreams for priorities whose requests are being lost.
///
/// Answers this load: three kinds with priorities 0, 1 and 2 and targets of 400, 400 and
/// 1,000 ms, of which the first sends 2.6 times what it did, more than the engines can start.
/// Requests with the long target may start behind a backlog that leaves no engine on which
/// those with the short one are on time. So while requests of a priority are lost, a lower one
/// starts only where a typical request of the higher one is on time after it.
///
/// A priority of which less than a minimum share is started is ranked like the highest one that
/// is losing requests, so that none is starved. Without losses, nothing is reserved and each
/// request has its own rank.
#[derive(Debug, Default)]
pub struct PriorityReserve {
    /// At most one for each priority, in their order.
    uses: Vec<PriorityUse>,
    /// Number of requests that did not start at once to leave room.
    held: u64,
}

impl PriorityReserve {
    /// Records a request that arrives and could be on time; returns its rank among priorities.
    pub fn record_arrival(
        &mut self,
        now: Moment,
        priority: u8,
        needs: &Requirements,
        target_latency: Duration,
    ) -> u8 {
        let request = ReservedRequest {
            prompt: needs.prompt_tokens,
            time: target_latency.saturating_sub(needs.margin),
        };
        let index = match self.uses.binary_search_by_key(&priority, |u| u.priority) {
            Ok(index) => index,
            Err(index) => {
                let first = PriorityUse {
                    priority,
                    arrived: 0.0,
                    started: 0.0,
                    counted_at: now,
                    typical: request,
                    lost: 0,
                    lost_at: None,
                };
                self.uses.insert(index, first);
                index
            }
        };
        self.uses.iter_mut().for_each(|u| u.age(now));
        let rank = self.rank(now, index);
        let arrived = &mut self.uses[index];
        arrived.arrived += 1.0;
        arrived.typical.approach(request);
        rank
    }

    /// Records that a request that could be on time was started.
    pub fn record_start(&mut self, now: Moment, priority: u8) {
        if let Some(started) = self.find(priority) {
            started.age(now);
            started.started += 1.0;
        }
    }

    /// Records that a request that could have been on time was refused or has expired.
    pub fn record_loss(&mut self, now: Moment, priority: u8) {
        if let Some(lost) = self.find(priority) {
            lost.lost += 1;
            lost.lost_at = Some(now);
        }
    }

    /// Records that a request did not start at an upstream to leave room there.
    pub fn record_held(&mut self) {
        self.held += 1;
    }

    /// Number of requests that did not start at once to leave room.
    pub fn held(&self) -> u64 {
        self.held
    }

    /// Number of requests of each priority that could have been on time and were lost.
    pub fn losses(&self) -> impl Iterator<Item = (u8, u64)> {
        self.uses.iter().map(|u| (u.priority, u.lost))
    }

    /// The highest priority that is losing requests.
    pub fn losing(&self, now: Moment) -> Option<u8> {
        let losing = self.uses.iter().find(|u| u.is_losing(now));
        losing.map(|u| u.priority)
    }

    /// The request for which those of rank `rank` leave room: of the higher priorities that
    /// are losing requests, that with the least time to spare.
    pub fn reserved(
        &self,
        now: Moment,
        rank: u8,
        latency: &LatencyModel,
    ) -> Option<ReservedRequest> {
        let higher = self.uses.iter().take_while(|u| u.priority < rank);
        let losing = higher.filter(|u| u.is_losing(now));
        losing.map(|u| u.typical).min_by_key(|r| r.slack(latency))
    }

    /// Whether a priority higher than `rank` is losing requests.
    pub fn is_active(&self, now: Moment, rank: u8) -> bool {
        let mut higher = self.uses.iter().take_while(|u| u.priority < rank);
        higher.any(|u| u.is_losing(now))
    }

    fn rank(&self, now: Moment, index: usize) -> u8 {
        let own = &self.uses[index];
        let higher = self.uses[..index].iter().find(|u| u.is_losing(now));
        let Some(higher) = higher else {
            return own.priority;
        };
        let sum = |value: fn(&PriorityUse) -> f64| self.uses.iter().map(value).sum::<f64>();
        let started = sum(|u| u.started) / sum(|u| u.arrived).max(1.0);
        match own.started < own.arrived * started * MIN_SHARE {
            true => higher.priority,
            false => own.priority,
        }
    }

    fn find(&mut self, priority: u8) -> Option<&mut PriorityUse> {
        let index = self.uses.binary_search_by_key(&priority, |u| u.priority);
        self.uses.get_mut(index.ok()?)
    }
}
