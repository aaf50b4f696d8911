use std::io;
use std::time::Instant;

use compact_str::CompactString;
use serde_json::json;
use telemetry::{Outcome, decision};
use wire::BodyObserver;

use crate::lease::Lease;

/// How far the answer to a request has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Stage {
    /// Nothing of it was passed on.
    Waiting,
    /// Its head was passed on.
    Started,
    /// The upstream ended it early.
    CutByUpstream,
    /// All of it was passed on.
    Complete,
}

/// Logs when a caller's connection ends without a complete answer, and which end has closed
/// it.
#[derive(Debug)]
pub struct AnswerLog {
    request: CompactString,
    arrived_at: Instant,
    stage: Stage,
}

impl AnswerLog {
    /// A log of the answer to a request that was just read.
    pub fn new(request: CompactString) -> Self {
        AnswerLog {
            request,
            arrived_at: Instant::now(),
            stage: Stage::Waiting,
        }
    }

    /// Records that the complete answer is passed on.
    pub fn complete(&mut self) {
        self.stage = Stage::Complete;
    }

    /// Records that the head of an answer is passed on, whose end `lease` observes too.
    pub fn start(mut self, lease: Lease) -> RelayObserver {
        self.stage = Stage::Started;
        RelayObserver { lease, log: self }
    }
}

impl Drop for AnswerLog {
    fn drop(&mut self) {
        let (what, by) = match self.stage {
            Stage::Waiting => ("no answer", "caller"),
            Stage::Started => ("answer cut", "caller"),
            Stage::CutByUpstream => ("answer cut", "upstream"),
            Stage::Complete => return,
        };
        metrics::counter!("turmerichold_answers_cut_total", "by" => by).increment(1);
        let fields = json!({
            "request": self.request,
            "by": by,
            "age_ms": u64::try_from(self.arrived_at.elapsed().as_millis()).unwrap_or(u64::MAX),
        });
        decision("front", what, Outcome::Failure, fields);
    }
}

/// Observes an answer that is passed on: releases its lease and logs its end.
pub struct RelayObserver {
    lease: Lease,
    log: AnswerLog,
}

impl BodyObserver for RelayObserver {
    fn on_complete(&mut self) {
        self.lease.on_complete();
        self.log.complete();
    }

    fn on_error(&mut self, error: &io::Error) {
        self.lease.on_error(error);
        self.log.stage = Stage::CutByUpstream;
    }
}
