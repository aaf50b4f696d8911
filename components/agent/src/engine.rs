use std::net::SocketAddr;
use std::time::Duration;

use config::{Digest, ModelId, VersionId};
use http_types::Method;
use serde::{Deserialize, Serialize};
use wire::{Call, Client, WireError};

/// Longest wait for the engine's word.
const LOAD_LIMIT: Duration = Duration::from_secs(2);
/// Longest answer that is read.
const ANSWER_LIMIT: usize = 64 << 10;

/// An upstream's report of its load.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct LoadReport {
    /// Changes when the upstream restarts.
    pub incarnation: u64,
    /// Requests running or waiting inside the upstream.
    pub running: u32,
    /// What the engine serves; none for a plain service or an empty engine.
    #[serde(default)]
    pub serving: Option<Serving>,
}

/// A model version as the engine reports it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Serving {
    /// Model.
    pub model: ModelId,
    /// Version.
    pub version: VersionId,
    /// Digest of the weights in the engine's memory.
    pub content: Digest,
}

/// Orders the engine to load a model version.
#[derive(Debug, Clone, Serialize)]
pub struct LoadOrder {
    /// Fencing number.
    pub fence: u64,
    /// Model.
    pub model: ModelId,
    /// Version.
    pub version: VersionId,
    /// Address of the agent that holds the weights.
    pub source: SocketAddr,
    /// Path of the weights at the agent.
    pub path: String,
}

/// What the engine said to an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderReply {
    /// It obeys.
    Accepted,
    /// It has seen a higher fencing number.
    Fenced,
    /// It refuses for another reason.
    Refused,
}

/// A client of the upstream beside the agent.
#[derive(Clone)]
pub struct Engine {
    addr: SocketAddr,
    client: Client,
}

impl Engine {
    /// A client of the upstream at `addr`.
    pub fn new(addr: SocketAddr, client: Client) -> Self {
        Engine { addr, client }
    }

    /// Asks for the load; `None` when the upstream reports none.
    pub async fn load(&self) -> Result<Option<LoadReport>, WireError> {
        let call = Call::new(Method::Get, self.addr, "/load")?.head_timeout(LOAD_LIMIT);
        let reply = self.client.send(call).await?;
        let ok = reply.status().is_success();
        let bytes = reply.bytes(ANSWER_LIMIT).await?;
        if !ok {
            return Ok(None);
        }
        let report = serde_json::from_slice(&bytes).map_err(|e| WireError::Decode {
            reason: e.to_string(),
        })?;
        Ok(Some(report))
    }

    /// Orders the engine to load a model version.
    pub async fn order(&self, order: &LoadOrder) -> Result<OrderReply, WireError> {
        let body = serde_json::to_vec(order).map_err(|e| WireError::Decode {
            reason: e.to_string(),
        })?;
        let call = Call::new(Method::Post, self.addr, "/orders")?
            .body(body)
            .header("content-type", "application/json")
            .new_connection();
        let reply = self.client.send(call).await?;
        let status = u16::from(reply.status());
        reply.bytes(ANSWER_LIMIT).await?;
        Ok(match status {
            200..=299 => OrderReply::Accepted,
            409 => OrderReply::Fenced,
            _ => OrderReply::Refused,
        })
    }
}
