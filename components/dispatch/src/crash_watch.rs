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

/// A fingerprint that was answered this lately does not crash upstreams.
const INNOCENT: Duration = Duration::from_secs(20);
/// Answered fingerprints that are remembered.
const MAX_ANSWERED: usize = 8192;

#[derive(Debug, Default)]
struct Breaks {
    recent: VecDeque<(Moment, u64)>,
    /// Charged with the crash from which the upstream has not come back.
    charged: Vec<u64>,
    down: bool,
}

/// Finds requests that crash the upstreams which run them.
///
/// A single broken exchange says little: answers are lost as well. Only
/// exchanges that break together, or with an upstream that then refuses
/// connections, are charged, once for each crash. Neighbours of a request that
/// crashes its upstreams are answered elsewhere, which clears them.
#[derive(Debug, Default)]
pub struct CrashWatch {
    upstreams: HashMap<u64, Breaks>,
    answered: HashMap<u64, Moment>,
    quarantine: Quarantine,
}

impl CrashWatch {
    /// Records that an exchange broke; returns the fingerprints that are now
    /// charged with a crash.
    pub fn record_break(&mut self, now: Moment, upstream: u64, fingerprint: u64) -> Vec<u64> {
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
    pub fn record_connection_refused(&mut self, now: Moment, upstream: u64) -> Vec<u64> {
        self.charge(now, upstream)
    }

    /// Records a request that an upstream has answered.
    pub fn record_answer(&mut self, now: Moment, upstream: u64, fingerprint: u64) {
        self.upstreams.remove(&upstream);
        self.quarantine.absolve(fingerprint);
        if self.answered.len() >= MAX_ANSWERED {
            let recent = |at: &mut Moment| now.saturating_sub(*at) < INNOCENT / 2;
            self.answered.retain(|_, at| recent(at));
        }
        self.answered.insert(fingerprint, now);
    }

    /// Records a crash that a peer has charged.
    pub fn record_peer_charge(&mut self, now: Moment, fingerprint: u64) {
        self.quarantine.crash(now, fingerprint);
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
            .filter(|(at, _)| now.saturating_sub(*at) < TOGETHER)
            .map(|(_, f)| f)
            .collect();
        charged.sort_unstable();
        charged.dedup();
        let innocent = |f: &u64| {
            let answered = self.answered.get(f);
            answered.is_some_and(|at| now.saturating_sub(*at) < INNOCENT)
        };
        charged.retain(|f| !breaks.charged.contains(f) && !innocent(f));
        breaks.charged.extend(&charged);
        for fingerprint in &charged {
            self.quarantine.crash(now, *fingerprint);
        }
        charged
    }
}
