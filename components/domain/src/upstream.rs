use std::net::SocketAddr;
use std::time::Duration;

use crate::{FailureDomainId, ModelId, ServiceId, UpstreamId, WeightVersion};

/// Whether an upstream takes work.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum UpstreamState {
    /// It takes work.
    Ready,
    /// It is leaving.
    Draining,
}

/// A model version that an engine holds.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HeldModel {
    /// Name of the model.
    pub model: ModelId,
    /// Version of the weights.
    pub version: WeightVersion,
}

/// An upstream as the platform lists it.
#[derive(Debug, Clone, PartialEq)]
pub struct Upstream {
    /// Id of this start of the upstream.
    pub id: UpstreamId,
    /// Its service.
    pub service: ServiceId,
    /// Where it listens.
    pub addr: SocketAddr,
    /// Its failure domain.
    pub failure_domain: FailureDomainId,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it takes work.
    pub state: UpstreamState,
    /// How long it stays cold, as of the record.
    pub cold_remaining: Duration,
    /// Start of the upstream, in milliseconds of the time of day; tells two
    /// starts under one id apart.
    pub started_ms: u64,
    /// Model versions that it holds; none for plain services.
    pub models: Vec<HeldModel>,
}

/// What an engine says of itself.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct EngineStatus {
    /// Model versions that it holds.
    pub models: Vec<HeldModel>,
    /// An order is in progress.
    pub busy: bool,
    /// Orders that it has accepted.
    pub sequence: u64,
    /// Requests in its queue.
    pub waiting: u32,
    /// Requests in its batch.
    pub running: u32,
    /// Start of the engine, in milliseconds of the time of day.
    pub started_ms: u64,
}
