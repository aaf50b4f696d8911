use std::convert::Infallible;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use bytes::Bytes;
use dispatch::ConfigStatus;
use domain::Platform;
use feed::Feed;
use http::{Request, Response, StatusCode};
use http_body_util::Full;
use hyper::body::Incoming;
use transport::Handler;

/// Readiness check of the load balancer.
pub struct Readiness<P> {
    feed: Arc<Feed<P>>,
    draining: AtomicBool,
}

impl<P: Platform> Readiness<P> {
    /// Ready as long as `feed` has a usable configuration.
    pub fn new(feed: Arc<Feed<P>>) -> Self {
        Readiness {
            feed,
            draining: AtomicBool::new(false),
        }
    }

    /// Reports the entry as not ready from now on.
    pub fn start_draining(&self) {
        self.draining.store(true, Ordering::Relaxed);
    }

    fn is_ready(&self) -> bool {
        let status = self.feed.config_status();
        let usable = matches!(status, ConfigStatus::Fresh | ConfigStatus::Stale);
        usable && !self.draining.load(Ordering::Relaxed) && self.feed.view(|v| v.config().is_some())
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
