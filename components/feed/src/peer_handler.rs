use std::convert::Infallible;
use std::future::Future;
use std::sync::Arc;

use bytes::Bytes;
use domain::Platform;
use http::{Request, Response, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use transport::Handler;

use crate::Feed;
use crate::peer_messages::{PIECE_PATH, RECORDS_PATH, RecordsQuestion};

/// Longest question of a peer, in bytes.
const QUESTION_LIMIT: usize = 4 << 10;

/// Where a process keeps pieces of weights for its peers.
pub trait PieceShelf: Send + Sync + 'static {
    /// A piece of a version, if it is there.
    fn piece(
        &self,
        model: &str,
        version: u64,
        number: u32,
    ) -> impl Future<Output = Option<Bytes>> + Send;

    /// Digests of a version as this process has them from the origin.
    fn digests(&self, model: &str, version: u64) -> Option<Vec<[u8; 32]>>;
}

/// A process without pieces.
impl PieceShelf for () {
    async fn piece(&self, _model: &str, _version: u64, _number: u32) -> Option<Bytes> {
        None
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

impl<P: Platform, S: PieceShelf> PeerHandler<P, S> {
    /// A handler over what this process knows.
    pub fn new(feed: Arc<Feed<P>>, shelf: Arc<S>, metrics: fn() -> String) -> Self {
        PeerHandler {
            feed,
            shelf,
            metrics,
        }
    }

    async fn records(&self, body: Incoming) -> Option<Vec<u8>> {
        let body = Limited::new(body, QUESTION_LIMIT).collect().await.ok()?;
        let question: RecordsQuestion = rmp_serde::from_slice(&body.to_bytes()).ok()?;
        rmp_serde::to_vec(&self.feed.answer(&question)).ok()
    }

    /// `/piece/MODEL/VERSION/NUMBER`, or without a number the digests.
    async fn piece(&self, path: &str) -> Option<Bytes> {
        let mut parts = path.strip_prefix(PIECE_PATH)?.trim_matches('/').split('/');
        let model = parts.next()?;
        let version = parts.next()?.parse().ok()?;
        match parts.next() {
            Some(number) => self.shelf.piece(model, version, number.parse().ok()?).await,
            None => {
                let digests = self.shelf.digests(model, version)?;
                Some(digests.concat().into())
            }
        }
    }
}

impl<P: Platform, S: PieceShelf> Handler for PeerHandler<P, S> {
    type Body = Full<Bytes>;
    type Error = Infallible;

    async fn handle(&self, request: Request<Incoming>) -> Response<Full<Bytes>> {
        let (head, body) = request.into_parts();
        let path = head.uri.path();
        let answer = match path {
            RECORDS_PATH => self.records(body).await.map(Bytes::from),
            "/metrics" => Some((self.metrics)().into()),
            _ => self.piece(path).await,
        };
        let mut response = Response::new(Full::new(answer.clone().unwrap_or_default()));
        if answer.is_none() {
            *response.status_mut() = StatusCode::NOT_FOUND;
        }
        response
    }
}
