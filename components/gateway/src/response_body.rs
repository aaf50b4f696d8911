use std::pin::Pin;
use std::task::{Context, Poll};

use async_channel::Receiver;
use bytes::Bytes;
use derive_more::{Display, Error};
use futures_lite::Stream;
use http_body::{Body, Frame, SizeHint};
use smol::Task;

/// An answer that ends early; the caller's connection is reset.
#[derive(Debug, Display, Error)]
#[display("the answer broke off")]
pub struct ResponseAborted;

/// Body of an answer to a caller.
pub enum ResponseBody {
    /// A body that is known whole.
    Buffered(Option<Bytes>),
    /// A body that arrives in parts; dropping it cancels the task that feeds it.
    Streamed {
        /// The parts.
        parts: Pin<Box<Receiver<Result<Bytes, ResponseAborted>>>>,
        /// The task that feeds it.
        _relay: Task<()>,
    },
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = ResponseAborted;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, ResponseAborted>>> {
        match self.get_mut() {
            ResponseBody::Buffered(bytes) => Poll::Ready(bytes.take().map(|b| Ok(Frame::data(b)))),
            ResponseBody::Streamed { parts, .. } => {
                let next = parts.as_mut().poll_next(cx);
                next.map(|part| part.map(|p| p.map(Frame::data)))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            ResponseBody::Buffered(bytes) => bytes.as_ref().is_none_or(Bytes::is_empty),
            ResponseBody::Streamed { .. } => false,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            ResponseBody::Buffered(bytes) => {
                let len = bytes.as_ref().map_or(0, Bytes::len);
                SizeHint::with_exact(u64::try_from(len).unwrap_or(u64::MAX))
            }
            ResponseBody::Streamed { .. } => SizeHint::default(),
        }
    }
}
