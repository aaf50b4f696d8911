use std::net::SocketAddr;
use std::time::Duration;

use config::{Digest, ModelId, VersionId};
use http_types::Method;
use serde::{Deserialize, Serialize};
use wire::{Call, Client, WireError};

/// Longest wait for the upstream's report of its load.
const REPORT_TIMEOUT: Duration = Duration::from_secs(2);
/// Longest response that is read, in bytes.
const MAX_RESPONSE_BYTES: usize = 64 << 10;

/// Report of an upstream about its load and its model.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct LoadReport {
    /// Changes when the upstream restarts.
    pub incarnation: u64,
    /// Requests running or waiting inside the upstream.
    pub running: u32,
    /// Model version that the engine serves; none for a service without a model or an
    /// engine that has not loaded one.
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
    /// Digest of the weights that the engine has loaded.
    pub content: Digest,
}

/// Order to an engine to load a model version.
#[derive(Debug, Clone, Serialize)]
pub struct LoadOrder {
    /// Fencing token, higher than those of earlier agent processes on this VM.
    pub fence: u64,
    /// Model.
    pub model: ModelId,
    /// Version.
    pub version: VersionId,
    /// Address of the agent that serves the weights.
    pub source: SocketAddr,
    /// Path of the weights at the agent.
    pub path: String,
}

/// Reply of the engine to a [`LoadOrder`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderReply {
    /// It loads the version.
    Accepted,
    /// It has received a higher fencing token.
    Fenced,
    /// It refused for another reason.
    Refused,
}

/// Client of the upstream on the agent's VM.
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

    /// Reads the load report; `None` if the upstream has none.
    pub async fn load(&self) -> Result<Option<LoadReport>, WireError> {
        let call = Call::new(Method::Get, self.addr, "/load")?
            .head_timeout(REPORT_TIMEOUT)
            .total_timeout(REPORT_TIMEOUT);
        let response = self.client.send(call).await?;
        let is_success = response.status().is_success();
        let bytes = response.bytes(MAX_RESPONSE_BYTES).await?;
        if !is_success {
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
        let response = self.client.send(call).await?;
        let status = u16::from(response.status());
        response.bytes(MAX_RESPONSE_BYTES).await?;
        Ok(match status {
            200..=299 => OrderReply::Accepted,
            409 => OrderReply::Fenced,
            _ => OrderReply::Refused,
        })
    }
}
