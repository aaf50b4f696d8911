use std::cell::Cell;
use std::time::Duration;

use domain::Moment;

use crate::{LimitStatement, RateShare};

/// Time without a statement of the upstream after which an entry sends a request to learn
/// whether the limit still holds, in addition to the mean time between two requests.
const STALE_TIME: Duration = Duration::from_secs(2);
/// Longest mean time between two requests that is waited for.
const MAX_INTERVAL: Duration = Duration::from_secs(10);
/// Time over which such requests of the entries are spread, for each entry. It is longer
/// than entries take to learn of a request of another one.
const SPREAD_TIME: Duration = Duration::from_millis(100);
/// Time in which the rate doubles after the end of a limit, so that the entries do not
/// all return at once.
const DOUBLING_TIME: Duration = Duration::from_millis(500);
/// Time after the end of a limit from which the rate is unlimited again.
const RAMP_TIME: Duration = Duration::from_secs(4);
/// Least rate, in requests a second, from which it rises.
const MIN_RAMP_RATE: f64 = 1.0;

/// A limit that an upstream names for the requests of all entries together, and the
/// requests that this entry may send within it.
#[derive(Debug, Clone)]
pub struct RateLimit {
    /// Rate that was named last.
    rate: f64,
    stated_at: Moment,
    /// When the upstream named no limit any more.
    ended_at: Option<Moment>,
    /// The latest statement was made to this entry.
    is_own: bool,
    share: RateShare,
    entries: usize,
    /// Requests saved up, at most one, as of `counted_at`.
    saved: f64,
    counted_at: Moment,
    tried_at: Moment,
    /// When this entry may send a request to learn whether the limit still holds. It is
    /// drawn when the entry first has such a request, since all may have one at once.
    try_at: Cell<Option<Moment>>,
}

impl RateLimit {
    /// A limit that was named at `stated_at`, to this entry if `is_own`.
    pub fn new(now: Moment, rate: f64, stated_at: Moment, is_own: bool) -> Self {
        RateLimit {
            rate,
            stated_at,
            ended_at: None,
            is_own,
            share: RateShare::default(),
            entries: 1,
            saved: 0.0,
            counted_at: now,
            tried_at: Moment::ZERO,
            try_at: Cell::new(None),
        }
    }

    /// Applies a statement of the upstream, to this entry if `is_own`, unless a newer one
    /// is known.
    pub fn update(&mut self, now: Moment, statement: LimitStatement, is_own: bool) {
        if statement.at <= self.stated_at {
            return;
        }
        self.count(now);
        self.stated_at = statement.at;
        self.is_own = is_own;
        self.try_at.set(None);
        match statement.rate {
            Some(rate) => {
                self.rate = rate;
                self.ended_at = None;
            }
            None => {
                self.ended_at.get_or_insert(statement.at);
            }
        }
    }

    /// When the upstream last stated or denied it.
    pub fn stated_at(&self) -> Moment {
        self.stated_at
    }

    /// The latest statement, if it was made to this entry.
    pub fn own_statement(&self) -> Option<LimitStatement> {
        self.is_own.then_some(LimitStatement {
            rate: self.named_rate(),
            at: self.stated_at,
        })
    }

    /// The rate that the upstream names; `None` after it has ended.
    pub fn named_rate(&self) -> Option<f64> {
        self.ended_at.is_none().then_some(self.rate)
    }

    /// Whether the rate rises, since the limit has ended.
    pub fn is_rising(&self) -> bool {
        self.ended_at.is_some()
    }

    /// Requests a second that all entries together may send now; `None` once the limit is
    /// over.
    pub fn total_rate(&self, now: Moment) -> Option<f64> {
        let Some(ended_at) = self.ended_at else {
            return Some(self.rate);
        };
        let elapsed = now.saturating_sub(ended_at);
        let doublings = elapsed.as_secs_f64() / DOUBLING_TIME.as_secs_f64();
        (elapsed < RAMP_TIME).then(|| self.rate.max(MIN_RAMP_RATE) * doublings.exp2())
    }

    /// Sets the share of this entry; `entries` is the number of all that may send.
    pub fn set_share(&mut self, now: Moment, share: RateShare, entries: usize) {
        self.count(now);
        if self.share == RateShare::default() {
            self.saved = share.phase;
        }
        self.share = share;
        self.entries = entries;
    }

    /// Whether another request stays within the limit; `in_flight` is the number of
    /// requests of all entries that the upstream has.
    pub fn allows(&self, now: Moment, in_flight: u32) -> bool {
        self.saved_at(now) >= 1.0 || in_flight == 0 && self.is_stale(now) && self.may_try(now)
    }

    /// Counts a request that is about to be sent.
    pub fn record_send(&mut self, now: Moment) {
        self.count(now);
        if self.saved < 1.0 {
            self.tried_at = now;
            self.try_at.set(None);
        }
        self.saved = (self.saved - 1.0).max(0.0);
    }

    /// Whether the entries with a share may have sent nothing for so long that the end of
    /// the limit would go unnoticed.
    fn is_stale(&self, now: Moment) -> bool {
        let interval = match self.rate > 0.0 {
            true => Duration::try_from_secs_f64(1.0 / self.rate).unwrap_or(MAX_INTERVAL),
            false => MAX_INTERVAL,
        };
        let last = self.stated_at.max(self.tried_at);
        now.saturating_sub(last) > STALE_TIME + interval.min(MAX_INTERVAL)
    }

    fn may_try(&self, now: Moment) -> bool {
        let entries = u32::try_from(self.entries).unwrap_or(u32::MAX);
        let spread = SPREAD_TIME.saturating_mul(entries);
        let try_at = self.try_at.get();
        let try_at = try_at.unwrap_or_else(|| now + spread.mul_f64(fastrand::f64()));
        self.try_at.set(Some(try_at));
        try_at <= now
    }

    fn count(&mut self, now: Moment) {
        self.saved = self.saved_at(now);
        self.counted_at = now;
    }

    fn saved_at(&self, now: Moment) -> f64 {
        let elapsed = now.saturating_sub(self.counted_at).as_secs_f64();
        (self.saved + elapsed * self.share.rate).min(1.0)
    }
}
