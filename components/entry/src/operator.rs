use std::sync::Arc;
use std::time::Duration;

use config::{ConfigState, Proposal, Record, Verdict};
use http_types::{Request, Response, StatusCode};
use platform::streams;
use serde::Serialize;
use serde_json::json;
use wire::{Problem, read_limited};

use crate::config_service::{Applied, ConfigService};
use crate::schedulers::{Schedulers, lock};

/// Longest operators' text, in bytes.
const TEXT_LIMIT: usize = 1 << 20;
/// Advised wait when the log does not answer.
const LOG_RETRY: Duration = Duration::from_secs(5);

/// What operators may ask of an entry.
pub struct Operator {
    config: Arc<ConfigService>,
    schedulers: Arc<Schedulers>,
}

impl Operator {
    /// Answers from the given services.
    pub fn new(config: Arc<ConfigService>, schedulers: Arc<Schedulers>) -> Self {
        Operator { config, schedulers }
    }

    /// The text in force, with its revision as entity tag.
    pub fn text(&self) -> Response {
        let Some(c) = self.config.cell().get() else {
            let detail = "no configuration is in force; apply a text";
            return Problem::not_run(404, "no configuration", detail).into();
        };
        let mut res = Response::new(StatusCode::Ok);
        res.set_body(c.snapshot.text.to_string());
        res.insert_header("content-type", "application/json");
        res.insert_header("etag", format!("\"{}\"", c.snapshot.revision));
        res
    }

    /// The configuration in force for another process.
    pub fn snapshot(&self) -> Response {
        match self.config.cell().get() {
            None => Response::new(StatusCode::NoContent),
            Some(c) => {
                let mut res = Response::new(StatusCode::Ok);
                res.set_body(wire::encode(&c.snapshot).unwrap_or_default());
                res
            }
        }
    }

    /// Puts a changed text into the log and tells what became of it.
    pub async fn apply(&self, mut req: Request) -> Response {
        match self.proposal(&mut req).await {
            Err(p) => p.into(),
            Ok(proposal) => {
                let id = proposal.id.clone();
                let applied = self.config.apply(proposal).await;
                self.answer(&id, applied)
            }
        }
    }

    /// Tells what became of a proposal.
    pub fn proposal_status(&self, id: &str) -> Response {
        match self.config.verdict(id) {
            Some(v) => self.answer(id, Applied::Decided(v)),
            None => {
                let detail = format!("proposal {id} has not been decided here; ask again later");
                Problem::unknown(404, "unknown proposal", detail).into()
            }
        }
    }

    /// The state of the services as this entry sees it.
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
        let in_force = self.config.cell().get();
        json_response(&json!({
            "revision": self.config.cell().revision(),
            "digest": in_force.map(|c| c.digest),
            "services": services,
        }))
    }

    /// The changes that the log still holds, with their outcomes.
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
        let changes = log
            .read::<Record>(streams::CONFIG, 0, Duration::ZERO)
            .await?;
        let actions = log
            .read::<serde_json::Value>(streams::AUDIT, 0, Duration::ZERO)
            .await?;
        let mut ledger = ConfigState::default();
        if let Err(e) = ledger.apply_page(changes.first, &changes.records) {
            log::warn!("{e}");
        }
        let mut events: Vec<_> = changes
            .records
            .iter()
            .filter_map(|(offset, r)| match r {
                Record::Proposal(p) => Some(json!({
                    "stream": "config",
                    "offset": offset,
                    "who": p.author,
                    "what": format!("proposal {} against revision {}", p.id, p.base),
                    "outcome": ledger.verdict(&p.id),
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

    async fn proposal(&self, req: &mut Request) -> Result<Proposal, Problem> {
        let bad = |detail: String| Problem::not_run(400, "bad request", detail);
        let header = |req: &Request, name: &str| req.header(name).map(|v| v.last().to_string());
        let base = header(req, "if-match")
            .and_then(|v| v.trim_matches('"').parse().ok())
            .ok_or_else(|| bad("header if-match must give the revision edited".to_owned()))?;
        let author = header(req, "author")
            .ok_or_else(|| bad("header author is missing; say who asks".to_owned()))?;
        let id = header(req, "proposal-id")
            .ok_or_else(|| bad("header proposal-id is missing; give a unique id".to_owned()))?;
        let bytes = read_limited(req, TEXT_LIMIT)
            .await
            .map_err(|e| bad(e.to_string()))?;
        let text = String::from_utf8(bytes).map_err(|e| bad(e.to_string()))?;
        Ok(Proposal {
            id: id.into(),
            base,
            author: author.into(),
            text,
        })
    }

    fn answer(&self, id: &str, applied: Applied) -> Response {
        match applied {
            Applied::Decided(v @ Verdict::Accepted { .. }) => json_response(&v),
            Applied::Decided(Verdict::Conflict { current }) => {
                let detail = format!(
                    "the revision in force is {current}; read it, edit again and apply again"
                );
                let mut res = Response::from(Problem::not_run(409, "conflict", detail));
                res.insert_header("etag", format!("\"{current}\""));
                res
            }
            Applied::Decided(Verdict::Invalid { reason }) => {
                Problem::not_run(422, "invalid text", reason).into()
            }
            Applied::NotAppended(reason) => Problem::not_run(503, "log refused", reason)
                .retry_after(LOG_RETRY)
                .into(),
            Applied::Unknown(reason) => {
                let detail = format!("{reason}; ask for /config/proposals/{id} later");
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
