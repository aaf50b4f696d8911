use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};

use futures_lite::AsyncRead;

use crate::ResponseBody;

/// Told how a body ends.
pub trait BodyObserver: Send + Sync + Unpin {
    /// The last byte has arrived.
    fn on_complete(&mut self);

    /// The body broke off.
    fn on_error(&mut self, error: &io::Error);
}

/// A body on its way through this process, with somebody who is told its end.
/// An incomplete source stays an error, which breaks the receiver's connection
/// visibly.
pub struct ObservedBody<W> {
    body: ResponseBody,
    watch: W,
}

impl<W: BodyObserver> ObservedBody<W> {
    /// Passes `body` on and tells `watch` of its end.
    pub fn new(body: ResponseBody, mut watch: W) -> Self {
        if body.is_complete() {
            watch.on_complete();
        }
        ObservedBody { body, watch }
    }
}

impl<W: BodyObserver> AsyncRead for ObservedBody<W> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let read = Pin::new(&mut self.body).poll_read(cx, buf);
        match &read {
            Poll::Ready(Ok(0)) => self.watch.on_complete(),
            // Nobody looks for the end of a body whose length is declared.
            Poll::Ready(Ok(_)) if self.body.is_complete() => self.watch.on_complete(),
            Poll::Ready(Err(e)) => self.watch.on_error(e),
            _ => {}
        }
        read
    }
}
