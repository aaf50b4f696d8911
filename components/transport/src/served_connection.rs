use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;

use futures_lite::FutureExt;
use http::Request;
use hyper::body::Incoming;
use hyper::server::conn::http1::Builder;
use hyper::service::service_fn;
use smol::net::TcpStream;
use smol_hyper::rt::{FuturesIo, SmolTimer};

use crate::close_signal::CloseSignal;
use crate::in_flight::InFlight;
use crate::peer_watch::PeerWatch;
use crate::tracked_body::TrackedBody;
use crate::{Handler, InputEnd, ListenerLimits};

/// Shortest limit on request heads that hyper accepts, in bytes.
const MIN_HEAD: usize = 8192;

/// A client's connection, whose requests are passed to a handler.
pub(crate) struct ServedConnection<H> {
    pub(crate) stream: TcpStream,
    pub(crate) peer: SocketAddr,
    pub(crate) handler: Arc<H>,
    pub(crate) limits: ListenerLimits,
    pub(crate) closing: Arc<CloseSignal>,
}

impl<H: Handler> ServedConnection<H> {
    /// Serves requests until the connection ends, or the listener is closed and no request
    /// is in flight.
    pub(crate) async fn serve(self) {
        let requests = Arc::new(InFlight::default());
        let half_close = self.handler.serves_half_closed();
        let watch = PeerWatch {
            stream: self.stream.clone(),
            requests: &requests,
        };
        let reset = async {
            match half_close {
                true => watch.until_reset().await,
                // hyper notices it.
                false => std::future::pending().await,
            }
            None
        };
        let handling = async { Some(self.handle_requests(&requests, half_close).await) };
        match handling.or(reset).await {
            Some(Ok(())) => {}
            Some(Err(e)) => self.handler.connection_failed(self.peer, &e),
            None => log::debug!("transport: connection from {} was reset", self.peer),
        }
    }

    /// Lets hyper serve the connection until its end.
    async fn handle_requests(
        &self,
        requests: &Arc<InFlight>,
        half_close: bool,
    ) -> Result<(), hyper::Error> {
        let service = service_fn(|mut request: Request<Incoming>| {
            let input_end = InputEnd::default();
            request.extensions_mut().insert(input_end.clone());
            let in_flight = requests.begin(input_end);
            async move {
                let response = self.handler.handle(request).await;
                Ok::<_, Infallible>(response.map(|body| TrackedBody {
                    body,
                    _request: in_flight,
                }))
            }
        });
        let connection = Builder::new()
            .timer(SmolTimer::new())
            .half_close(half_close)
            .header_read_timeout(self.limits.idle_timeout)
            .max_buf_size(self.limits.head_bytes.max(MIN_HEAD))
            .serve_connection(FuturesIo::new(self.stream.clone()), service);
        let mut connection = std::pin::pin!(connection);
        let finished = async { Some(connection.as_mut().await) }
            .or(async {
                self.closing.wait().await;
                None
            })
            .await;
        match finished {
            Some(result) => result,
            None => {
                connection.as_mut().graceful_shutdown();
                connection.await
            }
        }
    }
}
