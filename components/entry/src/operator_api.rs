use std::sync::Arc;
use std::time::Duration;

use config::{ConfigState, Proposal, Record, Verdict};
use http_types::{Request, Response, StatusCode};
use platform::streams;
use serde::Serialize;
use serde_json::json;
use wire::{Problem, read_limited};

use crate::config_service::{ApplyOutcome, ConfigService};
use crate::schedulers::{Schedulers, lock};

/// Longest configuration text, in bytes.
const MAX_TEXT_BYTES: usize = 1 << 20;
/// Wait advised before a retry when the log does not respond.
const LOG_RETRY: Duration = Duration::from_secs(5);

/// The entry's interface for operators, and for processes that read its snapshot.
pub struct OperatorApi {
    config: Arc<ConfigService>,
    schedulers: Arc<Schedulers>,
}

impl OperatorApi {
    /// An interface to the given services.
    pub fn new(config: Arc<ConfigService>, schedulers: Arc<Schedulers>) -> Self {
        OperatorApi { config, schedulers }
    }

    /// The text of the configuration in force, with its revision as entity tag.
    pub fn config_text(&self) -> Response {
        let Some(active) = self.config.cell().get() else {
            let detail = "no configuration is in force; apply one";
            return Problem::not_run(404, "no configuration", detail).into();
        };
        let mut res = Response::new(StatusCode::Ok);
        res.set_body(active.snapshot.text.to_string());
        res.insert_header("content-type", "application/json");
        res.insert_header("etag", format!("\"{}\"", active.snapshot.revision));
        res
    }

    /// The snapshot of the configuration in force, for another process.
    pub fn snapshot(&self) -> Response {
        match self.config.cell().get() {
            None => Response::new(StatusCode::NoContent),
            Some(active) => {
                let mut res = Response::new(StatusCode::Ok);
                res.set_body(wire::encode(&active.snapshot).unwrap_or_default());
                res
            }
        }
    }

    /// Proposes a new configuration and returns the outcome.
    pub async fn apply(&self, mut req: Request) -> Response {
        match self.read_proposal(&mut req).await {
            Err(p) => p.into(),
            Ok(proposal) => {
                let id = proposal.id.clone();
                let outcome = self.config.apply(proposal).await;
                self.apply_response(&id, outcome)
            }
        }
    }

    /// The outcome of a proposal.
    pub fn proposal_status(&self, id: &str) -> Response {
        match self.config.verdict(id) {
            Some(v) => self.apply_response(id, ApplyOutcome::Decided(v)),
            None => {
                let detail =
                    format!("this entry has no verdict on proposal {id}; read it again later");
                Problem::unknown(404, "unknown proposal", detail).into()
            }
        }
    }

    /// The state of the services at this entry.
    pub fn status(&self) -> Response {
        let services: serde_json::Map<_, _> = self
            .schedulers
            .all()
            .into_iter()
            .map(|(id, scheduler)| {
                let scheduler = lock(&scheduler);
                let state =
                    json!({ "waiting": scheduler.waiting(), "upstreams": scheduler.status() });
                (id.to_string(), state)
            })
            .collect();
        let active = self.config.cell().get();
        json_response(&json!({
            "revision": self.config.cell().revision(),
            "digest": active.map(|c| c.digest),
            "services": services,
        }))
    }

    /// The proposals, crashes and actions in the log, with their outcomes.
    pub async fn audit(&self) -> Response {
        match self.read_audit().await {
            Ok(events) => json_response(&events),
            Err(e) => Problem::not_run(503, "log not read", e.to_string())
                .retry_after(LOG_RETRY)
                .into(),
        }
    }

    async fn read_audit(&self) -> Result<Vec<serde_json::Value>, platform::PlatformError> {
        let log = self.config.log();
        let page = log.read_all::<Record>(streams::CONFIG, 0).await?;
        let actions = log.read_all::<serde_json::Value>(streams::AUDIT, 0).await?;
        let mut state = ConfigState::default();
        if let Err(e) = state.apply_page(page.first, &page.records) {
            log::warn!("{e}");
        }
        let mut events: Vec<_> = page
            .records
            .iter()
            .filter_map(|(offset, r)| match r {
                Record::Proposal(p) => Some(json!({
                    "stream": "config",
                    "offset": offset,
                    "who": p.author,
                    "what": format!("proposal {} against revision {}", p.id, p.base),
                    "outcome": state.verdict(&p.id),
                })),
                Record::Crash(c) => Some(json!({
                    "stream": "config",
                    "offset": offset,
                    "who": format!("agent on {}", c.vm),
                    "what": format!("crash {}", c.id),
                    "outcome": format!("{} requests were in flight", c.fingerprints.len()),
                })),
                Record::Checkpoint(_) => None,
            })
            .collect();
        events.extend(actions.records.into_iter().map(|(offset, mut value)| {
            value["stream"] = json!("audit");
            value["offset"] = json!(offset);
            value
        }));
        Ok(events)
    }

    /// Reads a proposal from the headers and the body of a request.
    async fn read_proposal(&self, req: &mut Request) -> Result<Proposal, Problem> {
        let bad_request = |detail: String| Problem::not_run(400, "bad request", detail);
        let header = |req: &Request, name: &str| req.header(name).map(|v| v.last().to_string());
        let base = header(req, "if-match")
            .and_then(|v| v.trim_matches('"').parse().ok())
            .ok_or_else(|| {
                bad_request("header if-match must be the revision that was edited".to_owned())
            })?;
        let author = header(req, "author")
            .ok_or_else(|| bad_request("header author is missing; name the author".to_owned()))?;
        let id = header(req, "proposal-id").ok_or_else(|| {
            bad_request("header proposal-id is missing; give a unique id".to_owned())
        })?;
        let bytes = read_limited(req, MAX_TEXT_BYTES)
            .await
            .map_err(|e| bad_request(e.to_string()))?;
        let text = String::from_utf8(bytes).map_err(|e| bad_request(e.to_string()))?;
        Ok(Proposal {
            id: id.into(),
            base,
            author: author.into(),
            text,
        })
    }

    fn apply_response(&self, id: &str, outcome: ApplyOutcome) -> Response {
        match outcome {
            ApplyOutcome::Decided(v @ Verdict::Accepted { .. }) => json_response(&v),
            ApplyOutcome::Decided(Verdict::Conflict { current }) => {
                let detail = format!(
                    "the revision in force is {current}; read it, edit it and apply it again"
                );
                let mut res = Response::from(Problem::not_run(409, "conflict", detail));
                res.insert_header("etag", format!("\"{current}\""));
                res
            }
            ApplyOutcome::Decided(Verdict::Invalid { reason }) => {
                Problem::not_run(422, "invalid text", reason).into()
            }
            ApplyOutcome::NotAppended(reason) => Problem::not_run(503, "log refused", reason)
                .retry_after(LOG_RETRY)
                .into(),
            ApplyOutcome::Unknown(reason) => {
                let detail = format!("{reason}; read /config/proposals/{id} later");
                Problem::unknown(504, "not decided yet", detail)
                    .retry_after(LOG_RETRY)
                    .into()
            }
        }
    }
}

fn json_response(value: &impl Serialize) -> Response {
    let mut res = Response::new(StatusCode::Ok);
    res.set_body(serde_json::to_vec(value).unwrap_or_default());
    res.insert_header("content-type", "application/json");
    res
}
