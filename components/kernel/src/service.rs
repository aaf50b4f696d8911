use std::future::Future;
use std::pin::Pin;
use std::time::Duration;

use crate::Registry;

/// A boxed future, as returned by [`Service::stop`].
pub type BoxFuture<'a, T> = Pin<Box<dyn Future<Output = T> + Send + 'a>>;

/// A part of the process with a life cycle.
pub trait Service: Send + Sync {
    /// Name that other services look up.
    fn name(&self) -> &'static str;

    /// Starts the service; peers registered earlier can be found in `peers`.
    fn start(&self, peers: &Registry) -> anyhow::Result<()>;

    /// Stops the service within `limit`, completing what it has accepted.
    fn stop(&self, limit: Duration) -> BoxFuture<'_, ()>;
}
