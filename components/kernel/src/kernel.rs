use std::any::Any;
use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::{Drain, KernelError, Registry, Service};

/// Starts services in the order in which they were added and stops them in reverse.
#[derive(Default)]
pub struct Kernel {
    registry: Registry,
    services: Vec<Arc<dyn Service>>,
}

impl Kernel {
    /// Adds a service; the order of calls is the start order.
    pub fn add<S: Service + Any>(&mut self, service: Arc<S>) -> Result<(), KernelError> {
        self.registry.insert(service.name(), service.clone())?;
        self.services.push(service);
        Ok(())
    }

    /// Starts every service; on an error, stops those already started within `timeout`.
    pub async fn start(&self, timeout: Duration) -> anyhow::Result<()> {
        for (i, s) in self.services.iter().enumerate() {
            if let Err(e) = s.start(&self.registry) {
                self.stop_first(i, timeout).await;
                return Err(e.context(format!("kernel: service {} did not start", s.name())));
            }
        }
        Ok(())
    }

    /// Stops all services in reverse order, within `timeout` for all of them together;
    /// incomplete if one of them is.
    pub async fn stop(&self, timeout: Duration) -> Drain {
        self.stop_first(self.services.len(), timeout).await
    }

    async fn stop_first(&self, count: usize, timeout: Duration) -> Drain {
        let start = Instant::now();
        let mut all = Drain::Complete;
        for s in self.services[..count].iter().rev() {
            let remaining = timeout.saturating_sub(start.elapsed());
            let drain = s.stop(remaining).await;
            log::info!("kernel: stopped {}: {drain:?}", s.name());
            if drain == Drain::Incomplete {
                all = drain;
            }
        }
        all
    }
}
