use std::time::Duration;

use domain::Moment;

use crate::{WriteBasis, WriteTime};

/// Age of the last confirmation up to which the configuration counts as current, also
/// for refusals. Reads of the store return every second, so the age is
/// normally well below.
const FRESH_AGE: Duration = Duration::from_millis(2400);

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

/// Course of a read of the store.
#[derive(Debug, Clone, Copy)]
pub struct ReadTiming {
    /// When it was sent.
    pub sent: Moment,
    /// How long it waits for the first record.
    pub wait: Duration,
    /// Whether it came right after another read, not after failures.
    pub followed: bool,
}

/// Tracks when the store last confirmed the configuration.
#[derive(Debug, Clone)]
pub struct ConfigFreshness {
    confirmed_at: Option<Moment>,
    /// Records written before this moment are known, unless links delayed a response.
    complete_until: Option<Moment>,
    /// When a peer last stated that its confirmation was old.
    stale_peer: Option<Moment>,
    /// Whether the last read failed.
    is_failing: bool,
    max_key_age: Duration,
}

impl ConfigFreshness {
    /// No confirmation yet; `revocation` is the bound from the removal of a key to its
    /// last use.
    pub fn new(revocation: Duration) -> Self {
        ConfigFreshness {
            confirmed_at: None,
            complete_until: None,
            stale_peer: None,
            is_failing: false,
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

    /// Records that a peer, which was running all the while, had not confirmed the
    /// configuration for longer than it counts as current.
    pub fn record_stale_peer(&mut self, at: Moment) {
        self.stale_peer = self.stale_peer.max(Some(at));
    }

    /// Records that a read failed.
    pub fn record_failure(&mut self) {
        self.is_failing = true;
    }

    /// Whether no process has read the store for a while, as far as this one knows.
    /// It runs since `resumed`: that it confirmed nothing before is no evidence, but
    /// what a peer said since then is. Nor is a confirmation that is old because the
    /// response took long, as that of a large configuration over a narrow link.
    pub fn is_outage(&self, now: Moment, resumed: Moment) -> bool {
        if !self.is_failing {
            return false;
        }
        let is_stale = |at: Moment| now.saturating_sub(at) > FRESH_AGE;
        let peer_is_stale = self.stale_peer.is_some_and(|at| at >= resumed);
        self.confirmed_at.is_some_and(is_stale) && (is_stale(resumed) || peer_is_stale)
    }

    /// Age of the last confirmation to be sent to peers: none if it is old because
    /// this process was held up until `resumed`.
    pub fn age_for_peers(&self, now: Moment, resumed: Moment) -> Option<Duration> {
        let age = now.saturating_sub(self.confirmed_at?);
        (age <= FRESH_AGE || now.saturating_sub(resumed) > FRESH_AGE).then_some(age)
    }

    /// Records a successful read: it returned all records written before. An empty one
    /// was pending for its whole wait. When another one was answered is not known: its
    /// request or its response may have been on its way for long.
    pub fn record_read(&mut self, now: Moment, read: &ReadTiming, is_empty: bool) {
        self.confirm(read.sent);
        self.is_failing = false;
        let complete_until = match is_empty {
            true => now.min(read.sent + read.wait),
            false => read.sent,
        };
        self.complete_until = self.complete_until.max(Some(complete_until));
    }

    /// Earliest moment at which a record of a read was written: the read before did not
    /// return it. That this one was pending for a while says nothing, as it may have
    /// reached the store late.
    pub fn earliest_write(&self, read: &ReadTiming) -> WriteTime {
        self.since_last_read(match read.followed {
            true => WriteBasis::PreviousRead,
            false => WriteBasis::AfterFailure,
        })
    }

    /// Write time of a record that the last read or confirmation did not include.
    pub fn since_last_read(&self, basis: WriteBasis) -> WriteTime {
        let complete_until = self.complete_until.max(self.confirmed_at);
        WriteTime {
            at: complete_until.unwrap_or_default(),
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
