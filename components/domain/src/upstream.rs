use std::net::SocketAddr;
use std::time::Duration;

use crate::{FailureDomainId, ModelId, Pace, ServiceId, UpstreamId, WeightVersion};

/// Whether an upstream accepts requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum UpstreamState {
    /// It accepts requests.
    Ready,
    /// It finishes its requests and accepts no others.
    Draining,
}

/// A model version that an engine has loaded.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HeldModel {
    /// Name of the model.
    pub model: ModelId,
    /// Version of the weights.
    pub version: WeightVersion,
}

/// An upstream as recorded in the platform's store.
#[derive(Debug, Clone, PartialEq)]
pub struct Upstream {
    /// Id of the upstream.
    pub id: UpstreamId,
    /// Service that it belongs to.
    pub service: ServiceId,
    /// Address at which it listens.
    pub addr: SocketAddr,
    /// Failure domain of its VM.
    pub failure_domain: FailureDomainId,
    /// Requests that it runs concurrently.
    pub slots: u32,
    /// Whether it accepts requests.
    pub state: UpstreamState,
    /// Time for which it stays cold, counted from the record.
    pub cold_remaining: Duration,
    /// Start of the upstream in milliseconds of Unix time; differs between two
    /// starts under the same id.
    pub started_ms: u64,
    /// Number of writes of the record since this start.
    pub sequence: u64,
    /// Model versions that it has loaded; empty if it is not a model engine.
    pub models: Vec<HeldModel>,
}

/// Status that an engine reports.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct EngineStatus {
    /// Model versions that it has loaded.
    pub models: Vec<HeldModel>,
    /// A load order is in progress.
    pub busy: bool,
    /// Number of load orders that it has accepted.
    pub sequence: u64,
    /// Requests in its queue.
    pub waiting: u32,
    /// Requests in its batch.
    pub running: u32,
    /// Start of the engine in milliseconds of Unix time.
    pub started_ms: u64,
    /// It is about to end and accepts no further requests.
    pub leaving: bool,
    /// Its pace, if it reports a readable one.
    pub pace: Option<Pace>,
}
