use std::time::Duration;

use domain::Moment;

use crate::{WriteBasis, WriteTime};

/// Age of the last confirmation up to which the configuration counts as current, also
/// for refusals. Reads of the store return every second, so the age is
/// normally well below.
const FRESH_AGE: Duration = Duration::from_millis(2400);

/// Time beyond the wait of a read after which its response is late and may carry
/// older records.
const LATE_AFTER: Duration = Duration::from_millis(600);

/// What an entry may do with its configuration.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConfigStatus {
    /// No configuration is known: no request can be decided.
    Unknown,
    /// The configuration was confirmed recently.
    Fresh,
    /// A newer one may be in force: what this one allows is allowed, but no request
    /// is refused for an unknown route or key.
    Stale,
    /// Keys may have been revoked: requests with keys are refused.
    Expired,
}

/// Tracks when the store last confirmed the configuration.
#[derive(Debug, Clone)]
pub struct ConfigFreshness {
    confirmed_at: Option<Moment>,
    max_key_age: Duration,
}

impl ConfigFreshness {
    /// No confirmation yet; `revocation` is the bound from the removal of a key to its
    /// last use.
    pub fn new(revocation: Duration) -> Self {
        ConfigFreshness {
            confirmed_at: None,
            // The rest covers the transit of a request that was just forwarded.
            max_key_age: revocation * 4 / 5,
        }
    }

    /// Records that the configuration was in force at `at`, when the request to the
    /// store was sent.
    pub fn confirm(&mut self, at: Moment) {
        self.confirmed_at = self.confirmed_at.max(Some(at));
    }

    /// Moment of the last confirmation.
    pub fn confirmed_at(&self) -> Option<Moment> {
        self.confirmed_at
    }

    /// Earliest moment at which a record of a read was written. The read was sent at
    /// `sent` and waits for up to `wait`; `followed` is true if it came right after
    /// another one, false after failures. A waiting read returns a record as soon as
    /// it is written; only a late read, or one after a gap, can return an older one.
    pub fn earliest_write(
        &self,
        now: Moment,
        sent: Moment,
        wait: Duration,
        followed: bool,
    ) -> WriteTime {
        let on_time = now.saturating_sub(sent) <= wait + LATE_AFTER;
        match (followed, on_time) {
            (true, true) => WriteTime {
                at: now,
                basis: WriteBasis::WaitingRead,
            },
            (true, false) => self.since_confirmed(WriteBasis::LateRead),
            (false, _) => self.since_confirmed(WriteBasis::AfterFailure),
        }
    }

    /// Write time of a record that was not known at the last confirmation.
    pub fn since_confirmed(&self, basis: WriteBasis) -> WriteTime {
        WriteTime {
            at: self.confirmed_at.unwrap_or_default(),
            basis,
        }
    }

    /// How far the configuration can be relied on now.
    pub fn status(&self, now: Moment) -> ConfigStatus {
        match self.confirmed_at.map(|at| now.saturating_sub(at)) {
            None => ConfigStatus::Unknown,
            Some(age) if age <= FRESH_AGE => ConfigStatus::Fresh,
            Some(age) if age <= self.max_key_age => ConfigStatus::Stale,
            Some(_) => ConfigStatus::Expired,
        }
    }
}
