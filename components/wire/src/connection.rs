use std::net::{Shutdown, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use async_channel::{Receiver, Sender};
use async_h1::server::{ConnectionStatus, Encoder};
use futures_lite::FutureExt;
use futures_lite::future::poll_once;
use http_types::headers::{CONTENT_LENGTH, TRANSFER_ENCODING};
use http_types::{Method, Request, Response};
use smol::Timer;
use smol::io::AsyncReadExt;
use smol::net::TcpStream;

use crate::request_stream::{RequestStream, SharedStage, Stage, Unread, WriteCount, lock};
use crate::server::{InputEnd, ServerLimits};
use crate::{Caller, Handler, Problem, with_timeout};

/// Interval of checks for the end of the caller's input while its request is handled.
const PEER_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Checks without a write after which a caller that ended its input within a response is
/// assumed to have left; before that it may have finished its request only.
const LEFT_CHECKS: u32 = 2;
/// Checks after a response until a connection is closed whose request is still being sent.
const DISCARD_CHECKS: u32 = 5;
/// Longest time after a stop until a request whose first bytes were read is complete.
const HEAD_DELAY: Duration = Duration::from_secs(2);
/// Longest time for which input is read and discarded before a connection is closed. Bytes
/// that are not read would reset the connection, which may overtake the response.
const LINGER_TIME: Duration = Duration::from_millis(500);
/// Most bytes that are read and discarded before a connection is closed.
const LINGER_BYTES: usize = 1 << 20;
/// Time after which a connection that is refused may be used again.
const REFUSED_RETRY: Duration = Duration::from_secs(1);

/// One connection of a caller.
pub(crate) struct Connection<H> {
    pub(crate) stream: TcpStream,
    pub(crate) peer: SocketAddr,
    pub(crate) handler: Arc<H>,
    pub(crate) limits: ServerLimits,
    /// Closed when the shutdown starts.
    pub(crate) shutdown: Receiver<()>,
    /// Bytes of the next request.
    pub(crate) unread: Unread,
}

/// How the exchange of one request ended.
enum ExchangeEnd {
    /// The response was sent, and another request may follow.
    Complete,
    /// Nothing more is read or sent.
    Close,
    /// The response is not complete.
    Abort,
    /// No request came.
    Idle,
    /// The request did not become complete after the shutdown had started.
    Stalled,
    /// The caller has left, before the response was begun.
    Left,
    /// The head of the request cannot be read, for this reason.
    Malformed(String),
}

impl<H: Handler> Connection<H> {
    /// Serves requests until the connection ends.
    pub(crate) async fn run(self) {
        loop {
            match self.serve_request().await {
                ExchangeEnd::Complete if !self.shutdown.is_closed() => continue,
                ExchangeEnd::Complete | ExchangeEnd::Close | ExchangeEnd::Idle => {}
                ExchangeEnd::Abort => return,
                ExchangeEnd::Stalled => self.respond(stalled()).await,
                ExchangeEnd::Left => self.respond(caller_left()).await,
                ExchangeEnd::Malformed(reason) => self.respond(malformed(&reason)).await,
            }
            return self.close().await;
        }
    }

    /// Refuses the first request on a connection above the limit.
    pub(crate) async fn refuse(self) {
        let sent = with_timeout(HEAD_DELAY, self.stream.peek(&mut [0])).await;
        if matches!(sent, Some(Ok(n)) if n > 0) {
            let detail = "the server has too many connections; send the request again later";
            let problem = Problem::not_run(503, "too many connections", detail);
            self.respond(problem.retry_after(REFUSED_RETRY)).await;
        }
        self.close().await;
    }

    async fn serve_request(&self) -> ExchangeEnd {
        let stage = SharedStage::default();
        let (input, input_ended) = async_channel::bounded(1);
        let caller = Caller::new(self.peer, self.stream.clone(), input_ended);
        let handle = |req: Request| self.handle_request(req, caller.clone(), &stage, &input);
        let writes = WriteCount::default();
        let stream = RequestStream::new(
            self.stream.clone(),
            stage.clone(),
            self.unread.clone(),
            writes.clone(),
        );
        let mut server = async_h1::server::Server::new(stream, handle);
        let exchange = async {
            match server.accept_one().await {
                Ok(ConnectionStatus::KeepAlive) => ExchangeEnd::Complete,
                Ok(ConnectionStatus::Close) => ExchangeEnd::Close,
                Err(e) if !stage.has_reached(Stage::Handling) => {
                    ExchangeEnd::Malformed(e.to_string())
                }
                Err(_) => ExchangeEnd::Abort,
            }
        };
        exchange
            .or(self.idle_expired(&stage))
            .or(self.watch_input(&stage, &input, &writes))
            .await
    }

    /// Resolves when a connection without a complete request is due to be closed.
    async fn idle_expired(&self, stage: &SharedStage) -> ExchangeEnd {
        self.shutdown_started()
            .or(async {
                Timer::after(self.limits.idle_timeout).await;
            })
            .await;
        if self.shutdown.is_closed() {
            Timer::after(self.limits.close_delay).await;
        }
        if !stage.has_reached(Stage::Reading) && !self.has_input().await {
            return ExchangeEnd::Idle;
        }
        Timer::after(HEAD_DELAY).await;
        if stage.has_reached(Stage::Handling) {
            std::future::pending::<()>().await;
        }
        ExchangeEnd::Stalled
    }

    async fn shutdown_started(&self) {
        // Nothing is ever sent.
        let _ = self.shutdown.recv().await;
    }

    /// Whether bytes can be read.
    async fn has_input(&self) -> bool {
        !lock(&self.unread).is_empty()
            || matches!(poll_once(self.stream.peek(&mut [0])).await, Some(Ok(n)) if n > 0)
    }

    /// Closes `input` when the caller ends its input while its request is handled. Resolves
    /// when that cancels the request, when the caller may be assumed to have left within its
    /// response, when it still sends a request that was answered, or when the connection was
    /// reset.
    async fn watch_input(
        &self,
        stage: &SharedStage,
        input: &Sender<()>,
        writes: &WriteCount,
    ) -> ExchangeEnd {
        let (mut written, mut idle_checks, mut discard_checks) = (0, 0, 0);
        loop {
            Timer::after(PEER_CHECK_INTERVAL).await;
            if !stage.has_reached(Stage::Handling) {
                continue;
            }
            if stage.has_reached(Stage::Discarding) {
                discard_checks += 1;
                if discard_checks == DISCARD_CHECKS {
                    return ExchangeEnd::Close;
                }
                continue;
            }
            match self.stream.peek(&mut [0]).await {
                Err(_) => return ExchangeEnd::Abort,
                // The rest of the body or the next request can be read.
                Ok(n) if n > 0 => {}
                Ok(_) => match H::INPUT_END {
                    InputEnd::Notify if !stage.has_reached(Stage::Responding) => {
                        input.close();
                    }
                    // It was closed before the response, for a request that is complete.
                    InputEnd::Notify if input.is_closed() => {}
                    InputEnd::Notify if writes.get() != written => {
                        (written, idle_checks) = (writes.get(), 0);
                    }
                    InputEnd::Notify => {
                        idle_checks += 1;
                        if idle_checks == LEFT_CHECKS {
                            return ExchangeEnd::Abort;
                        }
                    }
                    InputEnd::Cancel if stage.has_reached(Stage::Responding) => {
                        return ExchangeEnd::Abort;
                    }
                    InputEnd::Cancel => return ExchangeEnd::Left,
                },
            }
        }
    }

    async fn handle_request(
        &self,
        req: Request,
        caller: Caller,
        stage: &SharedStage,
        input: &Sender<()>,
    ) -> http_types::Result<Response> {
        stage.reach(Stage::Handling);
        let mut res = match ambiguity(&req) {
            Some(text) => {
                let mut res = Response::from(Problem::not_run(400, "bad request", text));
                res.insert_header("connection", "close");
                res
            }
            None => self.handler.handle_caller(req, caller.clone()).await,
        };
        if self.shutdown.is_closed() {
            res.insert_header("connection", "close");
        }
        if caller.has_ended_input().await {
            input.close();
        }
        stage.reach(Stage::Responding);
        Ok(res)
    }

    /// Sends a response after which the connection is closed.
    async fn respond(&self, problem: Problem) {
        let mut res = Response::from(problem);
        res.insert_header("connection", "close");
        let mut out = self.stream.clone();
        if let Err(e) = smol::io::copy(Encoder::new(res, Method::Get), &mut out).await {
            log::debug!("wire: response to {} was not sent: {e}", self.peer);
        }
    }

    /// Closes the connection once the caller has read what was sent, as far as can be told.
    async fn close(&self) {
        if self.stream.shutdown(Shutdown::Write).is_err() {
            return;
        }
        let mut stream = self.stream.clone();
        let discard = async {
            let mut buf = vec![0; 4096];
            let mut left = LINGER_BYTES;
            while let Ok(n @ 1..) = stream.read(&mut buf).await {
                left = left.saturating_sub(n);
                if left == 0 {
                    return;
                }
            }
        };
        with_timeout(LINGER_TIME, discard).await;
    }
}

/// Why the end of a request's body is not certain.
fn ambiguity(req: &Request) -> Option<&'static str> {
    let repeated = req
        .header(CONTENT_LENGTH)
        .is_some_and(|v| v.iter().count() > 1);
    let unchunked = req
        .header(TRANSFER_ENCODING)
        .is_some_and(|v| !v.as_str().eq_ignore_ascii_case("chunked"));
    match (repeated, unchunked) {
        (true, _) => Some("content-length is repeated; send it once"),
        (_, true) => Some("transfer-encoding is not chunked; use that or content-length"),
        _ => None,
    }
}

fn stalled() -> Problem {
    let text = "the request was not complete when the server stopped; send it again";
    Problem::not_run(408, "request timeout", text)
}

fn caller_left() -> Problem {
    let text = "the caller closed its connection; the request may have run";
    Problem::unknown(502, "caller left", text)
}

fn malformed(reason: &str) -> Problem {
    let text = format!("{reason}; send a well-formed HTTP/1.1 head of at most 8 KiB");
    Problem::not_run(400, "bad request", text)
}
