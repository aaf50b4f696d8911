use std::time::Duration;

use compact_str::CompactString;
use derive_more::Display;
use http_types::{Response, StatusCode};
use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};

/// What is known about the execution of a request that failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// No upstream ran it, for certain.
    #[display("not-run")]
    NotRun,
    /// It may have run.
    #[display("unknown")]
    Unknown,
    /// It ran and failed, or was invalid.
    #[display("failed")]
    Failed,
}

/// An `application/problem+json` document (RFC 9457).
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Problem {
    /// HTTP status code.
    pub status: u16,
    /// Short summary.
    pub title: CompactString,
    /// What happened and what to do about it.
    pub detail: String,
    /// What is known about the request.
    pub outcome: Outcome,
    /// Time to wait before a retry, in milliseconds, where a retry can help.
    #[serde_as(as = "Option<DurationMilliSeconds<u64>>")]
    #[serde(rename = "retry_after_ms", default)]
    pub retry_after: Option<Duration>,
}

impl Problem {
    /// A refusal: the request was not run.
    pub fn not_run(status: u16, title: &str, detail: impl Into<String>) -> Self {
        Self::new(status, title, detail.into(), Outcome::NotRun)
    }

    /// The request may have run.
    pub fn unknown(status: u16, title: &str, detail: impl Into<String>) -> Self {
        Self::new(status, title, detail.into(), Outcome::Unknown)
    }

    /// The request ran and failed.
    pub fn failed(status: u16, title: &str, detail: impl Into<String>) -> Self {
        Self::new(status, title, detail.into(), Outcome::Failed)
    }

    /// Adds the time to wait before a retry.
    pub fn retry_after(mut self, wait: Duration) -> Self {
        self.retry_after = Some(wait);
        self
    }

    /// The problem to report if a further attempt ended with `later`. Once an
    /// attempt may have run, the request is not reported as not run.
    pub fn followed_by(self, later: Problem) -> Self {
        match (self.outcome, later.outcome) {
            (Outcome::NotRun, _) => later,
            (_, Outcome::NotRun) => self,
            (_, _) => later,
        }
    }

    fn new(status: u16, title: &str, detail: String, outcome: Outcome) -> Self {
        Problem {
            status,
            title: title.into(),
            detail,
            outcome,
            retry_after: None,
        }
    }
}

impl From<Problem> for Response {
    fn from(p: Problem) -> Response {
        let status = StatusCode::try_from(p.status).unwrap_or(StatusCode::InternalServerError);
        let mut res = Response::new(status);
        res.set_body(serde_json::to_vec(&p).unwrap_or_default());
        res.insert_header("content-type", "application/problem+json");
        res.insert_header("outcome", p.outcome.to_string());
        if let Some(wait) = p.retry_after {
            // Retry-After is in whole seconds; 0 would cause an immediate retry.
            let secs = wait.as_millis().div_ceil(1000).max(1);
            res.insert_header("retry-after", secs.to_string());
        }
        res
    }
}
