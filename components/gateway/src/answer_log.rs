use domain::{AttemptId, Moment, millis, now};
use serde_json::json;
use telemetry::{Outcome, decision};
use transport::InputEnd;

use crate::caller_request::CallerRequest;

/// How far the answer to a request has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Stage {
    /// Nothing of it was passed on.
    Waiting,
    /// Its head was passed on.
    Started,
    /// The entry ended it early.
    CutByEntry,
    /// All of it was passed on.
    Complete,
}

/// Logs when the answer to a request that was read whole ends early, and which end of the
/// caller's connection ended it; also an answer to a caller that had closed its sending side
/// and may have left.
#[derive(Debug)]
pub struct AnswerLog {
    request: AttemptId,
    arrived: Moment,
    input_end: InputEnd,
    stage: Stage,
}

impl AnswerLog {
    /// A log for the answer to `request`.
    pub fn new(request: &CallerRequest) -> Self {
        AnswerLog {
            request: request.head.attempt.clone(),
            arrived: request.arrived,
            input_end: request.input_end.clone(),
            stage: Stage::Waiting,
        }
    }

    /// Records that the head of the answer was passed on.
    pub fn start(&mut self) {
        self.stage = Stage::Started;
    }

    /// Records that the entry ended the answer before its end.
    pub fn cut(&mut self) {
        self.stage = Stage::CutByEntry;
    }

    /// Records that the end of the answer was passed on.
    pub fn complete(&mut self) {
        self.stage = Stage::Complete;
    }
}

impl Drop for AnswerLog {
    fn drop(&mut self) {
        // The connection drops an answer that is not complete when the caller has closed it,
        // or when it failed.
        let (what, by) = match self.stage {
            Stage::Waiting => ("no answer", "caller"),
            Stage::Started => ("answer cut", "caller"),
            Stage::CutByEntry => ("answer cut", "entry"),
            Stage::Complete if self.input_end.since().is_some() => ("half-closed", "caller"),
            Stage::Complete => return,
        };
        if self.stage != Stage::Complete {
            metrics::counter!("turmerichold_answers_cut_total", "by" => by).increment(1);
        }
        let fields = json!({
            "request": self.request,
            "by": by,
            "age_ms": millis(now().saturating_sub(self.arrived)),
        });
        decision("front", what, Outcome::Failure, fields);
    }
}
