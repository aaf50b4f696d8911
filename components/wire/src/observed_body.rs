use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};

use futures_lite::AsyncRead;

use crate::ResponseBody;

/// Is notified when a body ends.
pub trait BodyObserver: Send + Sync + Unpin {
    /// The last byte has arrived.
    fn on_complete(&mut self);

    /// Reading the body failed before its end.
    fn on_error(&mut self, error: &io::Error);
}

/// A response body that is forwarded, with an observer of its end. An error of
/// the source is passed on, so that the receiver's connection is reset and a
/// partial body is never taken for a complete one.
pub struct ObservedBody<O> {
    body: ResponseBody,
    observer: O,
}

impl<O: BodyObserver> ObservedBody<O> {
    /// Forwards `body` and notifies `observer` of its end.
    pub fn new(body: ResponseBody, mut observer: O) -> Self {
        if body.is_complete() {
            observer.on_complete();
        }
        ObservedBody { body, observer }
    }
}

impl<O: BodyObserver> AsyncRead for ObservedBody<O> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let read = Pin::new(&mut self.body).poll_read(cx, buf);
        match &read {
            Poll::Ready(Ok(0)) => self.observer.on_complete(),
            // Readers of a body with a declared length don't read past its last byte.
            Poll::Ready(Ok(_)) if self.body.is_complete() => self.observer.on_complete(),
            Poll::Ready(Err(e)) => self.observer.on_error(e),
            _ => {}
        }
        read
    }
}
