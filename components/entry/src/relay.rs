use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;

use futures_lite::AsyncRead;
use kernel::Clock;
use wire::ReplyBody;

use crate::crash_book::CrashBook;
use crate::pools::{SharedPool, lock};

/// A request's place at an upstream; gives it back when dropped.
pub struct Lease {
    pool: SharedPool,
    clock: Clock,
    key: u64,
    begun: Duration,
    suspect: Option<(Arc<CrashBook>, u64)>,
    completed: bool,
}

impl Lease {
    /// The place that was just granted at the upstream with `key`.
    pub fn new(pool: SharedPool, clock: Clock, key: u64) -> Self {
        Lease {
            pool,
            begun: clock.now(),
            clock,
            key,
            suspect: None,
            completed: false,
        }
    }

    /// Clears the fingerprint of a suspect when its whole answer has arrived.
    pub fn absolve_when_complete(&mut self, crashes: Arc<CrashBook>, fingerprint: u64) {
        self.suspect = Some((crashes, fingerprint));
    }

    /// Records that the whole answer has arrived.
    pub fn complete(&mut self) {
        self.completed = true;
        if let Some((crashes, fingerprint)) = self.suspect.take() {
            crashes.absolve(fingerprint);
        }
    }
}

impl Drop for Lease {
    fn drop(&mut self) {
        let now = self.clock.now();
        let took = self.completed.then(|| now.saturating_sub(self.begun));
        lock(&self.pool).finish(now, self.key, took);
    }
}

/// An answer's body on its way to the caller. An incomplete source is an
/// error, which breaks the caller's connection visibly.
pub struct Relay {
    body: ReplyBody,
    lease: Lease,
}

impl Relay {
    /// Relays `body` while holding `lease`.
    pub fn new(body: ReplyBody, mut lease: Lease) -> Self {
        if body.is_whole() {
            lease.complete();
        }
        Relay { body, lease }
    }
}

impl AsyncRead for Relay {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let read = Pin::new(&mut self.body).poll_read(cx, buf);
        match &read {
            Poll::Ready(Ok(0)) => self.lease.complete(),
            // Nobody looks for the end of a body whose length is declared.
            Poll::Ready(Ok(_)) if self.body.is_whole() => self.lease.complete(),
            Poll::Ready(Err(e)) => log::warn!("relay: answer broken off: {e}"),
            _ => {}
        }
        read
    }
}
