//! The origin of weights, behind one link of limited rate.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::ops::Range;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use http_types::{Method, Request, Response};
use serde::{Deserialize, Serialize};
use serde_json::json;
use smol::Timer;
use weights::Manifest;
use wire::Handler;

use crate::faults::{FaultAction, FaultInjector};
use crate::http;

/// Body of a request to create a version of a model with random weights.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct NewModel {
    /// Size of the weights in bytes.
    pub size: u64,
    /// Size of a chunk in bytes.
    pub chunk_size: u64,
    /// Seed of the random weights.
    pub seed: u64,
}

struct StoredModel {
    data: Arc<[u8]>,
    manifest: Vec<u8>,
}

struct State {
    models: HashMap<String, StoredModel>,
    link_free_at: Instant,
    sent_bytes: u64,
}

/// Stand-in of the origin of weights.
pub struct Origin {
    state: Mutex<State>,
    faults: FaultInjector,
    bytes_per_s: f64,
}

impl Origin {
    /// Creates an origin whose link carries `bytes_per_s` bytes a second.
    pub fn new(bytes_per_s: u64) -> Self {
        Origin {
            state: Mutex::new(State {
                models: HashMap::new(),
                link_free_at: Instant::now(),
                sent_bytes: 0,
            }),
            faults: FaultInjector::default(),
            bytes_per_s: bytes_per_s as f64,
        }
    }

    fn create_model(&self, model: &str, version: &str, new: &NewModel) -> Response {
        let mut data = vec![0; usize::try_from(new.size).unwrap_or(0)];
        fastrand::Rng::with_seed(new.seed).fill(&mut data);
        let Ok(manifest) = Manifest::from_reader(model, version, new.chunk_size, data.as_slice())
        else {
            return http::status(400);
        };
        let response = http::json(&json!({
            "manifest": manifest.digest(),
            "content": manifest.content,
            "size": manifest.size,
        }));
        let stored = StoredModel {
            data: data.into(),
            manifest: manifest.to_bytes(),
        };
        self.lock()
            .models
            .insert(format!("{model}/{version}"), stored);
        response
    }

    fn manifest(&self, model: &str, version: &str) -> Response {
        match self.lock().models.get(&format!("{model}/{version}")) {
            Some(stored) => stored.manifest.clone().into(),
            None => http::status(404),
        }
    }

    async fn data(&self, model: &str, version: &str, req: &Request) -> Response {
        if self.faults.next_action().await == FaultAction::Refuse {
            return http::status(503);
        }
        let data = match self.lock().models.get(&format!("{model}/{version}")) {
            Some(stored) => stored.data.clone(),
            None => return http::status(404),
        };
        let Some(range) = range(req, data.len()) else {
            return http::status(416);
        };
        self.wait_for_link(range.len()).await;
        let mut bytes = data[range].to_vec();
        if self.faults.take_corrupt() {
            bytes[0] ^= 1;
        }
        let mut res = http::status(206);
        res.set_body(bytes);
        res
    }

    /// Waits until the link has carried `len` bytes after all earlier ones.
    async fn wait_for_link(&self, len: usize) {
        let until = {
            let mut state = self.lock();
            state.sent_bytes += len as u64;
            let duration = Duration::from_secs_f64(len as f64 / self.bytes_per_s);
            state.link_free_at = state.link_free_at.max(Instant::now()) + duration;
            state.link_free_at
        };
        Timer::at(until).await;
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn range(req: &Request, len: usize) -> Option<Range<usize>> {
    let value = req.header("range")?.last().as_str();
    let (first, last) = value.strip_prefix("bytes=")?.split_once('-')?;
    let (first, last): (usize, usize) = (first.parse().ok()?, last.parse().ok()?);
    (first <= last && last < len).then_some(first..last + 1)
}

impl Handler for Origin {
    async fn handle(&self, mut req: Request, _peer: SocketAddr) -> Response {
        let segments = http::path_segments(&req);
        let parts: Vec<&str> = segments.iter().map(String::as_str).collect();
        match (req.method(), parts.as_slice()) {
            (Method::Post, ["faults"]) => self.faults.update(&mut req).await,
            (Method::Get, ["record"]) => http::json(&json!({ "bytes": self.lock().sent_bytes })),
            (Method::Post, ["models", model, version]) => match http::read_json(&mut req).await {
                Ok(new) => self.create_model(model, version, &new),
                Err(res) => res,
            },
            (Method::Get, ["models", model, version, "manifest"]) => self.manifest(model, version),
            (Method::Get, ["models", model, version, "data"]) => {
                self.data(model, version, &req).await
            }
            _ => http::status(404),
        }
    }
}
