use std::future::Future;
use std::pin::Pin;
use std::time::Duration;

use crate::Registry;

/// A boxed future, as returned by [`Service::stop`].
pub type BoxFuture<'a, T> = Pin<Box<dyn Future<Output = T> + Send + 'a>>;

/// Whether a service had completed its work when it stopped.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Drain {
    /// All work that it had accepted.
    Complete,
    /// The timeout came first.
    Incomplete,
}

impl Drain {
    /// Complete if `is_complete`.
    pub fn from_complete(is_complete: bool) -> Self {
        match is_complete {
            true => Drain::Complete,
            false => Drain::Incomplete,
        }
    }
}

/// A part of the process with a life cycle.
pub trait Service: Send + Sync {
    /// Name under which other services find it.
    fn name(&self) -> &'static str;

    /// Starts the service; `registry` finds the other services, started or not.
    fn start(&self, registry: &Registry) -> anyhow::Result<()>;

    /// Stops the service within `timeout`, completing the work that it has accepted.
    fn stop(&self, timeout: Duration) -> BoxFuture<'_, Drain>;
}
