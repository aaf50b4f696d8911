use std::time::Duration;

use domain::Moment;

/// Age of the configuration up to which refusals and keys rest on it alone.
/// Reads of the store return every second, so a calm process is well below.
const FRESH: Duration = Duration::from_millis(2400);

/// Time beyond a read's wait after which its answer is overdue: it may have
/// been held up on its way.
const OVERDUE: Duration = Duration::from_millis(600);

/// What an entry may do with the configuration that it knows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConfigStatus {
    /// No configuration is known: nothing can be said of a request.
    Unknown,
    /// The configuration is in force.
    Fresh,
    /// A newer one may be in force: what it allows is allowed, but nothing is
    /// refused for lack of a route or key.
    Stale,
    /// Keys may have been taken away: requests with keys are turned away.
    Expired,
}

/// How long ago the configuration was confirmed, and what follows from it.
#[derive(Debug, Clone)]
pub struct ConfigFreshness {
    at: Option<Moment>,
    key_age: Duration,
}

impl ConfigFreshness {
    /// `revocation` is the bound from the removal of a key to its last use.
    pub fn new(revocation: Duration) -> Self {
        ConfigFreshness {
            at: None,
            // The rest covers the way of a request that was just sent on.
            key_age: revocation * 4 / 5,
        }
    }

    /// The configuration was in force at `at`, the moment before the question
    /// was asked.
    pub fn confirm(&mut self, at: Moment) {
        self.at = self.at.max(Some(at));
    }

    /// Moment of the last confirmation.
    pub fn at(&self) -> Option<Moment> {
        self.at
    }

    /// When a record was written at the earliest that a read has brought: asked
    /// at `asked`, ready to wait for `wait`, right after another (`followed`) or
    /// after failures. A read that waits brings a record as it is written; only
    /// one that comes late, or after a gap, may bring an old one.
    pub fn earliest_write(
        &self,
        now: Moment,
        asked: Moment,
        wait: Duration,
        followed: bool,
    ) -> Moment {
        let on_time = now.saturating_sub(asked) <= wait + OVERDUE;
        match followed && on_time {
            true => now,
            false => self.at.unwrap_or_default(),
        }
    }

    /// What the configuration is good for now.
    pub fn status(&self, now: Moment) -> ConfigStatus {
        match self.at.map(|at| now.saturating_sub(at)) {
            None => ConfigStatus::Unknown,
            Some(age) if age <= FRESH => ConfigStatus::Fresh,
            Some(age) if age <= self.key_age => ConfigStatus::Stale,
            Some(_) => ConfigStatus::Expired,
        }
    }
}
