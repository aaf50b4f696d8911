//! Fault injection, set by `POST /faults` on every stand-in.

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use http_types::{Request, Response};
use serde::{Deserialize, Serialize};
use smol::Timer;

use crate::http;

/// Faults in effect. A stand-in ignores the fields that do not apply to it.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Refuses calls: engines abort their responses, other stand-ins send 503.
    pub down: bool,
    /// Delay of every call in milliseconds.
    pub slow_ms: u64,
    /// Number of the next calls that take effect but whose responses are lost.
    pub lose_answers: u32,
    /// Number of the next responses with a corrupted byte.
    pub corrupt: u32,
    /// Accepts calls but does not process them until the fault is cleared.
    pub silent: bool,
    /// Makes an engine cold again without a new incarnation.
    pub cold: bool,
    /// Pause of every stream of an engine after its first tokens, in milliseconds.
    pub pause_ms: u64,
    /// Announces in every response that the upstream leaves.
    pub leaving: bool,
    /// Refuses runs with status 503 and this value of `Retry-After`.
    pub retry_after: Option<String>,
}

/// How a stand-in handles one call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FaultAction {
    /// Serves it.
    Serve,
    /// Refuses it.
    Refuse,
    /// Serves it, but aborts the response.
    LoseResponse,
}

/// The faults in effect at one stand-in.
#[derive(Debug, Default)]
pub struct FaultInjector {
    faults: Mutex<Faults>,
}

impl FaultInjector {
    /// Replaces the faults in effect.
    pub fn set(&self, faults: Faults) {
        *self.lock() = faults;
    }

    /// Handles `POST /faults`.
    pub async fn update(&self, req: &mut Request) -> Response {
        match http::read_json(req).await {
            Ok(faults) => {
                self.set(faults);
                http::status(204)
            }
            Err(res) => res,
        }
    }

    /// Decides how one call is handled; waits first if calls are slow or silent.
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

    /// Whether to corrupt the next response; counts it down.
    pub fn take_corrupt(&self) -> bool {
        let mut faults = self.lock();
        let corrupt = faults.corrupt > 0;
        faults.corrupt = faults.corrupt.saturating_sub(1);
        corrupt
    }

    /// Pause of a stream after its first tokens.
    pub fn stream_pause(&self) -> Duration {
        Duration::from_millis(self.lock().pause_ms)
    }

    /// The response with which runs are refused for some time, if they are.
    pub fn refusal(&self) -> Option<Response> {
        let wait = self.lock().retry_after.clone()?;
        let mut res = http::status(503);
        res.insert_header("retry-after", wait);
        Some(res)
    }

    /// Adds the headers that every response of an upstream has.
    pub fn announce(&self, mut res: Response) -> Response {
        if self.lock().leaving {
            res.insert_header("server-leaving", "1");
        }
        res
    }

    /// Whether the engine has to become cold again; clears the fault.
    pub fn take_cold(&self) -> bool {
        std::mem::take(&mut self.lock().cold)
    }

    fn lock(&self) -> MutexGuard<'_, Faults> {
        self.faults.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
