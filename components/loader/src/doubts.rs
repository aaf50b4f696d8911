use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use derive_more::Display;
use domain::{EngineStatus, ModelId, Moment, WeightVersion, millis, now};
use pieces::TargetVersion;

/// Longest time after the end of its connection within which an engine accepts a call.
/// Engines state no such limit; this is assumed.
const LATE_EFFECT_LIMIT: Duration = Duration::from_secs(5);

/// Shortest time from the start of an engine to that of a process whose predecessor has
/// called it: the predecessor saw its report, was killed and replaced meanwhile.
const FIRST_CALL_TIME: Duration = Duration::from_millis(500);

/// A call to the engine that may still take effect.
#[derive(Debug, Clone, PartialEq, Display)]
pub enum DoubtfulCall {
    /// Whatever a process before this one sent.
    #[display("a call of the process before")]
    Unknown,
    /// A piece of a version.
    #[display("a piece of version {_1} of {_0}")]
    Piece(ModelId, WeightVersion),
    /// An order.
    #[display("the order to load version {} of {}", _0.version, _0.model)]
    Order(Box<TargetVersion>),
}

impl DoubtfulCall {
    /// Whether the call may change what is staged from the pieces of a version to others.
    fn endangers(&self, model: &str, version: WeightVersion) -> bool {
        match self {
            DoubtfulCall::Unknown => true,
            DoubtfulCall::Piece(m, v) => m != model || *v != version,
            // It loads whatever is staged when it is accepted.
            DoubtfulCall::Order(t) => t.model != model || t.version != version,
        }
    }
}

#[derive(Debug)]
struct Doubt {
    id: u64,
    call: DoubtfulCall,
    /// The engine that it was sent to started at this Unix time in milliseconds, or
    /// before.
    started_ms: u64,
    /// Number of orders that it had accepted before.
    sequence: u64,
    until: Moment,
}

/// Calls whose effect is not known: those that are pending, and those whose connection
/// ended without a response. The engine may accept each of them until it restarts or the
/// limit has passed.
#[derive(Debug)]
pub struct Doubts {
    next_id: AtomicU64,
    doubts: Mutex<Vec<Doubt>>,
}

/// A call that has been begun. It is in doubt if this is dropped before it is settled.
#[derive(Debug)]
pub struct PendingCall<'a> {
    doubts: &'a Doubts,
    id: u64,
}

impl PendingCall<'_> {
    /// The engine has responded, or the call was not sent.
    pub fn settle(self) {
        self.doubts.doubts().retain(|d| d.id != self.id);
    }
}

impl Drop for PendingCall<'_> {
    fn drop(&mut self) {
        let mut doubts = self.doubts.doubts();
        if let Some(doubt) = doubts.iter_mut().find(|d| d.id == self.id) {
            doubt.until = now() + LATE_EFFECT_LIMIT;
        }
    }
}

impl Default for Doubts {
    /// The doubts of a process that starts now.
    fn default() -> Self {
        let engine = EngineStatus {
            started_ms: millis(unix_time().saturating_sub(FIRST_CALL_TIME)),
            ..EngineStatus::default()
        };
        let doubts = Doubts {
            next_id: AtomicU64::new(0),
            doubts: Mutex::default(),
        };
        drop(doubts.begin(DoubtfulCall::Unknown, &engine));
        doubts
    }
}

impl Doubts {
    /// Begins a call to an engine with this status.
    pub fn begin(&self, call: DoubtfulCall, engine: &EngineStatus) -> PendingCall<'_> {
        let id = self.next_id.fetch_add(1, Ordering::Relaxed);
        self.doubts().push(Doubt {
            id,
            call,
            started_ms: engine.started_ms,
            sequence: engine.sequence,
            until: Moment::MAX,
        });
        PendingCall { doubts: self, id }
    }

    /// The order that may still be accepted.
    pub fn order(&self) -> Option<TargetVersion> {
        let now = now();
        let doubts = self.doubts();
        let pending = doubts.iter().filter(|d| now < d.until);
        let mut orders = pending.filter_map(|d| match &d.call {
            DoubtfulCall::Order(target) => Some(target),
            _ => None,
        });
        orders.next().map(|t| (**t).clone())
    }

    /// Removes the calls that can no longer take effect at an engine with this status:
    /// those to engines before it, and orders that expect fewer accepted orders.
    pub fn settle(&self, engine: &EngineStatus) {
        // A start later than now is from before the clock was set back; it does not tell
        // whether a process before this one called the engine.
        let is_datable = engine.started_ms <= millis(unix_time());
        self.doubts().retain(|d| match &d.call {
            DoubtfulCall::Unknown => !is_datable || d.started_ms >= engine.started_ms,
            DoubtfulCall::Piece(..) => d.started_ms >= engine.started_ms,
            // A report of an earlier start may be late, and says nothing about this one.
            DoubtfulCall::Order(_) if d.started_ms == engine.started_ms => {
                d.sequence >= engine.sequence
            }
            DoubtfulCall::Order(_) => d.started_ms > engine.started_ms,
        });
    }

    /// A call that may still change what is staged from the pieces of a version to
    /// others.
    pub fn endangering(&self, model: &str, version: WeightVersion) -> Option<DoubtfulCall> {
        let now = now();
        let mut doubts = self.doubts();
        doubts.retain(|d| now < d.until);
        let doubt = doubts.iter().find(|d| d.call.endangers(model, version));
        doubt.map(|d| d.call.clone())
    }

    fn doubts(&self) -> MutexGuard<'_, Vec<Doubt>> {
        self.doubts.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Time since the Unix epoch; zero before it.
pub(crate) fn unix_time() -> Duration {
    let unix = SystemTime::now().duration_since(UNIX_EPOCH);
    unix.unwrap_or_default()
}
