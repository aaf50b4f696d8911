use std::convert::Infallible;
use std::future::Future;
use std::sync::Arc;

use bytes::Bytes;
use domain::Platform;
use http::{Request, Response, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use serde::de::DeserializeOwned;
use transport::Handler;

use crate::Feed;
use crate::peer_messages::{PIECE_PATH, RECORDS_PATH, RecordsRequest};
use crate::targets_messages::{GOALS_PATH, TargetsRequest};

/// Longest question of a peer, in bytes.
const QUESTION_LIMIT: usize = 4 << 10;

/// What became of a question for a piece.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PieceLookup {
    /// Its bytes.
    Found(Bytes),
    /// Others have to be served first.
    Busy,
    /// It is not here.
    Missing,
}

/// Where a process keeps pieces of weights for its peers.
pub trait PieceProvider: Send + Sync + 'static {
    /// A piece of a version, if it is there.
    fn piece(
        &self,
        model: &str,
        version: u64,
        number: u32,
    ) -> impl Future<Output = PieceLookup> + Send;

    /// Digests of a version as this process has them from the origin.
    fn digests(&self, model: &str, version: u64) -> Option<Vec<[u8; 32]>>;
}

/// A process without pieces.
impl PieceProvider for () {
    async fn piece(&self, _model: &str, _version: u64, _number: u32) -> PieceLookup {
        PieceLookup::Missing
    }

    fn digests(&self, _model: &str, _version: u64) -> Option<Vec<[u8; 32]>> {
        None
    }
}

/// Answers other processes of the project.
pub struct PeerHandler<P, S> {
    feed: Arc<Feed<P>>,
    shelf: Arc<S>,
    metrics: fn() -> String,
}

impl<P: Platform, S: PieceProvider> PeerHandler<P, S> {
    /// A handler over what this process knows.
    pub fn new(feed: Arc<Feed<P>>, shelf: Arc<S>, metrics: fn() -> String) -> Self {
        PeerHandler {
            feed,
            shelf,
            metrics,
        }
    }

    async fn records(&self, body: Incoming) -> Option<Bytes> {
        let question: RecordsRequest = read_question(body).await?;
        let answer = rmp_serde::to_vec(&self.feed.answer(&question)).ok()?;
        Some(answer.into())
    }

    async fn goals(&self, body: Incoming) -> Option<Bytes> {
        let question: TargetsRequest = read_question(body).await?;
        let answer = rmp_serde::to_vec(&self.feed.goals(&question).await).ok()?;
        Some(answer.into())
    }

    /// `/piece/MODEL/VERSION/NUMBER`, or without a number the digests.
    async fn piece(&self, path: &str) -> PieceLookup {
        let Some((model, version, number)) = piece_path(path) else {
            return PieceLookup::Missing;
        };
        match number {
            Some(number) => self.shelf.piece(model, version, number).await,
            None => match self.shelf.digests(model, version) {
                Some(digests) => PieceLookup::Found(digests.concat().into()),
                None => PieceLookup::Missing,
            },
        }
    }
}

async fn read_question<Q: DeserializeOwned>(body: Incoming) -> Option<Q> {
    let body = Limited::new(body, QUESTION_LIMIT).collect().await.ok()?;
    rmp_serde::from_slice(&body.to_bytes()).ok()
}

fn piece_path(path: &str) -> Option<(&str, u64, Option<u32>)> {
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
        let answer = match path {
            RECORDS_PATH => self.records(body).await,
            GOALS_PATH => self.goals(body).await,
            "/metrics" => Some((self.metrics)().into()),
            _ => match self.piece(path).await {
                PieceLookup::Found(bytes) => Some(bytes),
                PieceLookup::Missing => None,
                PieceLookup::Busy => return status(StatusCode::SERVICE_UNAVAILABLE),
            },
        };
        match answer {
            Some(bytes) => Response::new(Full::new(bytes)),
            None => status(StatusCode::NOT_FOUND),
        }
    }
}

fn status(status: StatusCode) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::default());
    *response.status_mut() = status;
    response
}
