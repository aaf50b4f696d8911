use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, RwLock};

use config::{Declaration, FailureDomainId, NodeSettings, RegionId, ServiceId};

use crate::service_scheduler::ServiceScheduler;

/// A scheduler that the tasks of the entry share.
pub type SharedScheduler = Arc<Mutex<ServiceScheduler>>;

/// Locks a scheduler.
pub fn lock(scheduler: &Mutex<ServiceScheduler>) -> MutexGuard<'_, ServiceScheduler> {
    scheduler.lock().unwrap_or_else(PoisonError::into_inner)
}

/// The schedulers of all services.
pub struct Schedulers {
    failure_domain: FailureDomainId,
    region: RegionId,
    by_service: RwLock<BTreeMap<ServiceId, SharedScheduler>>,
}

impl Schedulers {
    /// An empty set of schedulers for the entry described by `settings`.
    pub fn new(settings: &NodeSettings) -> Self {
        Schedulers {
            failure_domain: settings.failure_domain.clone(),
            region: settings.region.clone(),
            by_service: RwLock::default(),
        }
    }

    /// The scheduler of a service, if the service is configured.
    pub fn get(&self, service: &str) -> Option<SharedScheduler> {
        let schedulers = self
            .by_service
            .read()
            .unwrap_or_else(PoisonError::into_inner);
        schedulers.get(service).cloned()
    }

    /// All schedulers with the ids of their services.
    pub fn all(&self) -> Vec<(ServiceId, SharedScheduler)> {
        let schedulers = self
            .by_service
            .read()
            .unwrap_or_else(PoisonError::into_inner);
        schedulers
            .iter()
            .map(|(id, s)| (id.clone(), s.clone()))
            .collect()
    }

    /// Applies the configuration in force: adds and removes schedulers and configures
    /// each.
    pub fn configure(&self, declaration: &Declaration) {
        let mut schedulers = self
            .by_service
            .write()
            .unwrap_or_else(PoisonError::into_inner);
        schedulers.retain(|id, scheduler| {
            let is_kept = declaration.services.contains_key(id);
            if !is_kept {
                lock(scheduler).remove_service();
            }
            is_kept
        });
        for id in declaration.services.keys() {
            let scheduler = schedulers.entry(id.clone()).or_insert_with(|| {
                let scheduler =
                    ServiceScheduler::new(id.clone(), &self.failure_domain, &self.region);
                Arc::new(Mutex::new(scheduler))
            });
            lock(scheduler).configure(declaration);
        }
    }
}
