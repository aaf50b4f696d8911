use std::convert::Infallible;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use bytes::Bytes;
use dispatch::Standing;
use domain::Platform;
use feed::Feed;
use http::{Request, Response, StatusCode};
use http_body_util::Full;
use hyper::body::Incoming;
use transport::Handler;

/// Tells the balancer whether this entry takes new connections.
pub struct Readiness<P> {
    feed: Arc<Feed<P>>,
    leaving: AtomicBool,
}

impl<P: Platform> Readiness<P> {
    /// Readiness after the state of `feed`.
    pub fn new(feed: Arc<Feed<P>>) -> Self {
        Readiness {
            feed,
            leaving: AtomicBool::new(false),
        }
    }

    /// From now on the entry is not ready.
    pub fn leave(&self) {
        self.leaving.store(true, Ordering::Relaxed);
    }

    fn is_ready(&self) -> bool {
        let standing = self.feed.config_status();
        let known = matches!(standing, Standing::Fresh | Standing::Stale);
        known && !self.leaving.load(Ordering::Relaxed) && self.feed.view(|v| v.plan().is_some())
    }
}

impl<P: Platform> Handler for Readiness<P> {
    type Body = Full<Bytes>;
    type Error = Infallible;

    async fn handle(&self, _request: Request<Incoming>) -> Response<Full<Bytes>> {
        let mut response = Response::new(Full::default());
        if !self.is_ready() {
            *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
        }
        response
    }
}
