use domain::{AttemptId, Moment, millis, now};
use serde_json::json;
use telemetry::{Outcome, decision};
use transport::InputEnd;

use crate::caller_request::CallerRequest;
use crate::cut_cause::CutCause;

/// How far the answer to a request has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Stage {
    /// Nothing of it was passed on.
    Waiting,
    /// Its head was passed on.
    Started,
    /// The entry ended it early.
    CutByEntry(CutCause),
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
    pub fn cut(&mut self, cause: CutCause) {
        self.stage = Stage::CutByEntry(cause);
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
        let input_ended = self.input_end.since().is_some();
        let lost = match input_ended {
            true => CutCause::CallerLeft,
            false => CutCause::Connection,
        };
        let (what, by, cause) = match self.stage {
            Stage::Waiting => ("no answer", "caller", Some(lost)),
            Stage::Started => ("answer cut", "caller", Some(lost)),
            Stage::CutByEntry(cause) => ("answer cut", "entry", Some(cause)),
            Stage::Complete if input_ended => ("half-closed", "caller", None),
            Stage::Complete => return,
        };
        let cause = cause.map(CutCause::name);
        if let Some(cause) = cause {
            let labels = [("what", what), ("by", by), ("cause", cause)];
            metrics::counter!("turmerichold_answers_cut_total", &labels).increment(1);
        }
        let fields = json!({
            "request": self.request,
            "by": by,
            "cause": cause,
            "age_ms": millis(now().saturating_sub(self.arrived)),
        });
        decision("front", what, Outcome::Failure, fields);
    }
}
