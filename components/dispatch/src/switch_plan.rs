use std::time::Duration;

use domain::{Moment, WeightVersion};

/// Time before the bound on a version at which the last engine is ordered: from
/// the order on nothing begins on older weights.
const LAST_ORDER: Duration = Duration::from_millis(1200);
/// Time from the declaration of a version to the first planned order; by then
/// the first agents have all pieces.
const FIRST_ORDER: Duration = Duration::from_millis(3000);
/// Time between the announcement of a switch and the order: about half of the
/// requests in a batch end in it.
const NOTICE_TIME: Duration = Duration::from_millis(900);
/// An older version is skipped when a newer one is expected at most this long
/// after the older one's bound: less than a second switch costs.
const SKIP_SLACK: Duration = Duration::from_millis(1000);
/// Share of the pieces from which the pace of a fetch says something.
const KNOWN_PACE: f64 = 0.1;

/// A declared version that the engine does not hold.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct VersionCandidate {
    /// Number of the version.
    pub version: WeightVersion,
    /// When it was declared.
    pub declared_at: Moment,
    /// Share of its pieces that are here, 0 to 1.
    pub fraction: f64,
    /// Since when all of them are here.
    pub complete_since: Option<Moment>,
}

/// What an agent does with its engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SwitchStep {
    /// Order the engine to load this version now.
    Load(WeightVersion),
    /// Get everything ready for this version, whose turn comes at this moment.
    Prepare(WeightVersion, Moment),
    /// There is nothing to load yet.
    Wait,
}

/// Decides which declared version an engine loads and when.
///
/// Answers a new version in the middle of a burst: an engine that switches
/// serves nobody for some seconds, so engines take turns within the bound. Two
/// versions in quick succession cost one switch where the newer one arrives in
/// time, and two where it does not, for example while the origin is down.
#[derive(Debug, Clone, Copy)]
pub struct SwitchPlan {
    /// From the declaration of a version to the last start on an older one.
    pub bound: Duration,
    /// Place of the engine in the order of turns, 0 to 1.
    pub turn: f64,
}

impl SwitchPlan {
    /// What to do now for an engine that holds `held`; candidates in the order
    /// of their versions.
    pub fn next(
        &self,
        now: Moment,
        held: Option<WeightVersion>,
        candidates: &[VersionCandidate],
    ) -> SwitchStep {
        let newer = |c: &&VersionCandidate| held.is_none_or(|h| c.version > h);
        let complete = candidates.iter().filter(newer);
        let complete = complete.filter(|c| c.complete_since.is_some());
        let Some(best) = complete.max_by_key(|c| c.version) else {
            return SwitchStep::Wait;
        };
        let next = candidates.iter().find(|c| c.version > best.version);
        let turn = self.turn_of(best, held, candidates);
        if now < turn {
            return SwitchStep::Prepare(best.version, turn);
        }
        if held.is_some() && next.is_some_and(|n| self.arrives_in_time(now, best, n)) {
            return SwitchStep::Wait;
        }
        SwitchStep::Load(best.version)
    }

    /// When the engine loads a version. One that serves nothing, or soon may
    /// serve nothing, does not wait.
    fn turn_of(
        &self,
        candidate: &VersionCandidate,
        held: Option<WeightVersion>,
        candidates: &[VersionCandidate],
    ) -> Moment {
        let Some(held) = held else {
            return Duration::ZERO;
        };
        let skipped = |c: &VersionCandidate| c.version > held && c.version < candidate.version;
        if candidates.iter().any(skipped) {
            return Duration::ZERO;
        }
        let window = self.bound.saturating_sub(LAST_ORDER + FIRST_ORDER);
        let turn = candidate.declared_at + FIRST_ORDER + window.mul_f64(self.turn.clamp(0.0, 1.0));
        let last = candidate.declared_at + self.bound.saturating_sub(LAST_ORDER);
        // Entries need to know ahead, so that long requests go elsewhere.
        let told = candidate.complete_since.unwrap_or_default() + NOTICE_TIME;
        turn.max(told.min(last))
    }

    fn arrives_in_time(
        &self,
        now: Moment,
        older: &VersionCandidate,
        newer: &VersionCandidate,
    ) -> bool {
        if newer.fraction < KNOWN_PACE {
            return false;
        }
        let elapsed = now.saturating_sub(newer.declared_at);
        let expected = newer.declared_at + elapsed.div_f64(newer.fraction);
        expected <= older.declared_at + self.bound + SKIP_SLACK
    }
}
