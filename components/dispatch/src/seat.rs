use std::collections::VecDeque;
use std::time::Duration;

use domain::{Moment, Upstream, UpstreamState};

use crate::Holding;

/// First pause after a failed exchange.
const FIRST_PAUSE: Duration = Duration::from_millis(400);
/// Longest pause after repeated failures.
const MAX_PAUSE: Duration = Duration::from_millis(3200);
/// Weight of the newest outcome in the failure rate.
const FAILURE_WEIGHT: f64 = 0.15;
/// First pause after a refusal by an upstream that is full: some token steps.
const FULL_PAUSE: Duration = Duration::from_millis(60);
/// Longest pause after repeated refusals.
const MAX_FULL_PAUSE: Duration = Duration::from_millis(500);
/// Time in which other entries may send to the same upstream without anyone
/// knowing: the pause between two of their notices and the way of one.
const BLIND: Duration = Duration::from_millis(80);
/// Part of an upstream's slots that others leave to the entry that fills it.
const RESERVED: f64 = 0.25;
/// How long the last requests of an engine may run on after it is closed.
const CLOSE_SLACK: Duration = Duration::from_millis(200);
/// Window of the cold limit.
const COLD_WINDOW: Duration = Duration::from_secs(1);

/// Requests at an upstream.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct SeatLoad {
    /// Requests in flight.
    pub requests: u32,
    /// Tokens of prompts whose first event has not arrived.
    pub unread: u64,
}

/// What is known of one upstream and what this entry has sent to it.
#[derive(Debug, Clone)]
pub struct Seat {
    /// The upstream as it is listed.
    pub upstream: Upstream,
    /// Region of the upstream.
    pub region: domain::RegionId,
    /// Number that entries use for the upstream among themselves.
    pub tag: u32,
    /// Whether this entry fills the upstream; others leave its last places alone.
    pub holding: Holding,
    /// What is in flight from this entry.
    pub own: SeatLoad,
    /// What is in flight from other entries, as they last said.
    pub others: SeatLoad,
    /// The agent of the upstream has closed it for an order.
    pub switching: bool,
    /// When its agent closes it for an order, where that is planned.
    pub closes: Option<Moment>,
    /// Share of exchanges that failed lately.
    pub failures: f64,
    paused: Moment,
    pause: Duration,
    full_pause: Duration,
    cold_until: Moment,
    sent: VecDeque<(Moment, u32)>,
}

impl Seat {
    /// A seat for an upstream that has just been listed.
    pub fn new(now: Moment, upstream: Upstream, region: &str, tag: u32) -> Self {
        Seat {
            cold_until: now + upstream.cold_remaining,
            upstream,
            region: region.into(),
            tag,
            holding: Holding::Shared,
            own: SeatLoad::default(),
            others: SeatLoad::default(),
            switching: false,
            closes: None,
            failures: 0.0,
            paused: Duration::ZERO,
            pause: FIRST_PAUSE,
            full_pause: FULL_PAUSE,
            sent: VecDeque::new(),
        }
    }

    /// Takes over a changed entry of the same start of the upstream.
    pub fn update(&mut self, now: Moment, upstream: Upstream) {
        if !upstream.cold_remaining.is_zero() {
            self.cold_until = now + upstream.cold_remaining;
        }
        self.upstream = upstream;
    }

    /// What is in flight from all of `entries` entries. Others are expected to
    /// have sent what this one has since their last word: an upstream that has
    /// just become free looks best to all of them.
    pub fn load(&self, now: Moment, entries: u32) -> SeatLoad {
        let others = match self.holding {
            Holding::Own => 0,
            Holding::Shared | Holding::Foreign => entries.saturating_sub(1),
        };
        let recent = self.sent.iter().rev();
        let recent = recent.take_while(|(at, _)| now.saturating_sub(*at) < BLIND);
        let blind = recent.fold(SeatLoad::default(), |sum, (_, prompt)| SeatLoad {
            requests: sum.requests + 1,
            unread: sum.unread + u64::from(*prompt),
        });
        SeatLoad {
            requests: self.own.requests + self.others.requests + blind.requests * others,
            unread: self.own.unread + self.others.unread + blind.unread * u64::from(others),
        }
    }

    /// Whether it may be used at all now.
    pub fn is_open(&self, now: Moment) -> bool {
        self.upstream.state == UpstreamState::Ready && !self.switching && self.paused <= now
    }

    /// Whether a request that ends at `end` ends before the upstream is closed.
    pub fn outlasts(&self, end: Moment) -> bool {
        self.closes.is_none_or(|closes| end <= closes + CLOSE_SLACK)
    }

    /// Requests that this entry may have there, with those of the others.
    pub fn places(&self) -> u32 {
        let slots = self.upstream.slots;
        match self.holding {
            Holding::Own | Holding::Shared => slots,
            Holding::Foreign => slots - (f64::from(slots) * RESERVED).ceil() as u32,
        }
    }

    /// Whether it is still slow after its start.
    pub fn is_cold(&self, now: Moment) -> bool {
        now < self.cold_until
    }

    /// Whether a cold upstream bears one more request of `rate` a second.
    pub fn bears(&self, now: Moment, rate: f64) -> bool {
        let recent = self
            .sent
            .iter()
            .filter(|(at, _)| now.saturating_sub(*at) < COLD_WINDOW)
            .count();
        f64::from(u32::try_from(recent).unwrap_or(u32::MAX)) + 1.0 <= rate
    }

    /// Records a request of `prompt` tokens that is about to be sent.
    pub fn send(&mut self, now: Moment, prompt: u32) {
        self.own.requests += 1;
        self.own.unread += u64::from(prompt);
        while self
            .sent
            .front()
            .is_some_and(|(at, _)| now.saturating_sub(*at) >= COLD_WINDOW)
        {
            self.sent.pop_front();
        }
        self.sent.push_back((now, prompt));
    }

    /// Records that a prompt of `prompt` tokens was read, or given up.
    pub fn read(&mut self, prompt: u32) {
        self.own.unread = self.own.unread.saturating_sub(u64::from(prompt));
    }

    /// Records the end of a request.
    pub fn end(&mut self) {
        self.own.requests = self.own.requests.saturating_sub(1);
    }

    /// Records that it answered.
    pub fn answered(&mut self) {
        self.failures *= 1.0 - FAILURE_WEIGHT;
        self.pause = FIRST_PAUSE;
        self.full_pause = FULL_PAUSE;
    }

    /// Records that an exchange failed.
    pub fn failed(&mut self, now: Moment) {
        self.failures = self.failures * (1.0 - FAILURE_WEIGHT) + FAILURE_WEIGHT;
        self.paused = now + self.pause;
        self.pause = (self.pause * 2).min(MAX_PAUSE);
    }

    /// Records that it is full.
    pub fn full(&mut self, now: Moment) {
        self.paused = self.paused.max(now + self.full_pause);
        self.full_pause = (self.full_pause * 2).min(MAX_FULL_PAUSE);
    }
}
