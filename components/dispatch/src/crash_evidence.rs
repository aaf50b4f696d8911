use std::cmp::Reverse;
use std::collections::{HashMap, HashSet};
use std::time::Duration;

use domain::Moment;

use crate::{CrashReport, EvidenceReport, Feature, StartId};

/// Time after a response in which a crash does not count against the same request.
const CLEARED_TIME: Duration = Duration::from_secs(20);
/// Time for which a crash is evidence.
const RETENTION: Duration = Duration::from_secs(600);
/// Crashes older than this are not taken over from other entries. The margin keeps
/// entries from returning each other's expired crashes.
const MAX_REPORTED_AGE: Duration = Duration::from_secs(590);
/// Time for which a crash without a known cause is reported.
const REPORT_TIME: Duration = Duration::from_secs(60);
/// A request that was sent this long before a crash still counts as sent after it, since
/// entries learn of a crash at slightly different moments.
const SEQUENCE_TOLERANCE: Duration = Duration::from_millis(20);
/// Crashes of a culprit that are reported beyond those that suffice.
const REPORTED_SURPLUS: usize = 2;
/// Most crashes kept; the oldest ones without a known cause are dropped first.
const MAX_CRASHES: usize = 128;
/// Most features in a report, so that it fits into a datagram.
const MAX_REPORTED: usize = 360;
/// Most features of a crash that are kept.
const MAX_FEATURES: usize = 48;
/// Number of features with a completed request from which old ones are dropped.
const MAX_COMPLETIONS: usize = 8192;

#[derive(Debug)]
struct Crash {
    at: Moment,
    features: HashMap<Feature, InFlight>,
}

/// Requests with a feature that were in flight at a crash.
#[derive(Debug)]
struct InFlight {
    /// Time from the latest of them to the crash.
    lead: Duration,
    /// One of them was sent by this entry.
    is_own: bool,
}

/// Crashes of upstreams with the requests that were in flight, and what they imply.
///
/// A feature causes crashes if it was in flight at several of them in sequence (each time
/// a request sent after the crash before) while no request with it completed. Features
/// that were in flight beside such a one are not held responsible.
#[derive(Debug, Default)]
pub struct CrashEvidence {
    crashes: HashMap<StartId, Crash>,
    /// When a request with the feature last completed here.
    completions: HashMap<Feature, Moment>,
    /// The same at other entries, for features of `crashes`.
    peer_completions: HashMap<Feature, Moment>,
    culprits: HashSet<Feature>,
}

impl CrashEvidence {
    /// Adds a crash that this entry noticed, or features to a known one. Each feature comes
    /// with the time from its request to the crash. Returns whether anything is new.
    pub fn record_crash(
        &mut self,
        at: Moment,
        id: StartId,
        features: impl IntoIterator<Item = (Feature, Duration)>,
    ) -> bool {
        let changed = self.add_crash(at, id, features, true);
        if changed {
            self.evaluate();
        }
        changed
    }

    fn add_crash(
        &mut self,
        at: Moment,
        id: StartId,
        features: impl IntoIterator<Item = (Feature, Duration)>,
        is_own: bool,
    ) -> bool {
        let mut changed = false;
        if !self.crashes.contains_key(&id) {
            self.make_room();
            changed = true;
        }
        let crash = self.crashes.entry(id).or_insert_with(|| Crash {
            at,
            features: HashMap::new(),
        });
        crash.at = crash.at.min(at);
        for (feature, lead) in features {
            let full = crash.features.len() >= MAX_FEATURES;
            match crash.features.get_mut(&feature) {
                Some(known) => {
                    known.lead = lead.min(known.lead);
                    changed |= is_own && !known.is_own;
                    known.is_own |= is_own;
                }
                None if full => {}
                None => {
                    crash.features.insert(feature, InFlight { lead, is_own });
                    changed = true;
                }
            }
        }
        changed
    }

    /// Records that a request with these features completed.
    pub fn record_completion(&mut self, now: Moment, features: &[Feature]) {
        if self.completions.len() >= MAX_COMPLETIONS {
            let recent = |at: &mut Moment| now.saturating_sub(*at) < CLEARED_TIME / 2;
            self.completions.retain(|_, at| recent(at));
        }
        self.completions.extend(features.iter().map(|f| (*f, now)));
        if features.iter().any(|f| self.culprits.contains(f)) {
            self.evaluate();
        }
    }

    /// Drops the crashes that are too old.
    pub fn expire(&mut self, now: Moment) {
        let before = self.crashes.len();
        self.crashes
            .retain(|_, c| now.saturating_sub(c.at) < RETENTION);
        if self.crashes.len() < before {
            let crashes = &self.crashes;
            let in_crash = |f: &Feature| crashes.values().any(|c| c.features.contains_key(f));
            self.peer_completions.retain(|f, _| in_crash(f));
            self.evaluate();
        }
    }

    /// Features that cause crashes.
    pub fn culprits(&self) -> &HashSet<Feature> {
        &self.culprits
    }

    /// What this entry tells the others; empty if there were no crashes. It repeats what
    /// others reported only of the crashes that show a cause, from which new entries learn.
    pub fn report(&self, now: Moment) -> EvidenceReport {
        let explaining = self.explaining_crashes();
        let mut crashes: Vec<(&StartId, &Crash)> = self.crashes.iter().collect();
        // Causes first, then the latest crashes.
        crashes.sort_by_key(|(id, c)| (!self.is_explained(c), Reverse((c.at, **id))));
        let mut room = MAX_REPORTED;
        let mut reports = Vec::new();
        for (id, crash) in crashes {
            let age = now.saturating_sub(crash.at);
            let explained = self.is_explained(crash);
            if explained && !explaining.contains(id) || !explained && age > REPORT_TIME {
                continue;
            }
            let reported = crash
                .features
                .iter()
                .filter(|(f, in_flight)| match explained {
                    true => self.culprits.contains(f),
                    false => in_flight.is_own,
                });
            let features: Vec<(Feature, u64)> = reported
                .map(|(f, in_flight)| (*f, domain::millis(in_flight.lead)))
                .take(room)
                .collect();
            if features.is_empty() {
                continue;
            }
            room -= features.len();
            reports.push(CrashReport {
                id: *id,
                age_ms: domain::millis(age),
                features,
            });
        }
        EvidenceReport {
            completions: self.open_completions(now),
            crashes: reports,
        }
    }

    /// Completed requests of this entry with features of crashes whose cause is open, also
    /// of crashes that only others noticed.
    fn open_completions(&self, now: Moment) -> Vec<(Feature, u64)> {
        let open = self
            .crashes
            .values()
            .filter(|c| !self.is_explained(c) && now.saturating_sub(c.at) <= REPORT_TIME);
        let features: HashSet<Feature> = open.flat_map(|c| c.features.keys().copied()).collect();
        let completions = features.into_iter().filter_map(|f| {
            let at = self.completions.get(&f)?;
            Some((f, domain::millis(now.saturating_sub(*at))))
        });
        completions.take(MAX_REPORTED).collect()
    }

    /// Adds what another entry reported; returns whether it changes the culprits.
    pub fn merge(&mut self, now: Moment, report: EvidenceReport) -> bool {
        for (feature, age_ms) in report.completions {
            let at = now.saturating_sub(Duration::from_millis(age_ms));
            let known = self.peer_completions.entry(feature).or_insert(at);
            *known = at.max(*known);
        }
        let crashes = report.crashes.into_iter().filter(|c| {
            let age = Duration::from_millis(c.age_ms);
            age < MAX_REPORTED_AGE && age <= now
        });
        for crash in crashes {
            let at = now - Duration::from_millis(crash.age_ms);
            let features = crash.features.into_iter();
            let features = features.map(|(f, lead_ms)| (f, Duration::from_millis(lead_ms)));
            self.add_crash(at, crash.id, features, false);
        }
        let crashes = &self.crashes;
        self.peer_completions
            .retain(|f, _| crashes.values().any(|c| c.features.contains_key(f)));
        let before = self.culprits.clone();
        self.evaluate();
        self.culprits != before
    }

    /// Determines the features that cause crashes. Parts go first, since they explain the
    /// crashes of different requests; a crash that has a cause counts against no other
    /// feature.
    fn evaluate(&mut self) {
        self.culprits.clear();
        let mut open: Vec<(&StartId, &Crash)> = self.crashes.iter().collect();
        open.sort_by_key(|(id, crash)| (crash.at, **id));
        while let Some(culprit) = self.worst_suspect(&open, Feature::is_part) {
            open.retain(|(_, c)| !c.features.contains_key(&culprit));
            self.culprits.insert(culprit);
        }
        while let Some(culprit) = self.worst_suspect(&open, |f| !f.is_part()) {
            open.retain(|(_, c)| !c.features.contains_key(&culprit));
            self.culprits.insert(culprit);
        }
    }

    /// The feature that causes most of `crashes`, if one does, of those that `eligible`
    /// accepts.
    fn worst_suspect(
        &self,
        crashes: &[(&StartId, &Crash)],
        eligible: impl Fn(Feature) -> bool,
    ) -> Option<Feature> {
        let mut counts: HashMap<Feature, usize> = HashMap::new();
        for feature in crashes.iter().flat_map(|(_, c)| c.features.keys()) {
            *counts.entry(*feature).or_default() += 1;
        }
        let frequent = counts
            .into_iter()
            .filter(|(f, count)| eligible(*f) && *count >= f.min_crashes());
        let suspects = frequent.filter_map(|(f, count)| {
            let length = self.sequence(f, crashes).len();
            let completed = Reverse(self.last_completion(f));
            (length >= f.min_crashes()).then_some((length, count, completed, f))
        });
        suspects.max().map(|(.., feature)| feature)
    }

    /// Crashes in sequence that count against a feature, among `crashes` in order.
    fn sequence(&self, feature: Feature, crashes: &[(&StartId, &Crash)]) -> Vec<StartId> {
        let mut counted = Vec::new();
        let mut last: Option<Moment> = None;
        for (id, crash) in crashes {
            let Some(in_flight) = crash.features.get(&feature) else {
                continue;
            };
            let sent = crash.at.saturating_sub(in_flight.lead);
            if last.is_none_or(|last| last < sent + SEQUENCE_TOLERANCE)
                && self.counts(feature, crash)
            {
                counted.push(**id);
                last = Some(crash.at);
            }
        }
        counted
    }

    /// Whether no completed request with the feature speaks against it as the cause.
    fn counts(&self, feature: Feature, crash: &Crash) -> bool {
        let Some(completed) = self.last_completion(feature) else {
            return true;
        };
        match feature {
            Feature::Request(_) => completed + CLEARED_TIME <= crash.at,
            Feature::Part(_) => completed < crash.at,
        }
    }

    fn last_completion(&self, feature: Feature) -> Option<Moment> {
        let own = self.completions.get(&feature);
        own.max(self.peer_completions.get(&feature)).copied()
    }

    fn is_explained(&self, crash: &Crash) -> bool {
        crash.features.keys().any(|f| self.culprits.contains(f))
    }

    /// Crashes from which another entry comes to the same culprits.
    fn explaining_crashes(&self) -> HashSet<StartId> {
        let mut crashes: Vec<(&StartId, &Crash)> = self.crashes.iter().collect();
        crashes.sort_by_key(|(id, crash)| (crash.at, **id));
        let sequences = self.culprits.iter().flat_map(|f| {
            let sequence = self.sequence(*f, &crashes);
            let enough = f.min_crashes() + REPORTED_SURPLUS;
            let surplus = sequence.len().saturating_sub(enough);
            sequence.into_iter().skip(surplus)
        });
        sequences.collect()
    }

    /// Drops a crash if there are too many.
    fn make_room(&mut self) {
        if self.crashes.len() < MAX_CRASHES {
            return;
        }
        let oldest = self
            .crashes
            .iter()
            .min_by_key(|(_, c)| (self.is_explained(c), c.at))
            .map(|(id, _)| *id);
        oldest.map(|id| self.crashes.remove(&id));
    }
}
