use std::time::Duration;

use compact_str::CompactString;
use config::{ClientAccountId, Declaration, Digest, ServiceId};
use http_types::Request;
use wire::{Problem, WireError, read_limited, with_timeout};

/// Longest body of a caller's request, in bytes.
const BODY_LIMIT: usize = 1 << 20;
/// Longest time that a caller may take to send its body.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);
/// Longest idempotency key, in bytes.
const KEY_LIMIT: usize = 128;
/// Bytes of the body that are hashed as the prefix of its prompt.
const PREFIX_BYTES: usize = 64;

/// A valid request of a caller.
#[derive(Debug, Clone)]
pub struct CallerRequest {
    /// Service, from the first segment of the path.
    pub service: ServiceId,
    /// HTTP method.
    pub method: CompactString,
    /// Path and query at the upstream.
    pub path: CompactString,
    /// Media type of the body.
    pub media_type: CompactString,
    /// Client account of the caller.
    pub account: ClientAccountId,
    /// Share of the account.
    pub share: u32,
    /// Whether the request may be retried.
    pub idempotent: bool,
    /// Priority, 0 to 9.
    pub priority: u8,
    /// Time until the deadline.
    pub timeout: Duration,
    /// Whether the service has a model; its upstreams then cache prompt prefixes.
    pub has_model: bool,
    /// Idempotency key, under which the caller may send the same request again.
    pub idempotency_key: Option<CompactString>,
    /// Body.
    pub body: Vec<u8>,
}

impl CallerRequest {
    /// Reads a caller's request and checks it against the declaration.
    pub async fn read(req: &mut Request, declaration: &Declaration) -> Result<Self, Problem> {
        let path = req.url().path().to_owned();
        let (service_id, below) = split_path(&path);
        let service = declaration.services.get(service_id).ok_or_else(|| {
            let names: Vec<_> = declaration.services.keys().collect();
            bad_request(
                404,
                format!("service {service_id:?} is unknown; use one of {names:?}"),
            )
        })?;
        let method = req.method().to_string();
        let route = service.route(&method, below).ok_or_else(|| {
            bad_request(
                404,
                format!(
                    "service {service_id} has no route {method} {below}; see its configuration"
                ),
            )
        })?;
        let account = header(req, "client-account").ok_or_else(|| {
            bad_request(401, "header client-account is missing; name your account")
        })?;
        let share = declaration
            .client_accounts
            .get(account)
            .ok_or_else(|| bad_request(403, format!("client account {account:?} is unknown")))?
            .share;
        let priority = number_header(req, "priority", u64::from(service.priority), 0, 9)?;
        let deadline = u64::try_from(service.deadline.as_millis()).unwrap_or(u64::MAX);
        let timeout = number_header(req, "deadline-ms", deadline, 1, 3_600_000)?;
        let query = req
            .url()
            .query()
            .map(|q| format!("?{q}"))
            .unwrap_or_default();
        let request = CallerRequest {
            service: service_id.into(),
            method: route.method.clone(),
            path: format!("{below}{query}").into(),
            media_type: header(req, "content-type")
                .unwrap_or("application/json")
                .into(),
            account: account.into(),
            share,
            idempotent: route.idempotent,
            priority: u8::try_from(priority).unwrap_or(u8::MAX),
            timeout: Duration::from_millis(timeout),
            has_model: service.model.is_some(),
            idempotency_key: idempotency_key(req)?,
            body: Vec::new(),
        };
        Ok(CallerRequest {
            body: read_body(req).await?,
            ..request
        })
    }

    /// Hash of the request, the same whenever it is sent again.
    pub fn fingerprint(&self) -> u64 {
        let head = format!(
            "{}\n{}\n{}\n{}",
            self.account, self.service, self.method, self.path
        );
        fleet::pair_hash(&head, &String::from_utf8_lossy(&self.body))
    }

    /// Hash of the account, the service, the path and the idempotency key, if there is
    /// a key.
    pub fn claim_key(&self) -> Option<CompactString> {
        let key = self.idempotency_key.as_ref()?;
        let parts = [&self.account, &self.service, &self.path, key];
        let text = parts.map(|p| format!("{}:{p}", p.len())).join(",");
        Some(Digest::of(text.as_bytes()).to_string()[..32].into())
    }

    /// Hash of the prompt's prefix, if the upstreams cache prefixes.
    pub fn prefix(&self) -> Option<u64> {
        let bytes = &self.body[..self.body.len().min(PREFIX_BYTES)];
        self.has_model
            .then(|| fleet::pair_hash("prefix", &String::from_utf8_lossy(bytes)))
    }
}

async fn read_body(req: &mut Request) -> Result<Vec<u8>, Problem> {
    let declared = req.len();
    if declared.is_some_and(|l| l > BODY_LIMIT) {
        return Err(body_too_long());
    }
    match with_timeout(BODY_TIMEOUT, read_limited(req, BODY_LIMIT)).await {
        None => Err(bad_request(
            408,
            "the body was not complete within 10 s; send it faster",
        )),
        Some(Err(WireError::BodyTooLong { .. })) => Err(body_too_long()),
        Some(Err(e)) => Err(bad_request(400, format!("the body cannot be read: {e}"))),
        Some(Ok(b)) if declared.is_some_and(|l| l != b.len()) => Err(bad_request(
            400,
            "the body is shorter than its content-length; send all of it",
        )),
        Some(Ok(b)) => Ok(b),
    }
}

fn idempotency_key(req: &Request) -> Result<Option<CompactString>, Problem> {
    let Some(key) = header(req, "idempotency-key") else {
        return Ok(None);
    };
    if key.is_empty() || key.len() > KEY_LIMIT {
        let detail = format!("header idempotency-key must have 1 to {KEY_LIMIT} bytes");
        return Err(bad_request(400, detail));
    }
    Ok(Some(key.into()))
}

/// Splits a path into the id of the service and the path at its upstreams.
fn split_path(path: &str) -> (&str, &str) {
    let rest = path.trim_start_matches('/');
    match rest.find('/') {
        Some(i) => rest.split_at(i),
        None => (rest, "/"),
    }
}

/// The last value of a header.
fn header<'a>(req: &'a Request, name: &str) -> Option<&'a str> {
    req.header(name).map(|v| v.last().as_str())
}

/// A header as a number between `min` and `max`, `default` if it is missing.
fn number_header(
    req: &Request,
    name: &str,
    default: u64,
    min: u64,
    max: u64,
) -> Result<u64, Problem> {
    let Some(text) = header(req, name) else {
        return Ok(default);
    };
    text.parse()
        .ok()
        .filter(|n| (min..=max).contains(n))
        .ok_or_else(|| {
            bad_request(
                400,
                format!("header {name} is {text:?}; give {min} to {max}"),
            )
        })
}

fn body_too_long() -> Problem {
    bad_request(
        413,
        format!("the body is longer than {BODY_LIMIT} bytes; send a shorter one"),
    )
}

fn bad_request(status: u16, detail: impl Into<String>) -> Problem {
    Problem::not_run(status, "bad request", detail)
}
