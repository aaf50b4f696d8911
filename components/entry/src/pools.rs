use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, RwLock};

use config::{Declaration, FailureDomainId, NodeSettings, RegionId, ServiceId};

use crate::pool::Pool;

/// A shared pool.
pub type SharedPool = Arc<Mutex<Pool>>;

/// Locks a pool.
pub fn lock(pool: &Mutex<Pool>) -> MutexGuard<'_, Pool> {
    pool.lock().unwrap_or_else(PoisonError::into_inner)
}

/// The pools of all services.
pub struct Pools {
    failure_domain: FailureDomainId,
    region: RegionId,
    pools: RwLock<BTreeMap<ServiceId, SharedPool>>,
}

impl Pools {
    /// No pools yet, as seen from the entry described by `settings`.
    pub fn new(settings: &NodeSettings) -> Self {
        Pools {
            failure_domain: settings.failure_domain.clone(),
            region: settings.region.clone(),
            pools: RwLock::default(),
        }
    }

    /// The pool of a service.
    pub fn get(&self, service: &str) -> Option<SharedPool> {
        let pools = self.pools.read().unwrap_or_else(PoisonError::into_inner);
        pools.get(service).cloned()
    }

    /// All pools with the names of their services.
    pub fn all(&self) -> Vec<(ServiceId, SharedPool)> {
        let pools = self.pools.read().unwrap_or_else(PoisonError::into_inner);
        pools
            .iter()
            .map(|(id, p)| (id.clone(), p.clone()))
            .collect()
    }

    /// Takes over the configuration in force.
    pub fn configure(&self, declaration: &Declaration) {
        let mut pools = self.pools.write().unwrap_or_else(PoisonError::into_inner);
        pools.retain(|id, _| declaration.services.contains_key(id));
        for id in declaration.services.keys() {
            let pool = pools.entry(id.clone()).or_insert_with(|| {
                let pool = Pool::new(id.clone(), &self.failure_domain, &self.region);
                Arc::new(Mutex::new(pool))
            });
            lock(pool).configure(declaration);
        }
    }
}
