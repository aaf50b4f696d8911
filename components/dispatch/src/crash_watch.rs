use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use domain::Moment;
use requests::{Quarantine, Suspicion};

/// Exchanges of one upstream that break within this time belong to one crash.
const CRASH_WINDOW: Duration = Duration::from_millis(300);
/// Broken exchanges within that time that count as a crash: a single one may be a
/// lost response.
const MIN_BROKEN: usize = 2;
/// Most broken exchanges kept for an upstream.
const MAX_BREAKS: usize = 64;

/// Whether a request may be sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// The request may be sent.
    Run,
    /// The request is refused, since upstreams crashed while they ran it.
    Refuse,
}

/// Time after a response in which a fingerprint is not charged with a crash.
const CLEARED_TIME: Duration = Duration::from_secs(20);
/// Time for which a charge is remembered, so that peers that repeat it do not count as
/// another crash.
const CHARGE_MEMORY: Duration = Duration::from_secs(600);
/// Most charges remembered; the oldest are forgotten first.
const MAX_CHARGES: usize = 4096;
/// Number of fingerprints with a response from which old ones are removed.
const MAX_RESPONSES: usize = 8192;

#[derive(Debug, Default)]
struct Breaks {
    recent: VecDeque<(Moment, u64)>,
    /// Fingerprints charged with the current crash of the upstream.
    charged: Vec<u64>,
    down: bool,
}

/// Finds requests that crash the upstreams which run them.
///
/// A single broken exchange may be a lost response. A request is charged with a crash
/// only if several exchanges with the upstream break together or if the upstream then
/// refuses connections, and once for each crash. Other requests that were running at
/// the same upstream are cleared when another upstream responds to them.
#[derive(Debug, Default)]
pub struct CrashWatch {
    upstreams: HashMap<u64, Breaks>,
    /// When a fingerprint last got a response.
    last_response: HashMap<u64, Moment>,
    /// When a fingerprint was charged, by this entry or first by a peer.
    charges: HashMap<u64, Moment>,
    quarantine: Quarantine,
}

impl CrashWatch {
    /// Records that an exchange broke off; returns the fingerprints that are now
    /// charged with a crash.
    pub fn record_break(&mut self, now: Moment, upstream: u64, fingerprint: u64) -> Vec<u64> {
        let breaks = self.upstreams.entry(upstream).or_default();
        if breaks.recent.len() == MAX_BREAKS {
            breaks.recent.pop_front();
        }
        breaks
            .recent
            .retain(|(at, _)| now.saturating_sub(*at) < CRASH_WINDOW);
        breaks.recent.push_back((now, fingerprint));
        let down = breaks.down;
        if down || breaks.recent.len() >= MIN_BROKEN {
            return self.charge(now, upstream);
        }
        Vec::new()
    }

    /// Records that an upstream refused a connection; returns the fingerprints
    /// that are now charged with its crash.
    pub fn record_connection_refused(&mut self, now: Moment, upstream: u64) -> Vec<u64> {
        self.charge(now, upstream)
    }

    /// Records a request that an upstream responded to, which clears its fingerprint.
    pub fn record_response(&mut self, now: Moment, upstream: u64, fingerprint: u64) {
        self.upstreams.remove(&upstream);
        self.quarantine.forget(fingerprint);
        if self.last_response.len() >= MAX_RESPONSES {
            let recent = |at: &mut Moment| now.saturating_sub(*at) < CLEARED_TIME / 2;
            self.last_response.retain(|_, at| recent(at));
        }
        self.last_response.insert(fingerprint, now);
    }

    /// Records a fingerprint that a peer has charged with a crash. Peers repeat their
    /// charges and those of others; returns false for one that is known.
    pub fn record_peer_charge(&mut self, now: Moment, fingerprint: u64) -> bool {
        let charged_at = self.charges.get(&fingerprint);
        if charged_at.is_some_and(|at| now.saturating_sub(*at) < CHARGE_MEMORY) {
            return false;
        }
        self.remember_charge(now, fingerprint);
        self.quarantine.record_crash(now, fingerprint);
        true
    }

    fn remember_charge(&mut self, now: Moment, fingerprint: u64) {
        if self.charges.len() >= MAX_CHARGES {
            let oldest = self.charges.iter().min_by_key(|(_, at)| **at);
            let oldest = oldest.map(|(fingerprint, _)| *fingerprint);
            oldest.map(|fingerprint| self.charges.remove(&fingerprint));
        }
        self.charges.insert(fingerprint, now);
    }

    /// Whether a request may be sent.
    pub fn check(&self, now: Moment, fingerprint: u64) -> Verdict {
        match self.quarantine.check(now, fingerprint) {
            Suspicion::Quarantined { .. } => Verdict::Refuse,
            Suspicion::Clear | Suspicion::Suspect => Verdict::Run,
        }
    }

    fn charge(&mut self, now: Moment, upstream: u64) -> Vec<u64> {
        let Some(breaks) = self.upstreams.get_mut(&upstream) else {
            return Vec::new();
        };
        breaks.down = true;
        let mut charged: Vec<u64> = breaks
            .recent
            .drain(..)
            .filter(|(at, _)| now.saturating_sub(*at) < CRASH_WINDOW)
            .map(|(_, f)| f)
            .collect();
        charged.sort_unstable();
        charged.dedup();
        let cleared = |f: &u64| {
            let last_response = self.last_response.get(f);
            last_response.is_some_and(|at| now.saturating_sub(*at) < CLEARED_TIME)
        };
        charged.retain(|f| !breaks.charged.contains(f) && !cleared(f));
        breaks.charged.extend(&charged);
        for fingerprint in &charged {
            self.remember_charge(now, *fingerprint);
            self.quarantine.record_crash(now, *fingerprint);
        }
        charged
    }
}
