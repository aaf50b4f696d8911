use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::ServiceId;

/// A service in the operators' configuration.
#[derive(Debug, Clone, PartialEq)]
pub struct ServiceSpec {
    /// Name of the service.
    pub name: ServiceId,
    /// Connections that one upstream accepts from all entries together.
    pub connection_limit: usize,
    /// Requests per second that a cold upstream can serve; 0 if upstreams of this
    /// service are never cold.
    pub cold_rate: f64,
    /// Address of the origin, if this service is an origin of weights.
    pub origin: Option<SocketAddr>,
    /// Cost model of the upstreams, if they are model engines.
    pub engine: Option<EngineSpec>,
}

/// Cost model of an inference engine with continuous batching.
#[derive(Debug, Clone, PartialEq)]
pub struct EngineSpec {
    /// Most requests in a batch.
    pub slots: u32,
    /// Tokens that fit into the KV cache.
    pub kv_capacity: u32,
    /// Prompt tokens that an engine retains after their requests have ended; 0 if none.
    pub prompt_cache: u32,
    /// Time of one decode step.
    pub step_time: Duration,
    /// Prompt tokens prefilled per second.
    pub prefill_rate: f64,
    /// Decode steps between two admissions to the batch.
    pub stride: u32,
    /// Prompt tokens prefilled between two passes of decoding.
    pub prefill_chunk: u32,
    /// Mean number of tokens in a prompt and in a response.
    pub mean_tokens: (u32, u32),
    /// Models that the engines can load.
    pub models: Vec<crate::ModelId>,
    /// How a version of the weights is divided into pieces.
    pub pieces: PieceSpec,
}

/// How a version of the weights is divided into pieces.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PieceSpec {
    /// Number of pieces.
    pub count: u32,
    /// Size of a piece in bytes.
    pub bytes: usize,
    /// Number of layers of the model.
    pub layers: u32,
}
