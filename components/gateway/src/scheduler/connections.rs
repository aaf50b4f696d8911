use std::collections::HashMap;
use std::net::SocketAddr;

use dispatch::{ConnectionBudget, Ownership};
use domain::{Platform, ServiceId};
use transport::MAX_IDLE;

use super::Scheduler;
use crate::lease::Lease;

/// Limits on connections to upstreams.
impl<P: Platform> Scheduler<P> {
    /// Budget for the connections to each upstream of a service; `None` if the
    /// configuration states no limit.
    pub(super) fn connection_budget(&self, service: &str) -> Option<ConnectionBudget> {
        let limit = self.feed.view(|v| {
            let spec = v.config()?.services.get(service)?;
            Some(spec.connection_limit)
        })?;
        let heard = self.lock().peers.len() + 1;
        let entries = self.feed.entry_count().map(|known| known.max(heard));
        ConnectionBudget::new(limit, entries)
    }

    /// Idle connections that this entry may keep to the leased upstream.
    pub fn idle_share(&self, lease: &Lease<P>) -> usize {
        let Some(budget) = self.connection_budget(&lease.service) else {
            return MAX_IDLE;
        };
        let hears_most = self.lock().hears_most(budget);
        let share = self.with_upstream(lease, |u| {
            let ownership = if hears_most {
                u.ownership
            } else {
                Ownership::Foreign
            };
            match u.gate.is_closed() {
                true => 0,
                false => budget.idle(ownership, u.upstream.slots),
            }
        });
        // Nothing is kept to an upstream that has been removed, has restarted or leaves.
        share.unwrap_or(0).min(MAX_IDLE)
    }

    /// Idle connections that this entry may keep, by the address of the upstream.
    pub fn idle_shares(&self) -> HashMap<SocketAddr, usize> {
        let names: Vec<ServiceId> = self.lock().services.keys().cloned().collect();
        let budgets: Vec<_> = names.iter().map(|n| self.connection_budget(n)).collect();
        let state = self.lock();
        let mut shares = HashMap::new();
        for (name, budget) in names.iter().zip(budgets) {
            let Some(service) = state.services.get(name) else {
                continue;
            };
            for u in service.scheduler.upstreams.iter() {
                let share = budget.map_or(MAX_IDLE, |b| {
                    let hears_most = state.hears_most(b);
                    let ownership = if hears_most {
                        u.ownership
                    } else {
                        Ownership::Foreign
                    };
                    b.idle(ownership, u.upstream.slots).min(MAX_IDLE)
                });
                // The address of an upstream that has ended may be listed twice.
                let known = shares.entry(u.upstream.addr).or_insert(share);
                *known = share.max(*known);
            }
        }
        shares
    }
}
