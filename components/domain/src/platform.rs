use std::future::Future;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use compact_str::CompactString;
use derive_more::{Display, Error};
use http::{HeaderMap, request, response};

use crate::{
    EngineStatus, FailureDomainId, FleetConfig, ModelId, RecordStore, RequestHead, ResponseHead,
    Upstream, UpstreamId, WeightVersion,
};

/// A record that cannot be used.
#[derive(Debug, Display, Error)]
#[display("{key}: {reason}; the record is skipped, write it again in the documented form")]
pub struct BadRecord {
    /// Key of the record.
    pub key: CompactString,
    /// What is wrong with it.
    pub reason: String,
}

/// A request whose head cannot be used.
#[derive(Debug, Display, Error)]
#[display("header {header}: {reason}")]
pub struct RequestError {
    /// The header.
    pub header: &'static str,
    /// What is wrong and what to send instead.
    pub reason: String,
}

/// A record of the operators.
#[derive(Debug, Clone, PartialEq)]
pub enum FleetRecord {
    /// The configuration.
    Config(Box<FleetConfig>),
    /// A failure domain that is taken out of service.
    Evacuated(FailureDomainId),
    /// The version of a model's weights to be brought into service.
    Weights(ModelId, WeightVersion),
    /// A record that concerns nobody here.
    Other,
}

/// The upstream that a request is sent to.
#[derive(Debug, Clone)]
pub struct Target {
    /// Id that the upstream must have.
    pub id: UpstreamId,
    /// Its address.
    pub addr: SocketAddr,
}

/// What the project adds to a request on its way to an upstream.
#[derive(Debug, Clone)]
pub struct ForwardParams<'a> {
    /// The upstream.
    pub target: &'a Target,
    /// Time that is left.
    pub time_left: Duration,
    /// Account of the caller.
    pub account: Option<&'a str>,
    /// Rank within the upstream's queue, 0 to 9, 0 first.
    pub priority: u8,
    /// Weight version that the upstream must have.
    pub weight_version: Option<WeightVersion>,
    /// Event after which a stream goes on.
    pub last_event: Option<&'a str>,
}

/// How heads of requests and answers are written on a platform.
pub trait Dialect: Send + Sync + 'static {
    /// Reads the head of a caller's request.
    fn request_head(&self, head: &request::Parts) -> Result<RequestHead, RequestError>;

    /// Headers of a request for an upstream.
    fn upstream_headers(&self, head: &request::Parts, add: &ForwardParams<'_>) -> HeaderMap;

    /// Reads the head of an upstream's answer.
    fn response_head(&self, head: &response::Parts) -> ResponseHead;

    /// Headers of an upstream's answer as callers receive them.
    fn caller_headers(&self, head: &response::Parts) -> HeaderMap;

    /// Path of the platform's readiness check.
    fn readiness_path(&self) -> &'static str;

    /// Adds when a refused caller should come back.
    fn set_retry_after(&self, headers: &mut HeaderMap, wait: Duration);
}

/// Why a call to an engine or an origin did not succeed.
#[derive(Debug, Display, Error)]
pub enum EngineError {
    /// It refused.
    #[display("{call} was refused with status {status}")]
    Refused {
        /// The call.
        call: &'static str,
        /// HTTP status.
        status: u16,
    },
    /// No usable answer; an order may have begun.
    #[display("no usable answer to {call}: {reason}; retry on a new connection")]
    NoAnswer {
        /// The call.
        call: &'static str,
        /// What was seen.
        reason: String,
    },
}

/// The engine beside an agent, and the origin of weights.
pub trait EngineApi: Clone + Send + Sync + 'static {
    /// What the engine says of itself.
    fn status(
        &self,
        engine: SocketAddr,
    ) -> impl Future<Output = Result<EngineStatus, EngineError>> + Send;

    /// Pieces that are staged at the engine.
    fn staged_pieces(
        &self,
        engine: SocketAddr,
        model: &str,
    ) -> impl Future<Output = Result<Vec<u32>, EngineError>> + Send;

    /// Reads a staged piece; none where it is not staged.
    fn staged_piece(
        &self,
        engine: SocketAddr,
        model: &str,
        number: u32,
    ) -> impl Future<Output = Result<Option<Bytes>, EngineError>> + Send;

    /// Stages a piece.
    fn stage_piece(
        &self,
        engine: SocketAddr,
        model: &str,
        number: u32,
        piece: Bytes,
    ) -> impl Future<Output = Result<(), EngineError>> + Send;

    /// Orders the engine to load what is staged, if it has accepted `sequence`
    /// orders so far.
    fn load(
        &self,
        engine: SocketAddr,
        model: &str,
        version: WeightVersion,
        sequence: u64,
    ) -> impl Future<Output = Result<(), EngineError>> + Send;

    /// Digests of a version's pieces from an origin.
    fn digests(
        &self,
        origin: SocketAddr,
        model: &str,
        version: WeightVersion,
    ) -> impl Future<Output = Result<Vec<[u8; 32]>, EngineError>> + Send;

    /// A piece from an origin, unverified.
    fn origin_piece(
        &self,
        origin: SocketAddr,
        model: &str,
        version: WeightVersion,
        number: u32,
    ) -> impl Future<Output = Result<Bytes, EngineError>> + Send;
}

/// All that the project needs of a platform.
pub trait Platform: Clone + Send + Sync + 'static {
    /// Keyed records.
    type Store: RecordStore;
    /// Heads of requests.
    type Dialect: Dialect;
    /// Engines and origins.
    type Engines: EngineApi;

    /// The store.
    fn store(&self) -> &Self::Store;
    /// Heads of requests.
    fn dialect(&self) -> &Self::Dialect;
    /// Engines and origins.
    fn engines(&self) -> &Self::Engines;
    /// Topic of the operators' records.
    fn fleet_topic(&self) -> &'static str;
    /// Topic of the upstreams' records.
    fn upstream_topic(&self) -> &'static str;
    /// Topic in which the project's own processes announce themselves.
    fn member_topic(&self) -> &'static str;
    /// Decodes a record of the operators.
    fn fleet_record(&self, key: &str, value: &[u8]) -> Result<FleetRecord, BadRecord>;
    /// Decodes a record of an upstream.
    fn upstream(&self, key: &str, value: &[u8]) -> Result<Upstream, BadRecord>;
}
