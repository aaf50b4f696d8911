use std::future::Future;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use compact_str::CompactString;
use derive_more::{Display, Error};
use http::{HeaderMap, request, response};

use crate::{
    EngineStatus, FailureDomainId, FleetConfig, ModelId, Moment, RecordStore, RequestHead,
    ResponseHead, Upstream, UpstreamId, WeightVersion,
};

/// A record does not decode.
#[derive(Debug, Display, Error)]
#[display("{key}: {reason}; the record is skipped, write it again in the documented form")]
pub struct BadRecord {
    /// Key of the record.
    pub key: CompactString,
    /// What is wrong with it.
    pub reason: String,
}

/// A header of a request is missing or malformed.
#[derive(Debug, Display, Error)]
#[display("header {header}: {reason}")]
pub struct RequestError {
    /// The header.
    pub header: &'static str,
    /// What is wrong, and what to send instead.
    pub reason: String,
}

/// A decoded record of the operators' topic.
#[derive(Debug, Clone, PartialEq)]
pub enum FleetRecord {
    /// A new version of the configuration.
    Config(Box<FleetConfig>),
    /// A failure domain is taken out of service.
    Evacuated(FailureDomainId),
    /// A version of a model's weights is declared: all its engines have to load it.
    Weights(ModelId, WeightVersion),
    /// A record that this program does not use.
    Other,
}

/// The upstream that a request is sent to.
#[derive(Debug, Clone)]
pub struct Target {
    /// Id that the upstream must have to accept the request.
    pub id: UpstreamId,
    /// Address of the upstream.
    pub addr: SocketAddr,
}

/// Values that are set on a request when it is forwarded to an upstream.
#[derive(Debug, Clone)]
pub struct ForwardParams<'a> {
    /// The upstream.
    pub target: &'a Target,
    /// Time that is left until the caller's timeout.
    pub time_left: Duration,
    /// Client account of the caller, if the request has one.
    pub account: Option<&'a str>,
    /// Priority in the upstream's queue, 0 to 9; 0 is served first.
    pub priority: u8,
    /// Weight version that the upstream must have to accept the request.
    pub weight_version: Option<WeightVersion>,
    /// Event after which a stream is to be resumed.
    pub last_event: Option<&'a str>,
}

/// Headers of requests and responses as a platform defines them.
pub trait Dialect: Send + Sync + 'static {
    /// Parses the head of a caller's request.
    fn request_head(&self, head: &request::Parts) -> Result<RequestHead, RequestError>;

    /// Headers of a caller's request as an upstream receives them.
    fn upstream_headers(&self, head: &request::Parts, params: &ForwardParams<'_>) -> HeaderMap;

    /// Parses the head of an upstream's response.
    fn response_head(&self, head: &response::Parts) -> ResponseHead;

    /// Headers of an upstream's response as callers receive them.
    fn caller_headers(&self, head: &response::Parts) -> HeaderMap;

    /// Path of the platform's readiness check.
    fn readiness_path(&self) -> &'static str;

    /// Sets the time after which a refused caller should retry.
    fn set_retry_after(&self, headers: &mut HeaderMap, wait: Duration);
}

/// A call to an engine or an origin failed.
#[derive(Debug, Display, Error)]
pub enum EngineError {
    /// The call was refused.
    #[display("{call} was refused with status {status}")]
    Refused {
        /// The call.
        call: &'static str,
        /// HTTP status.
        status: u16,
        /// The engine is about to end.
        leaving: bool,
    },
    /// The call was not sent and has no effect.
    #[display("{call} was not sent: {reason}; read the engine's report again")]
    NotSent {
        /// The call.
        call: &'static str,
        /// What went wrong.
        reason: String,
    },
    /// No usable response; the call may have taken effect, or may do so later.
    #[display("no usable response to {call}: {reason}; retry on a new connection")]
    NoResponse {
        /// The call.
        call: &'static str,
        /// What went wrong.
        reason: String,
    },
}

/// An order to load staged pieces.
#[derive(Debug, Clone)]
pub struct LoadOrder<'a> {
    /// Id that the engine must have to accept it, if the id is known.
    pub id: Option<&'a str>,
    /// Model.
    pub model: &'a str,
    /// Version of the weights.
    pub version: WeightVersion,
    /// Number of orders that the engine must have accepted so far.
    pub sequence: u64,
    /// Moment after which it must not be sent.
    pub send_by: Moment,
}

/// Calls that change what an engine holds. They reach the start of the engine that the
/// session was opened with, or none.
pub trait EngineSession: Send + 'static {
    /// Status that the engine reported when the session was opened.
    fn status(&self) -> &EngineStatus;

    /// Stages a piece at the engine.
    fn stage_piece(
        &mut self,
        model: &str,
        number: u32,
        piece: Bytes,
    ) -> impl Future<Output = Result<(), EngineError>> + Send;

    /// Orders the engine to load the staged pieces.
    fn load(
        &mut self,
        order: LoadOrder<'_>,
    ) -> impl Future<Output = Result<(), EngineError>> + Send;
}

/// Client of model engines and of the origin of weights.
pub trait EngineApi: Clone + Send + Sync + 'static {
    /// Calls to one start of an engine.
    type Session: EngineSession;

    /// Reads the engine's status.
    fn status(
        &self,
        engine: SocketAddr,
    ) -> impl Future<Output = Result<EngineStatus, EngineError>> + Send;

    /// Reads the numbers of the pieces that are staged at the engine.
    fn staged_pieces(
        &self,
        engine: SocketAddr,
        model: &str,
    ) -> impl Future<Output = Result<Vec<u32>, EngineError>> + Send;

    /// Reads a staged piece; `None` if it is not staged.
    fn staged_piece(
        &self,
        engine: SocketAddr,
        model: &str,
        number: u32,
    ) -> impl Future<Output = Result<Option<Bytes>, EngineError>> + Send;

    /// Opens a session with the present start of the engine.
    fn connect(
        &self,
        engine: SocketAddr,
    ) -> impl Future<Output = Result<Self::Session, EngineError>> + Send;

    /// Reads the digests of a version's pieces from an origin.
    fn digests(
        &self,
        origin: SocketAddr,
        model: &str,
        version: WeightVersion,
    ) -> impl Future<Output = Result<Vec<[u8; 32]>, EngineError>> + Send;

    /// Reads a piece from an origin, without verifying its digest.
    fn origin_piece(
        &self,
        origin: SocketAddr,
        model: &str,
        version: WeightVersion,
        number: u32,
    ) -> impl Future<Output = Result<Bytes, EngineError>> + Send;
}

/// The platform that the project runs on: its store, headers and engines.
pub trait Platform: Clone + Send + Sync + 'static {
    /// Client of the store.
    type Store: RecordStore;
    /// Headers of requests and responses.
    type Dialect: Dialect;
    /// Client of engines and origins.
    type Engines: EngineApi;

    /// Client of the store.
    fn store(&self) -> &Self::Store;
    /// Headers of requests and responses.
    fn dialect(&self) -> &Self::Dialect;
    /// Client of engines and origins.
    fn engines(&self) -> &Self::Engines;
    /// Topic of the operators' records.
    fn fleet_topic(&self) -> &'static str;
    /// Topic of the upstreams' records.
    fn upstream_topic(&self) -> &'static str;
    /// Topic in which the project's entries announce themselves.
    fn member_topic(&self) -> &'static str;
    /// Decodes a record of the operators' topic.
    fn fleet_record(&self, key: &str, value: &[u8]) -> Result<FleetRecord, BadRecord>;
    /// Decodes a record of the upstreams' topic.
    fn upstream(&self, key: &str, value: &[u8]) -> Result<Upstream, BadRecord>;
}
