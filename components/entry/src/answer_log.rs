use std::io;
use std::time::Duration;

use compact_str::CompactString;
use serde_json::json;
use telemetry::{Outcome, decision};
use wire::BodyObserver;

use crate::lease::Lease;
use crate::open_answers::OpenAnswers;

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
    open: OpenAnswers,
    stage: Stage,
}

impl AnswerLog {
    /// A log of the answer to a request that was just read.
    pub fn new(request: CompactString, open: OpenAnswers) -> Self {
        open.add(request.clone());
        AnswerLog {
            request,
            open,
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
        // Its end was logged by `log_stopped` if it is not open any more.
        let Some(age) = self.open.remove(&self.request) else {
            return;
        };
        let (what, by) = match self.stage {
            Stage::Waiting => ("no answer", "caller"),
            Stage::Started => ("answer cut", "caller"),
            Stage::CutByUpstream => ("answer cut", "upstream"),
            Stage::Complete => return,
        };
        log_cut(what, by, &self.request, age);
    }
}

/// Logs the answers that the end of the process cuts.
pub fn log_stopped(open: &OpenAnswers) {
    for (request, age) in open.take() {
        log_cut("answer cut", "stop", &request, age);
    }
}

fn log_cut(what: &'static str, by: &'static str, request: &str, age: Duration) {
    metrics::counter!("turmerichold_answers_cut_total", "by" => by).increment(1);
    let fields = json!({
        "request": request,
        "by": by,
        "age_ms": u64::try_from(age.as_millis()).unwrap_or(u64::MAX),
    });
    decision("front", what, Outcome::Failure, fields);
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
