use std::sync::OnceLock;
use std::time::{Duration, Instant};

use async_channel::{Receiver, Sender};
use derive_more::Display;
use futures_lite::FutureExt;
use serde_json::json;
use smol::Timer;
use telemetry::{Outcome, decision};
use wire::{Caller, Problem};

/// Time for which a request goes on after its caller has closed its sending side. With the
/// delays of the servers of entry and agent, work for a caller that left ends within half a
/// second.
const INPUT_GRACE: Duration = Duration::from_millis(250);
/// Wait advised before a retry at another entry.
const STOPPED_RETRY: Duration = Duration::from_secs(1);

/// Why a request ends before its answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum Interruption {
    /// The caller has closed its sending side.
    #[display("the caller closed its connection")]
    CallerClosed,
    /// The time for the shutdown has passed.
    #[display("the entry stops")]
    Stopping,
}

impl Interruption {
    /// Logs the end of a request that was not sent to an upstream, and returns its problem.
    pub fn not_run(self, request: &str) -> Problem {
        self.log(request, "not-run");
        let detail = format!("{self}; the request was not run, send it again");
        Problem::not_run(503, "interrupted", detail).retry_after(STOPPED_RETRY)
    }

    /// Logs the end of a request that was sent to an upstream, and returns its problem.
    pub fn unknown(self, request: &str) -> Problem {
        self.log(request, "unknown");
        let detail = format!("{self} before the upstream responded; the request may have run");
        Problem::unknown(502, "interrupted", detail)
    }

    fn log(self, request: &str, outcome: &str) {
        let fields = json!({ "request": request, "why": self.to_string(), "outcome": outcome });
        decision("dispatch", "interrupted", Outcome::Failure, fields);
    }
}

/// Signals that end a request before its answer.
pub struct Interrupt {
    caller: Option<Caller>,
    stopping: Receiver<()>,
    closed_at: OnceLock<Instant>,
}

impl Interrupt {
    /// Ends the request of `caller`, or all when the other end of `stopping` is closed.
    pub fn new(caller: Option<Caller>, stopping: Receiver<()>) -> Self {
        Interrupt {
            caller,
            stopping,
            closed_at: OnceLock::new(),
        }
    }

    /// Resolves when a request that may be cancelled is to end.
    pub async fn raised(&self) -> Interruption {
        self.stopping().or(self.caller_closed()).await
    }

    async fn stopping(&self) -> Interruption {
        // Nothing is ever sent.
        let _ = self.stopping.recv().await;
        Interruption::Stopping
    }

    /// Resolves when a request that was sent and may not be cancelled is to end. Signals on
    /// `withdrawal` when its caller has closed its sending side.
    pub async fn stopping_beside(&self, withdrawal: &Sender<()>) -> Interruption {
        let withdrawn = async {
            self.caller_closed().await;
            // Fails if the run has ended.
            let _ = withdrawal.try_send(());
            std::future::pending().await
        };
        self.stopping().or(withdrawn).await
    }

    async fn caller_closed(&self) -> Interruption {
        match &self.caller {
            Some(caller) => caller.input_ended().await,
            None => std::future::pending().await,
        }
        let closed_at = *self.closed_at.get_or_init(Instant::now);
        Timer::at(closed_at + INPUT_GRACE).await;
        Interruption::CallerClosed
    }
}
