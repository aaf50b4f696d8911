use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use derive_more::Display;
use domain::{ModelId, Moment, WeightVersion, now};

/// Longest time after the end of its connection within which an engine accepts a call.
/// It is longer than the stops of VMs and engines that are planned for.
const LATE_EFFECT_LIMIT: Duration = Duration::from_secs(5);

/// A call to the engine that may still take effect.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub enum DoubtfulCall {
    /// Whatever a process before this one sent.
    #[display("a call of the process before")]
    Unknown,
    /// A piece of a version.
    #[display("a piece of version {_1} of {_0}")]
    Piece(ModelId, WeightVersion),
}

impl DoubtfulCall {
    /// Whether the call may change what is staged from the pieces of a version to others.
    fn endangers(&self, model: &str, version: WeightVersion) -> bool {
        match self {
            DoubtfulCall::Unknown => true,
            DoubtfulCall::Piece(m, v) => m != model || *v != version,
        }
    }
}

#[derive(Debug)]
struct Doubt {
    call: DoubtfulCall,
    /// The engine that it was sent to started at this Unix time in milliseconds, or
    /// before.
    started_ms: u64,
    until: Moment,
}

/// Calls whose connection ended without a response. The engine may accept each of them
/// until it restarts or the limit has passed.
#[derive(Debug)]
pub struct Doubts(Mutex<Vec<Doubt>>);

impl Default for Doubts {
    /// The doubts of a process that starts now.
    fn default() -> Self {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH);
        let unix_ms = unix.map_or(Duration::ZERO, |t| t).as_millis();
        let doubts = Doubts(Mutex::default());
        let started_ms = u64::try_from(unix_ms).unwrap_or(u64::MAX);
        doubts.add(DoubtfulCall::Unknown, started_ms);
        doubts
    }
}

impl Doubts {
    /// Adds a call to an engine that started at `started_ms`; its connection ended now.
    pub fn add(&self, call: DoubtfulCall, started_ms: u64) {
        let until = now() + LATE_EFFECT_LIMIT;
        self.doubts().push(Doubt {
            call,
            started_ms,
            until,
        });
    }

    /// Removes the calls to engines before the one that started at `started_ms`.
    pub fn settle_before(&self, started_ms: u64) {
        self.doubts().retain(|d| d.started_ms >= started_ms);
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
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
