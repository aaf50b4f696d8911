use std::collections::VecDeque;
use std::time::Duration;

use domain::{GateStatus, HeldModel, Moment, Pace, SendGate, Upstream, UpstreamState};

use crate::{LimitStatement, Ownership, PaceState, PrefixMemory, RateLimit};

/// Pause after a first failed exchange.
const FIRST_PAUSE: Duration = Duration::from_millis(400);
/// Longest pause after repeated failures.
const MAX_PAUSE: Duration = Duration::from_millis(3200);
/// Weight of the newest outcome in the failure rate.
const FAILURE_WEIGHT: f64 = 0.15;
/// Pause after a first refusal by a full upstream: a few decode steps.
const FULL_PAUSE: Duration = Duration::from_millis(60);
/// Longest pause after repeated refusals by a full upstream.
const MAX_FULL_PAUSE: Duration = Duration::from_millis(500);
/// Age up to which requests of other entries may not have been announced yet: the
/// interval between two notices plus the latency of one.
const NOTICE_LAG: Duration = Duration::from_millis(80);
/// Fraction of an upstream's slots that is reserved for the entry that owns it.
const OWNER_FRACTION: f64 = 0.25;
/// Power of the slowdown by which the slots of a slow upstream are divided.
const SLOT_EXPONENT: f64 = 0.5;
/// Time after which the next entry may send to an upstream that has opened: about what an
/// engine needs to prefill a prompt.
const TURN_INTERVAL: Duration = Duration::from_millis(50);
/// Time after which all entries may: by then the first ones have announced what they sent.
const LAST_TURN: Duration = Duration::from_millis(500);
/// Time for which the last requests of an engine may still run after it closes.
const CLOSE_SLACK: Duration = Duration::from_millis(200);
/// Time without a notice after which a switch that the agent announced no longer
/// counts: three times the interval between notices.
const AGENT_SILENCE: Duration = Duration::from_millis(2700);
/// Window in which requests to a cold upstream are counted.
const COLD_WINDOW: Duration = Duration::from_secs(1);
/// Time after a response for which an upstream counts as alive.
const HEARD_TIME: Duration = Duration::from_millis(200);

/// Load of an upstream.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct UpstreamLoad {
    /// Requests in flight.
    pub requests: u32,
    /// Prompt tokens of the requests whose first event has not arrived.
    pub prefill_tokens: u64,
}

/// An upstream, its load, and the requests that this entry has sent to it.
#[derive(Debug, Clone)]
pub struct PooledUpstream {
    /// The upstream as the platform lists it.
    pub upstream: Upstream,
    /// Region of the upstream.
    pub region: domain::RegionId,
    /// Number that identifies the upstream in notices between entries.
    pub tag: u32,
    /// Whether this entry owns the upstream and may take its last slots.
    pub ownership: Ownership,
    /// Number of entries that send to it before this one when it opens.
    pub turn: u32,
    /// Load from this entry.
    pub own: UpstreamLoad,
    /// Load from other entries, as they last announced it.
    pub others: UpstreamLoad,
    /// Closed by its agent while the engine switches weights.
    switching: bool,
    /// When it opened after a switch.
    opened_at: Moment,
    /// When its agent plans to close it for a switch.
    pub closes_at: Option<Moment>,
    /// Moving average of the failure rate, 0 to 1.
    pub failure_rate: f64,
    /// Limit on the requests of all entries that it names, if any.
    pub rate_limit: Option<RateLimit>,
    /// Parts of prompts that it probably still holds.
    pub prefixes: PrefixMemory,
    /// Whether it accepts requests, by its own statements.
    pub gate: SendGate,
    /// Its pace, as this start of it stated.
    pub pace: PaceState,
    /// When it last asked for a pause, in milliseconds of Unix time.
    pause_asked_ms: Option<u64>,
    /// When its agent last sent a notice.
    noticed_at: Option<Moment>,
    paused_until: Moment,
    /// Until when it gets no requests because it is silent.
    silent_until: Moment,
    /// When a response began or went on, of any request of this entry.
    heard_at: Moment,
    failure_pause: Duration,
    full_pause: Duration,
    cold_until: Moment,
    sent: VecDeque<(Moment, u32)>,
}

impl PooledUpstream {
    /// An upstream that has just been listed.
    pub fn new(now: Moment, upstream: Upstream, region: &str, tag: u32) -> Self {
        PooledUpstream {
            cold_until: now + upstream.cold_remaining,
            upstream,
            region: region.into(),
            tag,
            ownership: Ownership::Shared,
            turn: 0,
            own: UpstreamLoad::default(),
            others: UpstreamLoad::default(),
            switching: false,
            opened_at: Duration::ZERO,
            closes_at: None,
            failure_rate: 0.0,
            rate_limit: None,
            prefixes: PrefixMemory::default(),
            gate: SendGate::default(),
            pace: PaceState::default(),
            pause_asked_ms: None,
            noticed_at: None,
            paused_until: Duration::ZERO,
            silent_until: Duration::ZERO,
            heard_at: Duration::ZERO,
            failure_pause: FIRST_PAUSE,
            full_pause: FULL_PAUSE,
            sent: VecDeque::new(),
        }
    }

    /// Replaces the record of the same start of the upstream.
    pub fn update(&mut self, now: Moment, mut upstream: Upstream) {
        if !upstream.cold_remaining.is_zero() {
            self.cold_until = now + upstream.cold_remaining;
        }
        merge_newer(&mut upstream.models, &self.upstream.models);
        if upstream.models != self.upstream.models {
            self.prefixes.forget();
        }
        self.upstream = upstream;
    }

    /// Records that it asked for a pause until `until`; returns whether this is later than
    /// before.
    pub fn record_pause(&mut self, until: Moment, asked_ms: u64) -> bool {
        self.pause_asked_ms = Some(asked_ms);
        self.gate.close_until(until)
    }

    /// End of the pause that a start at `started_ms` under the same id asked for. An answer
    /// after a start came from that start, also before its record arrived.
    pub fn pause_of_start(&self, now: Moment, started_ms: u64) -> Option<Moment> {
        let asked_ms = self.pause_asked_ms?;
        match self.gate.status(now) {
            GateStatus::ClosedUntil(until) if started_ms <= asked_ms => Some(until),
            _ => None,
        }
    }

    /// Records whether its agent has closed it for a switch; returns whether this has changed.
    pub fn set_switching(&mut self, now: Moment, switching: bool) -> bool {
        let was_switching = std::mem::replace(&mut self.switching, switching);
        if was_switching && !switching {
            self.opened_at = now;
            self.prefixes.forget();
        }
        was_switching != switching
    }

    /// Whether this entry may send to it after it has opened. All of its slots are free then:
    /// entries that do not know of each other's requests would fill it at the same moment,
    /// and the last prompts would be late.
    pub fn is_in_turn(&self, now: Moment) -> bool {
        now >= self.opened_at + TURN_INTERVAL.saturating_mul(self.turn).min(LAST_TURN)
    }

    /// Records that its agent sent a notice.
    pub fn record_notice(&mut self, now: Moment) {
        self.noticed_at = Some(now);
    }

    /// Applies the model versions that the agent of the same start of the upstream
    /// announced.
    pub fn update_models(&mut self, mut held: Vec<HeldModel>) {
        merge_newer(&mut held, &self.upstream.models);
        if held != self.upstream.models {
            self.prefixes.forget();
        }
        self.upstream.models = held;
    }

    /// Load from all of `entries` entries. Other entries are assumed to have sent as
    /// much as this one since their last notice, because an upstream that has just
    /// become free has the best score at all of them. What has ended here has ended
    /// there, too: short requests would fill an upstream after their end.
    pub fn load(&self, now: Moment, entries: u32) -> UpstreamLoad {
        let other_entries = match self.ownership {
            Ownership::Own => 0,
            Ownership::Shared | Ownership::Foreign => entries.saturating_sub(1),
        };
        let recent = self.sent.iter().rev();
        let recent = recent.take_while(|(at, _)| now.saturating_sub(*at) < NOTICE_LAG);
        let unannounced = recent.fold(UpstreamLoad::default(), |sum, (_, prompt)| UpstreamLoad {
            requests: sum.requests + 1,
            prefill_tokens: sum.prefill_tokens + u64::from(*prompt),
        });
        UpstreamLoad {
            requests: self.own.requests
                + self.others.requests
                + unannounced.requests.min(self.own.requests) * other_entries,
            prefill_tokens: self.own.prefill_tokens
                + self.others.prefill_tokens
                + unannounced.prefill_tokens * u64::from(other_entries),
        }
    }

    /// Whether it takes new requests now.
    pub fn is_open(&self, now: Moment) -> bool {
        let switching = self.switching && !self.is_agent_silent(now);
        let paused = self.paused_until.max(self.silent_until) > now;
        let ready = self.upstream.state == UpstreamState::Ready && self.gate.is_open(now);
        ready && !switching && !paused
    }

    /// Whether a request that ends at `end` is done when the upstream closes.
    pub fn stays_open_until(&self, now: Moment, end: Moment) -> bool {
        let closes_at = self.closes_at.filter(|_| !self.is_agent_silent(now));
        closes_at.is_none_or(|closes| end <= closes + CLOSE_SLACK)
    }

    /// Whether its agent has stopped sending notices, for example because it was killed
    /// during a switch. An engine that is still loading refuses requests by itself.
    fn is_agent_silent(&self, now: Moment) -> bool {
        self.noticed_at
            .is_some_and(|at| now.saturating_sub(at) > AGENT_SILENCE)
    }

    /// Requests in flight from all entries up to which this entry may send another, of
    /// the `slots` that may be in use.
    pub fn capacity(&self, slots: u32) -> u32 {
        match self.ownership {
            Ownership::Own | Ownership::Shared => slots,
            Ownership::Foreign => slots - (f64::from(slots) * OWNER_FRACTION).ceil() as u32,
        }
    }

    /// Records the pace that its start at `started_ms` stated; the statement of another
    /// start is dropped.
    pub fn record_pace(&mut self, now: Moment, started_ms: u64, pace: Pace) {
        if started_ms == self.upstream.started_ms {
            self.pace.record(now, pace);
        }
    }

    /// Of `slots`, those that may be in use at its present pace; at least one, so that it
    /// is not abandoned.
    pub fn paced_slots(&self, now: Moment, slots: u32) -> u32 {
        let slowdown = self.pace.slowdown(now);
        if slowdown <= 1.0 {
            return slots;
        }
        let paced = f64::from(slots) / slowdown.powf(SLOT_EXPONENT);
        // Between 1 and `slots`, as the slowdown is at least 1.
        (paced.ceil() as u32).clamp(1.min(slots), slots)
    }

    /// Whether it is still warming up after its start.
    pub fn is_cold(&self, now: Moment) -> bool {
        now < self.cold_until
    }

    /// Whether another request stays within `share` requests in a second, which is what this
    /// entry may send to a cold upstream.
    pub fn allows_cold_send(&self, now: Moment, share: u32) -> bool {
        let recent = self
            .sent
            .iter()
            .filter(|(at, _)| now.saturating_sub(*at) < COLD_WINDOW)
            .count();
        u32::try_from(recent).is_ok_and(|recent| recent < share)
    }

    /// Applies what it stated about its limit, to this entry if `is_own`.
    pub fn update_rate_limit(&mut self, now: Moment, statement: LimitStatement, is_own: bool) {
        match &mut self.rate_limit {
            Some(limit) => limit.update(now, statement, is_own),
            None => {
                let new = |rate| RateLimit::new(now, rate, statement.at, is_own);
                self.rate_limit = statement.rate.map(new);
            }
        }
    }

    /// Whether another request stays within the limit that it names.
    pub fn allows_limited_send(&self, now: Moment) -> bool {
        let in_flight = self.own.requests + self.others.requests;
        let limit = self.rate_limit.as_ref();
        limit.is_none_or(|l| l.allows(now, in_flight))
    }

    /// Records a request with `prompt` prompt tokens that is about to be sent.
    pub fn record_send(&mut self, now: Moment, prompt: u32) {
        if let Some(limit) = &mut self.rate_limit {
            limit.record_send(now);
        }
        self.own.requests += 1;
        self.own.prefill_tokens += u64::from(prompt);
        while self
            .sent
            .front()
            .is_some_and(|(at, _)| now.saturating_sub(*at) >= COLD_WINDOW)
        {
            self.sent.pop_front();
        }
        self.sent.push_back((now, prompt));
    }

    /// Records that a prompt of `prompt` tokens was processed, or its request ended.
    pub fn record_prefill(&mut self, prompt: u32) {
        self.own.prefill_tokens = self.own.prefill_tokens.saturating_sub(u64::from(prompt));
    }

    /// Records the end of a request.
    pub fn record_end(&mut self) {
        self.own.requests = self.own.requests.saturating_sub(1);
    }

    /// Records a successful exchange.
    pub fn record_success(&mut self) {
        self.failure_rate *= 1.0 - FAILURE_WEIGHT;
        self.failure_pause = FIRST_PAUSE;
        self.full_pause = FULL_PAUSE;
    }

    /// Records a failed exchange and pauses the upstream.
    pub fn record_failure(&mut self, now: Moment) {
        self.count_failure();
        self.paused_until = now + self.next_pause();
    }

    /// Records that an exchange has been silent since `since`. Pauses the upstream until
    /// something is heard from it; if it has answered other requests since then, only this
    /// one is slow.
    pub fn record_silence(&mut self, now: Moment, since: Moment) {
        self.count_failure();
        if self.heard_at <= since {
            self.silent_until = now + self.next_pause();
        }
    }

    /// Whether it responded within the last moments.
    pub fn is_heard(&self, now: Moment) -> bool {
        now.saturating_sub(self.heard_at) < HEARD_TIME && !self.heard_at.is_zero()
    }

    /// Records that a response began or went on.
    pub fn record_heard(&mut self, now: Moment) {
        self.heard_at = now;
        self.silent_until = Duration::ZERO;
    }

    fn count_failure(&mut self) {
        self.failure_rate = self.failure_rate * (1.0 - FAILURE_WEIGHT) + FAILURE_WEIGHT;
    }

    /// The pause after a failure; it grows with each.
    fn next_pause(&mut self) -> Duration {
        let pause = self.failure_pause;
        self.failure_pause = (pause * 2).min(MAX_PAUSE);
        pause
    }

    /// Records a refusal by the full upstream and pauses it.
    pub fn record_full(&mut self, now: Moment) {
        self.paused_until = self.paused_until.max(now + self.full_pause);
        self.full_pause = (self.full_pause * 2).min(MAX_FULL_PAUSE);
    }
}

/// Adds the models of `known` that are newer than those in `held` or missing there. An
/// engine never goes back to older weights before it restarts, so an older statement is
/// one that arrives late.
fn merge_newer(held: &mut Vec<HeldModel>, known: &[HeldModel]) {
    for model in known {
        match held.iter_mut().find(|h| h.model == model.model) {
            Some(h) => h.version = h.version.max(model.version),
            None => held.push(model.clone()),
        }
    }
}
