use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use domain::Moment;
use requests::{Quarantine, Suspicion};

/// Breaks of one upstream within this time belong to one crash.
const TOGETHER: Duration = Duration::from_millis(300);
/// Broken requests within that time that mean a crash rather than a lost answer.
const MIN_BROKEN: usize = 2;
/// Breaks remembered for an upstream.
const MEMORY: usize = 64;

/// Whether a request may be sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// It may.
    Run,
    /// Upstreams crashed while they ran it.
    Refuse,
}

#[derive(Debug, Default)]
struct Breaks {
    recent: VecDeque<(Moment, u64)>,
    down: bool,
}

/// Finds requests that crash the upstreams which run them.
///
/// A single broken exchange says little: answers are lost as well. Only
/// exchanges that break together, or with an upstream that then refuses
/// connections, are charged.
#[derive(Debug, Default)]
pub struct CrashWatch {
    upstreams: HashMap<u64, Breaks>,
    quarantine: Quarantine,
}

impl CrashWatch {
    /// Records that an exchange broke; returns the fingerprints that are now
    /// charged with a crash.
    pub fn broke(&mut self, now: Moment, upstream: u64, fingerprint: u64) -> Vec<u64> {
        let breaks = self.upstreams.entry(upstream).or_default();
        if breaks.recent.len() == MEMORY {
            breaks.recent.pop_front();
        }
        breaks
            .recent
            .retain(|(at, _)| now.saturating_sub(*at) < TOGETHER);
        breaks.recent.push_back((now, fingerprint));
        let known = breaks.down;
        if known || breaks.recent.len() >= MIN_BROKEN {
            return self.charge(now, upstream);
        }
        Vec::new()
    }

    /// Records that an upstream refused a connection; returns the fingerprints
    /// that are now charged with its crash.
    pub fn refused(&mut self, now: Moment, upstream: u64) -> Vec<u64> {
        self.charge(now, upstream)
    }

    /// Records a completed exchange.
    pub fn answered(&mut self, upstream: u64) {
        self.upstreams.remove(&upstream);
    }

    /// Records a crash that a peer has charged.
    pub fn told(&mut self, now: Moment, fingerprint: u64) {
        self.quarantine.crash(now, fingerprint);
    }

    /// Whether a request may be sent.
    pub fn check(&self, now: Moment, fingerprint: u64) -> Verdict {
        match self.quarantine.check(now, fingerprint) {
            Suspicion::Quarantined { .. } => Verdict::Refuse,
            Suspicion::Clear | Suspicion::Suspect => Verdict::Run,
        }
    }

    /// Clears a fingerprint that was answered.
    pub fn absolve(&mut self, fingerprint: u64) {
        self.quarantine.absolve(fingerprint);
    }

    fn charge(&mut self, now: Moment, upstream: u64) -> Vec<u64> {
        let Some(breaks) = self.upstreams.get_mut(&upstream) else {
            return Vec::new();
        };
        breaks.down = true;
        let charged: Vec<u64> = breaks
            .recent
            .drain(..)
            .filter(|(at, _)| now.saturating_sub(*at) < TOGETHER)
            .map(|(_, f)| f)
            .collect();
        for fingerprint in &charged {
            self.quarantine.crash(now, *fingerprint);
        }
        charged
    }
}
