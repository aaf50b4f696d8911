use std::pin::Pin;
use std::task::{Context, Poll};

use async_channel::Receiver;
use bytes::Bytes;
use derive_more::{Display, Error};
use futures_lite::Stream;
use http_body::{Body, Frame, SizeHint};
use smol::Task;

use crate::body_buffers::Reservation;

/// A response that ends early; the caller's connection is reset.
#[derive(Debug, Display, Error)]
#[display("the response was aborted")]
pub struct ResponseAborted;

/// Body of a response to a caller.
pub enum ResponseBody {
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
        ResponseBody::Buffered {
            bytes: Some(bytes),
            _memory: memory,
        }
    }
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = ResponseAborted;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, ResponseAborted>>> {
        match self.get_mut() {
            ResponseBody::Buffered { bytes, .. } => {
                Poll::Ready(bytes.take().map(|b| Ok(Frame::data(b))))
            }
            ResponseBody::Streamed { chunks, .. } => {
                let next = chunks.as_mut().poll_next(cx);
                next.map(|chunk| chunk.map(|c| c.map(Frame::data)))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            ResponseBody::Buffered { bytes, .. } => bytes.as_ref().is_none_or(Bytes::is_empty),
            ResponseBody::Streamed { .. } => false,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            ResponseBody::Buffered { bytes, .. } => {
                let len = bytes.as_ref().map_or(0, Bytes::len);
                SizeHint::with_exact(u64::try_from(len).unwrap_or(u64::MAX))
            }
            ResponseBody::Streamed { .. } => SizeHint::default(),
        }
    }
}
