use std::collections::{HashMap, HashSet, VecDeque};
use std::time::Duration;

use domain::Moment;

use crate::crash_evidence::CrashEvidence;
use crate::{EvidenceReport, Feature, StartId};

/// Exchanges of one upstream that break within this time belong to one crash.
const CRASH_WINDOW: Duration = Duration::from_millis(300);
/// Time after which a request that crashes upstreams has done so, where nothing tells when.
/// It is shorter than the wait for a response after which another upstream is tried.
const SILENT_CRASH_TIME: Duration = Duration::from_millis(200);
/// Most broken exchanges kept for an upstream.
const MAX_BREAKS: usize = 64;
/// Number of upstreams with broken exchanges from which old ones are dropped.
const MAX_STARTS: usize = 4096;
/// Time after which a check of an upstream that gave no result is repeated.
const CHECK_TIMEOUT: Duration = Duration::from_secs(2);
/// Age up to which an exchange is checked while it is not known whether its upstream crashed;
/// a machine starts again within seconds.
const MAX_CHECKED_AGE: Duration = Duration::from_secs(10);

/// Whether a request may be sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// The request may be sent.
    Run,
    /// The request is refused, since upstreams crashed while they ran it or others with
    /// the same part of the prompt.
    Refuse,
}

/// How an exchange with an upstream ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ExchangeEnd {
    /// The connection ended, and the response was incomplete.
    Broken,
    /// The connection of a response without a length ended, so it may have been complete.
    Undelimited,
    /// Nothing was received for a while, or until the caller gave up. A machine that goes
    /// down closes no connection.
    Silent,
}

/// What follows from the end of an exchange.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NextCheck {
    /// Connect to the upstream to learn whether it crashed, and record the result.
    Connect,
    /// The same after a pause.
    ConnectLater,
    /// Look after a pause whether another start has the upstream's address.
    AwaitStart,
    /// Nothing: it is known, or being checked.
    None,
}

#[derive(Debug)]
struct EndedExchange {
    at: Moment,
    sent: Moment,
    end: ExchangeEnd,
    features: Vec<Feature>,
}

impl EndedExchange {
    fn is_silent(&self) -> bool {
        self.end == ExchangeEnd::Silent
    }
}

/// One start of an upstream.
#[derive(Debug, Default)]
struct Start {
    ended: VecDeque<EndedExchange>,
    crashed: bool,
    /// When the pending check began.
    checked_at: Option<Moment>,
}

impl Start {
    /// Drops the exchanges that are too old to be checked any more.
    fn drop_old(&mut self, now: Moment) {
        self.ended
            .retain(|e| now.saturating_sub(e.at) < MAX_CHECKED_AGE);
    }

    /// Continues with `next` if there are exchanges to be checked.
    fn after_check(&mut self, now: Moment, next: NextCheck) -> NextCheck {
        let is_done = self.ended.is_empty();
        self.checked_at = (!is_done).then_some(now);
        match is_done {
            true => NextCheck::None,
            false => next,
        }
    }
}

/// Finds the requests, and the parts of prompts, that crash the upstreams which run them.
///
/// A broken exchange may be a lost response, and a silent one may go on. So a crash counts
/// only once the start of the upstream has provably ended: it refuses connections, or another
/// start has its address. One that opens none may stand still, or its link is cut. Each crash counts once, however many
/// entries notice it.
#[derive(Debug, Default)]
pub struct CrashWatch {
    starts: HashMap<StartId, Start>,
    evidence: CrashEvidence,
}

impl CrashWatch {
    /// Records how the exchange of a request that was sent at `sent` ended.
    pub fn record_end(
        &mut self,
        now: Moment,
        start: StartId,
        end: ExchangeEnd,
        sent: Moment,
        features: Vec<Feature>,
    ) -> NextCheck {
        let at = match end {
            ExchangeEnd::Silent => now.min(sent + SILENT_CRASH_TIME),
            ExchangeEnd::Broken | ExchangeEnd::Undelimited => now,
        };
        if self.starts.len() >= MAX_STARTS {
            self.drop_old(now);
        }
        let upstream = self.starts.entry(start).or_default();
        if upstream.ended.len() == MAX_BREAKS {
            upstream.ended.pop_front();
        }
        upstream.ended.push_back(EndedExchange {
            at,
            sent,
            end,
            features,
        });
        if upstream.crashed {
            self.record_crash(start);
            return NextCheck::None;
        }
        let pending = upstream.checked_at;
        if pending.is_some_and(|at| now.saturating_sub(at) < CHECK_TIMEOUT) {
            return NextCheck::None;
        }
        upstream.checked_at = Some(now);
        NextCheck::Connect
    }

    /// Records that the start of an upstream has ended: it refused a connection, or another
    /// one has its address. Returns whether that shows a crash that was not known.
    pub fn record_start_ended(&mut self, start: StartId) -> bool {
        self.record_crash(start)
    }

    /// Records that an upstream has responded, so that exchanges which are silent did not end
    /// in a crash.
    pub fn record_heard(&mut self, start: StartId) {
        if let Some(upstream) = self.starts.get_mut(&start) {
            upstream.ended.retain(|e| !e.is_silent());
        }
    }

    /// Records that an upstream neither accepted nor refused a connection, which shows nothing
    /// about the exchanges that ended.
    pub fn record_connection_timeout(&mut self, now: Moment, start: StartId) -> NextCheck {
        let Some(upstream) = self.starts.get_mut(&start) else {
            return NextCheck::None;
        };
        upstream.drop_old(now);
        upstream.after_check(now, NextCheck::ConnectLater)
    }

    /// Records that an upstream accepted a connection, which shows that the connections
    /// which ended before the check began did not end in a crash. Silent exchanges may be of
    /// a start before the one that accepted it.
    pub fn record_connection_accepted(&mut self, now: Moment, start: StartId) -> NextCheck {
        let Some(upstream) = self.starts.get_mut(&start) else {
            return NextCheck::None;
        };
        let checked_at = upstream.checked_at.take().unwrap_or(now);
        upstream.drop_old(now);
        let (ended, rest): (VecDeque<_>, VecDeque<_>) = upstream
            .ended
            .drain(..)
            .partition(|e| !e.is_silent() && e.at <= checked_at);
        upstream.ended = rest;
        let next = match upstream.ended.iter().all(EndedExchange::is_silent) {
            true => upstream.after_check(now, NextCheck::AwaitStart),
            false => upstream.after_check(now, NextCheck::Connect),
        };
        for exchange in ended {
            if exchange.end == ExchangeEnd::Undelimited {
                self.evidence
                    .record_completion(exchange.at, &exchange.features);
            }
        }
        next
    }

    /// Records a request that an upstream responded to completely.
    pub fn record_response(&mut self, now: Moment, start: StartId, features: &[Feature]) {
        if let Some(upstream) = self.starts.get_mut(&start) {
            upstream.crashed = false;
        }
        self.record_heard(start);
        self.evidence.record_completion(now, features);
    }

    /// Adds what another entry reported; returns whether it changes the culprits.
    pub fn merge(&mut self, now: Moment, report: EvidenceReport) -> bool {
        self.evidence.merge(now, report)
    }

    /// What this entry tells the others.
    pub fn report(&mut self, now: Moment) -> EvidenceReport {
        self.evidence.expire(now);
        self.evidence.report(now)
    }

    /// Features whose requests are refused.
    pub fn culprits(&self) -> &HashSet<Feature> {
        self.evidence.culprits()
    }

    /// Whether a request with these features may be sent.
    pub fn check(&mut self, now: Moment, features: &[Feature]) -> Verdict {
        if self.evidence.culprits().is_empty() {
            return Verdict::Run;
        }
        self.evidence.expire(now);
        let culprits = self.evidence.culprits();
        match features.iter().any(|f| culprits.contains(f)) {
            true => Verdict::Refuse,
            false => Verdict::Run,
        }
    }

    /// Records the exchanges that ended last as those of a crash; returns whether there
    /// are any.
    fn record_crash(&mut self, start: StartId) -> bool {
        let Some(upstream) = self.starts.get_mut(&start) else {
            return false;
        };
        upstream.crashed = true;
        upstream.checked_at = None;
        let last = upstream.ended.iter().map(|e| e.at).max();
        let Some(last) = last else {
            return false;
        };
        let is_of_crash =
            |e: &EndedExchange| e.is_silent() || last.saturating_sub(e.at) < CRASH_WINDOW;
        let ended: Vec<EndedExchange> = upstream.ended.drain(..).filter(is_of_crash).collect();
        let at = ended.iter().map(|e| e.at).min().unwrap_or(last);
        let features = ended
            .iter()
            .flat_map(|e| e.features.iter().map(|f| (*f, e.at.saturating_sub(e.sent))));
        self.evidence.record_crash(at, start, features)
    }

    fn drop_old(&mut self, now: Moment) {
        self.starts.retain(|_, upstream| {
            let last = upstream.ended.back();
            last.is_some_and(|e| now.saturating_sub(e.at) < CHECK_TIMEOUT)
        });
    }
}
