use std::future::{Future, poll_fn};
use std::pin::Pin;
use std::task::Poll;

use domain::Moment;

/// Futures that run at the same time. Dropping it cancels them.
pub struct Race<F> {
    entries: Vec<(Moment, Pin<Box<F>>)>,
}

impl<F> Default for Race<F> {
    fn default() -> Self {
        Race {
            entries: Vec::new(),
        }
    }
}

impl<F: Future> Race<F> {
    /// Adds a future that starts at `now`.
    pub fn push(&mut self, now: Moment, future: F) {
        self.entries.push((now, Box::pin(future)));
    }

    /// Whether no future runs.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// When the last of the running futures started.
    pub fn last_start(&self) -> Option<Moment> {
        self.entries.iter().map(|(started, _)| *started).max()
    }

    /// Output of the first future that is ready. Waits without end while none runs.
    pub async fn next(&mut self) -> F::Output {
        poll_fn(|cx| {
            for index in 0..self.entries.len() {
                if let Poll::Ready(output) = self.entries[index].1.as_mut().poll(cx) {
                    drop(self.entries.remove(index));
                    return Poll::Ready(output);
                }
            }
            Poll::Pending
        })
        .await
    }
}
