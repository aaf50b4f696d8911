//! Faults, switched by `POST /faults` on every stand-in.

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use http_types::{Request, Response};
use serde::{Deserialize, Serialize};
use smol::Timer;

use crate::http;

/// Faults in effect. Fields that a stand-in has no use for are ignored.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Refuses every call with 503.
    pub down: bool,
    /// Delays every call, in milliseconds.
    pub slow_ms: u64,
    /// Next calls that take effect but whose answers are lost.
    pub lose_answers: u32,
    /// Next answers whose bytes are corrupted.
    pub corrupt: u32,
    /// Accepts calls and never answers.
    pub silent: bool,
    /// The upstream is cold again, without a word.
    pub cold: bool,
}

/// What the current call has to suffer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FaultAction {
    /// It is served.
    Serve,
    /// It is refused.
    Refuse,
    /// It is served, but its answer is lost.
    LoseResponse,
}

/// The switchboard of one stand-in.
#[derive(Debug, Default)]
pub struct FaultInjector {
    faults: Mutex<Faults>,
}

impl FaultInjector {
    /// Replaces the faults in effect.
    fn set(&self, faults: Faults) -> Response {
        *self.lock() = faults;
        http::status(204)
    }

    /// Answers `POST /faults`.
    pub async fn update(&self, req: &mut Request) -> Response {
        match http::read_json(req).await {
            Ok(faults) => self.set(faults),
            Err(res) => res,
        }
    }

    /// Decides the fate of one call; waits where calls are slow or silent.
    pub async fn next_action(&self) -> FaultAction {
        let slow = self.lock().slow_ms;
        if slow > 0 {
            Timer::after(Duration::from_millis(slow)).await;
        }
        while self.lock().silent {
            Timer::after(Duration::from_millis(20)).await;
        }
        let mut faults = self.lock();
        if faults.down {
            return FaultAction::Refuse;
        }
        if faults.lose_answers > 0 {
            faults.lose_answers -= 1;
            return FaultAction::LoseResponse;
        }
        FaultAction::Serve
    }

    /// Whether the next answer is corrupted.
    pub fn take_corrupt(&self) -> bool {
        let mut faults = self.lock();
        let corrupt = faults.corrupt > 0;
        faults.corrupt = faults.corrupt.saturating_sub(1);
        corrupt
    }

    /// Whether the upstream was told to be cold again.
    pub fn take_cold(&self) -> bool {
        std::mem::take(&mut self.lock().cold)
    }

    fn lock(&self) -> MutexGuard<'_, Faults> {
        self.faults.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
