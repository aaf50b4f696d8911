use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::ServiceId;

/// A service as the operators describe it.
#[derive(Debug, Clone, PartialEq)]
pub struct ServiceSpec {
    /// Name of the service.
    pub name: ServiceId,
    /// Connections that one upstream accepts from all callers.
    pub connection_limit: usize,
    /// Requests a second that a cold upstream bears; 0 where none is ever cold.
    pub cold_rate: f64,
    /// Where the weights come from, if this service is an origin of weights.
    pub origin: Option<SocketAddr>,
    /// Cost model of the upstreams, where they are model engines.
    pub engine: Option<EngineSpec>,
}

/// Cost model of a model engine.
#[derive(Debug, Clone, PartialEq)]
pub struct EngineSpec {
    /// Requests in a batch.
    pub slots: u32,
    /// Tokens that fit in memory.
    pub kv_capacity: u32,
    /// Time of a token step.
    pub step_time: Duration,
    /// Prompt tokens read in a second.
    pub prefill_rate: f64,
    /// Steps between two admissions to the batch.
    pub stride: u32,
    /// Prompt tokens read between two passes of the writers.
    pub prefill_chunk: u32,
    /// Mean tokens of a prompt and of an answer.
    pub mean_tokens: (u32, u32),
    /// Models that the engines may hold.
    pub models: Vec<crate::ModelId>,
    /// Pieces of a version.
    pub pieces: PieceSpec,
}

/// How weights are cut into pieces.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PieceSpec {
    /// Pieces of a version.
    pub count: u32,
    /// Length of a piece in bytes.
    pub bytes: usize,
    /// Layers of the model.
    pub layers: u32,
}
