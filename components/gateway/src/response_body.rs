use std::pin::Pin;
use std::task::{Context, Poll};

use async_channel::Receiver;
use bytes::Bytes;
use derive_more::{Display, Error};
use futures_lite::Stream;
use http_body::{Body, Frame, SizeHint};
use smol::Task;

use crate::answer_log::AnswerLog;
use crate::body_buffers::Reservation;
use crate::cut_cause::CutCause;

/// Longest part of a buffered body that is passed on at once. hyper copies each part, and
/// would hold a whole body for a caller that does not read it.
const PART_BYTES: usize = 16 << 10;

/// A response that ends early; the caller's connection is reset.
#[derive(Debug, Display, Error)]
#[display("the response was aborted: {}", cause.name())]
pub struct ResponseAborted {
    pub(crate) cause: CutCause,
}

/// Body of a response to a caller.
pub struct ResponseBody {
    content: Content,
    log: Option<AnswerLog>,
}

/// Bytes of a response.
enum Content {
    /// A body in memory.
    Buffered {
        /// `None` after it was sent.
        bytes: Option<Bytes>,
        /// Its share of the memory for bodies, if it came from an upstream.
        _memory: Option<Reservation>,
    },
    /// A body that is passed on as it arrives; dropping it cancels the relay.
    Streamed {
        /// Chunks from the relay.
        chunks: Pin<Box<Receiver<Result<Bytes, ResponseAborted>>>>,
        /// Task that reads the stream from the upstreams.
        _relay: Task<()>,
    },
}

impl ResponseBody {
    /// A body in memory, and its share of the memory for bodies.
    pub(crate) fn buffered(bytes: Bytes, memory: Option<Reservation>) -> Self {
        let content = Content::Buffered {
            bytes: Some(bytes),
            _memory: memory,
        };
        ResponseBody { content, log: None }
    }

    /// A body whose chunks come from the task `relay`.
    pub(crate) fn streamed(
        chunks: Receiver<Result<Bytes, ResponseAborted>>,
        relay: Task<()>,
    ) -> Self {
        let content = Content::Streamed {
            chunks: Box::pin(chunks),
            _relay: relay,
        };
        ResponseBody { content, log: None }
    }

    /// Logs in `log` how the body ends.
    pub(crate) fn logged(mut self, mut log: AnswerLog) -> Self {
        log.start();
        if self.is_end_stream() {
            log.complete();
        }
        self.log = Some(log);
        self
    }
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = ResponseAborted;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, ResponseAborted>>> {
        let this = self.get_mut();
        let next = match &mut this.content {
            Content::Buffered { bytes, .. } => Poll::Ready(take_part(bytes).map(Ok)),
            Content::Streamed { chunks, .. } => chunks.as_mut().poll_next(cx),
        };
        if let Some(log) = &mut this.log {
            match &next {
                Poll::Ready(Some(Err(e))) => log.cut(e.cause),
                Poll::Ready(None) => log.complete(),
                Poll::Ready(Some(Ok(_))) if this.content.is_end() => log.complete(),
                _ => {}
            }
        }
        next.map(|chunk| chunk.map(|c| c.map(Frame::data)))
    }

    fn is_end_stream(&self) -> bool {
        self.content.is_end()
    }

    fn size_hint(&self) -> SizeHint {
        match &self.content {
            Content::Buffered { bytes, .. } => {
                let len = bytes.as_ref().map_or(0, Bytes::len);
                SizeHint::with_exact(u64::try_from(len).unwrap_or(u64::MAX))
            }
            Content::Streamed { .. } => SizeHint::default(),
        }
    }
}

/// Next part of a buffered body; `None` after the last one.
fn take_part(bytes: &mut Option<Bytes>) -> Option<Bytes> {
    let left = bytes.as_mut()?;
    match left.len() > PART_BYTES {
        true => Some(left.split_to(PART_BYTES)),
        false => bytes.take(),
    }
}

impl Content {
    /// Whether nothing is left to send.
    fn is_end(&self) -> bool {
        match self {
            Content::Buffered { bytes, .. } => bytes.as_ref().is_none_or(Bytes::is_empty),
            Content::Streamed { .. } => false,
        }
    }
}
