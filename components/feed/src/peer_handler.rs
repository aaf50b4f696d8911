use std::convert::Infallible;
use std::future::Future;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use domain::Platform;
use http::{Request, Response, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use serde::de::DeserializeOwned;
use transport::{Handler, with_timeout};

use crate::Feed;
use crate::peer_messages::{PIECE_PATH, RECORDS_PATH, RecordsRequest};
use crate::targets_messages::{TARGETS_PATH, TargetsRequest};

/// Longest request body from a peer, in bytes.
const REQUEST_LIMIT: usize = 4 << 10;
/// Longest time for which such a body is awaited; it is sent with its head.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(3);

/// Result of a lookup of a piece.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PieceLookup {
    /// Bytes of the piece.
    Found(Bytes),
    /// Other peers are being served; retry later.
    Busy,
    /// This process does not have the piece.
    Missing,
}

/// Provides pieces of weights to peers.
pub trait PieceProvider: Send + Sync + 'static {
    /// Looks up a piece of a version.
    fn piece(
        &self,
        model: &str,
        version: u64,
        number: u32,
    ) -> impl Future<Output = PieceLookup> + Send;

    /// Digests of a version's pieces as read from the origin.
    fn digests(&self, model: &str, version: u64) -> Option<Vec<[u8; 32]>>;
}

/// Provider for a process that holds no pieces.
impl PieceProvider for () {
    async fn piece(&self, _model: &str, _version: u64, _number: u32) -> PieceLookup {
        PieceLookup::Missing
    }

    fn digests(&self, _model: &str, _version: u64) -> Option<Vec<[u8; 32]>> {
        None
    }
}

/// Handles HTTP requests from other processes of the fleet.
pub struct PeerHandler<P, S> {
    feed: Arc<Feed<P>>,
    pieces: Arc<S>,
    metrics: fn() -> String,
}

impl<P: Platform, S: PieceProvider> PeerHandler<P, S> {
    /// Creates a handler; `metrics` renders the metrics of this process.
    pub fn new(feed: Arc<Feed<P>>, pieces: Arc<S>, metrics: fn() -> String) -> Self {
        PeerHandler {
            feed,
            pieces,
            metrics,
        }
    }

    async fn records(&self, body: Incoming) -> Option<Bytes> {
        let request: RecordsRequest = read_request(body).await?;
        let response = rmp_serde::to_vec(&self.feed.records(&request)).ok()?;
        Some(response.into())
    }

    async fn targets(&self, body: Incoming) -> Option<Bytes> {
        let request: TargetsRequest = read_request(body).await?;
        let response = rmp_serde::to_vec(&self.feed.targets(&request).await).ok()?;
        Some(response.into())
    }

    /// Serves `/piece/MODEL/VERSION/NUMBER`; without the number, the response is
    /// the digests of the version, 32 bytes each.
    async fn piece(&self, path: &str) -> PieceLookup {
        let Some((model, version, number)) = parse_piece_path(path) else {
            return PieceLookup::Missing;
        };
        match number {
            Some(number) => self.pieces.piece(model, version, number).await,
            None => match self.pieces.digests(model, version) {
                Some(digests) => PieceLookup::Found(digests.concat().into()),
                None => PieceLookup::Missing,
            },
        }
    }
}

async fn read_request<T: DeserializeOwned>(body: Incoming) -> Option<T> {
    let body = Limited::new(body, REQUEST_LIMIT).collect();
    let body = with_timeout(REQUEST_TIMEOUT, body).await?.ok()?;
    rmp_serde::from_slice(&body.to_bytes()).ok()
}

fn parse_piece_path(path: &str) -> Option<(&str, u64, Option<u32>)> {
    let mut parts = path.strip_prefix(PIECE_PATH)?.trim_matches('/').split('/');
    let model = parts.next()?;
    let version = parts.next()?.parse().ok()?;
    let number = parts.next().map(str::parse).transpose().ok()?;
    Some((model, version, number))
}

impl<P: Platform, S: PieceProvider> Handler for PeerHandler<P, S> {
    type Body = Full<Bytes>;
    type Error = Infallible;

    async fn handle(&self, request: Request<Incoming>) -> Response<Full<Bytes>> {
        let (head, body) = request.into_parts();
        let path = head.uri.path();
        let found = match path {
            RECORDS_PATH => self.records(body).await,
            TARGETS_PATH => self.targets(body).await,
            "/metrics" => Some((self.metrics)().into()),
            _ => match self.piece(path).await {
                PieceLookup::Found(bytes) => Some(bytes),
                PieceLookup::Missing => None,
                PieceLookup::Busy => return empty_response(StatusCode::SERVICE_UNAVAILABLE),
            },
        };
        match found {
            Some(bytes) => Response::new(Full::new(bytes)),
            None => empty_response(StatusCode::NOT_FOUND),
        }
    }
}

fn empty_response(status: StatusCode) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::default());
    *response.status_mut() = status;
    response
}
