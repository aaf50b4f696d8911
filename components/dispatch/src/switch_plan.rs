use std::time::Duration;

use domain::{Moment, WeightVersion};

/// Time before the bound on a version at which the last engine is ordered to load it:
/// no request starts on older weights after the order.
const LAST_ORDER: Duration = Duration::from_millis(1200);
/// Time from the declaration of a version to the first planned order; by then the
/// first agents hold all pieces.
const FIRST_ORDER: Duration = Duration::from_millis(3000);
/// Time from the announcement of a switch to the order: about half of the requests
/// in a batch end within it.
const ANNOUNCE_TIME: Duration = Duration::from_millis(900);
/// An older version is skipped if a newer one is expected to be complete at most this
/// long after the older one's bound: this costs less than a second switch.
const SKIP_SLACK: Duration = Duration::from_millis(1000);
/// Fraction of the pieces from which the rate of a download is a usable estimate.
const MIN_FRACTION: f64 = 0.1;

/// A declared version that the engine does not hold.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct VersionCandidate {
    /// Number of the version.
    pub version: WeightVersion,
    /// When it was declared.
    pub declared_at: Moment,
    /// Fraction of its pieces that are present, 0 to 1.
    pub fraction: f64,
    /// Since when all pieces are present; `None` while some are missing.
    pub complete_since: Option<Moment>,
}

/// Next step of an agent with its engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SwitchStep {
    /// Order the engine to load this version now.
    Load(WeightVersion),
    /// Stage this version, which is to be loaded at this moment.
    Prepare(WeightVersion, Moment),
    /// No version can be loaded yet.
    Wait,
}

/// Decides which declared version an engine loads and when.
///
/// An engine that switches serves no requests for some seconds, so the engines of a
/// service switch at different times within the bound. Of two versions in quick
/// succession the first is skipped if the second arrives in time, and loaded if it
/// does not, for example while the origin is down.
#[derive(Debug, Clone, Copy)]
pub struct SwitchPlan {
    /// Time from the declaration of a version to the last start of a request on an
    /// older one.
    pub bound: Duration,
    /// Position of the engine in the order of switches, 0 to 1.
    pub position: f64,
}

impl SwitchPlan {
    /// The step at `now` for an engine that holds `held`; `candidates` are sorted by
    /// version.
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
        let switch_at = self.switch_time(best, held, candidates);
        if now < switch_at {
            return SwitchStep::Prepare(best.version, switch_at);
        }
        if held.is_some() && next.is_some_and(|n| self.arrives_in_time(now, best, n)) {
            return SwitchStep::Wait;
        }
        SwitchStep::Load(best.version)
    }

    /// When the engine loads a version. An engine without weights, or one that has
    /// skipped a version and may soon serve no requests, loads it at once.
    fn switch_time(
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
        let planned =
            candidate.declared_at + FIRST_ORDER + window.mul_f64(self.position.clamp(0.0, 1.0));
        let last = candidate.declared_at + self.bound.saturating_sub(LAST_ORDER);
        // Entries must know in advance, so that they send long requests to others.
        let announced = candidate.complete_since.unwrap_or_default() + ANNOUNCE_TIME;
        planned.max(announced.min(last))
    }

    fn arrives_in_time(
        &self,
        now: Moment,
        older: &VersionCandidate,
        newer: &VersionCandidate,
    ) -> bool {
        if newer.fraction < MIN_FRACTION {
            return false;
        }
        let elapsed = now.saturating_sub(newer.declared_at);
        let expected = newer.declared_at + elapsed.div_f64(newer.fraction);
        expected <= older.declared_at + self.bound + SKIP_SLACK
    }
}
