use std::time::Duration;

use domain::{Moment, WeightVersion};

use crate::SwitchReason;

/// Time before the bound on a version at which the last engine is ordered to load it:
/// no request starts on older weights after the order.
const LAST_ORDER: Duration = Duration::from_millis(1200);
/// Time from the declaration of a version to the first planned order; by then the
/// first agents hold all pieces.
const FIRST_ORDER: Duration = Duration::from_millis(3000);
/// Time from the announcement of a switch to the order: about half of the requests
/// in a batch end within it.
const ANNOUNCE_TIME: Duration = Duration::from_millis(900);
/// Shortest time over which the orders are spread while at least a little more is left: an
/// engine is closed for 0.3 to 0.75 s, so about half of the engines go on serving.
const LATE_SPREAD: Duration = Duration::from_millis(1200);
/// Part of the time that is left, as a divisor, which the announcement and the closing margin
/// keep in any case: orders take some tens of milliseconds.
const RESERVED_PART: u32 = 8;
/// An older version is skipped if a newer one is expected to leave at least this much time
/// for announced switches before the older one's bound. All engines that skip it switch in
/// that time.
const SKIP_WINDOW: Duration = Duration::from_millis(2500);
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

/// Time in which the engines of a service are ordered to load a version.
#[derive(Debug, Clone, Copy)]
struct OrderWindow {
    /// Time from the announcement of a switch to the order.
    announced: Duration,
    /// The announcement and the closing margin are shorter than usual.
    is_short: bool,
    first: Moment,
    last: Moment,
}

impl OrderWindow {
    /// When the engine at `position` in the order of switches has its turn.
    fn turn(&self, position: f64) -> Moment {
        let spread = self.last.saturating_sub(self.first);
        self.first + spread.mul_f64(position.clamp(0.0, 1.0))
    }
}

/// Decides which declared version an engine loads and when.
///
/// An engine that switches serves no requests for some seconds, so the engines of a
/// service switch at different times, evenly spread from when they hold all pieces to the
/// bound. The less time is left, the shorter are the announcement and the margin before the
/// bound; past the bound an engine serves nothing and switches at once. Of two versions in
/// quick succession the first is skipped if the second leaves time to spread the switches, and
/// loaded if it does not: engines that skip it all switch at the same moment otherwise.
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
        let mut newer = candidates.iter().filter(newer);
        let complete = newer.clone().filter(|c| c.complete_since.is_some());
        let (Some(oldest), Some(newest)) = (newer.next(), complete.max_by_key(|c| c.version))
        else {
            return SwitchStep::Wait;
        };
        let (chosen, switch_at) = match held {
            // It serves no requests until then.
            None => (newest, Duration::ZERO),
            Some(_) => self.turn(oldest, newest),
        };
        if now < switch_at {
            return SwitchStep::Prepare(chosen.version, switch_at);
        }
        let next = candidates.iter().find(|c| c.version > chosen.version);
        if held.is_some() && next.is_some_and(|n| self.arrives_in_time(now, chosen, n)) {
            return SwitchStep::Wait;
        }
        SwitchStep::Load(chosen.version)
    }

    /// Why [`SwitchPlan::next`] returned `step` for the same arguments.
    pub fn reason(
        &self,
        now: Moment,
        held: Option<WeightVersion>,
        candidates: &[VersionCandidate],
        step: SwitchStep,
    ) -> SwitchReason {
        let newer = |c: &&VersionCandidate| held.is_none_or(|h| c.version > h);
        let mut newer = candidates.iter().filter(newer);
        let is_complete = |c: &VersionCandidate| c.complete_since.is_some();
        match step {
            SwitchStep::Prepare(..) => SwitchReason::NotItsTurn,
            SwitchStep::Wait if newer.any(is_complete) => SwitchReason::SuccessorNear,
            SwitchStep::Wait => SwitchReason::PiecesMissing,
            SwitchStep::Load(_) if held.is_none() => SwitchReason::NoWeights,
            SwitchStep::Load(version) => match newer.next() {
                Some(oldest) if now >= oldest.declared_at + self.bound => SwitchReason::PastBound,
                Some(oldest) => {
                    let loaded = candidates.iter().find(|c| c.version == version);
                    let basis = oldest
                        .complete_since
                        .or(loaded.and_then(|c| c.complete_since));
                    match self.window(oldest, basis).is_short {
                        true => SwitchReason::InShortTurn,
                        false => SwitchReason::InTurn,
                    }
                }
                None => SwitchReason::InTurn,
            },
        }
    }

    /// The version that the engine loads in its turn, and when that is: before the bound on
    /// `oldest`, the oldest version that it does not hold. `newest` is the newest of which it
    /// holds all pieces.
    fn turn<'a>(
        &self,
        oldest: &'a VersionCandidate,
        newest: &'a VersionCandidate,
    ) -> (&'a VersionCandidate, Moment) {
        // If the oldest is still missing, the newest is loaded in its place.
        let basis = if oldest.complete_since.is_some() {
            oldest
        } else {
            newest
        };
        let window = self.window(oldest, basis.complete_since);
        let turn = window.turn(self.position);
        let announced = |c: &VersionCandidate| c.complete_since.map(|at| at + window.announced);
        match announced(newest) {
            Some(at) if at <= turn => (newest, turn),
            _ => (basis, turn),
        }
    }

    /// The time in which the engines are ordered to load `oldest` or a newer version in its
    /// place, all pieces of which are held since `complete_since`.
    fn window(&self, oldest: &VersionCandidate, complete_since: Option<Moment>) -> OrderWindow {
        let bound = oldest.declared_at + self.bound;
        let reserved = ANNOUNCE_TIME + LAST_ORDER;
        // A calm start, unless the bound is too short for one.
        let calm = (oldest.declared_at + FIRST_ORDER.saturating_sub(ANNOUNCE_TIME))
            .min(bound.saturating_sub(reserved + LATE_SPREAD));
        let from = complete_since.unwrap_or(bound).max(calm);
        let left = bound.saturating_sub(from);
        let kept = left
            .saturating_sub(LATE_SPREAD)
            .max(left / RESERVED_PART)
            .min(reserved);
        // The switch is announced in advance, so that entries send long requests to
        // other engines.
        let announced = kept.mul_f64(ANNOUNCE_TIME.div_duration_f64(reserved));
        OrderWindow {
            announced,
            is_short: kept < reserved,
            first: from + announced,
            last: from + announced + left.saturating_sub(kept),
        }
    }

    /// Latest order to load a version, or a newer one in its place.
    fn last_order(&self, candidate: &VersionCandidate) -> Moment {
        candidate.declared_at + self.bound.saturating_sub(LAST_ORDER)
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
        expected + ANNOUNCE_TIME + SKIP_WINDOW <= self.last_order(older)
    }
}
