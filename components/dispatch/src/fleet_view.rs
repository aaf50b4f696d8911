use std::collections::{HashMap, HashSet};
use std::sync::Arc;
use std::time::Duration;

use compact_str::CompactString;
use domain::{
    FailureDomainId, FleetRecord, ModelId, Moment, Plan, Upstream, UpstreamId, WeightVersion,
};

/// After an outage of the store, upstreams whose entries lapsed meanwhile have
/// this long to come back; the platform promises about two seconds.
const RETURN_TIME: Duration = Duration::from_millis(2200);

/// Declared versions remembered for a model; older ones are long in force.
const MAX_VERSIONS: usize = 16;

/// What a record changed.
#[derive(Debug, Clone, PartialEq)]
pub enum ViewChange {
    /// A configuration came into force.
    Plan(u64),
    /// A failure domain was taken out of service or back.
    Domain(FailureDomainId, bool),
    /// A weight version was declared.
    Weights(ModelId, WeightVersion),
    /// An upstream appeared or its entry changed.
    Listed(UpstreamId),
    /// An upstream's entry was removed.
    Gone(UpstreamId),
    /// An upstream's entry was removed while the store was away; it is used on.
    Lapsed(UpstreamId),
}

/// The fleet as the records of the store describe it.
#[derive(Debug, Default)]
pub struct FleetView {
    plan: Option<Arc<Plan>>,
    evacuated: HashSet<FailureDomainId>,
    wanted: HashMap<ModelId, Vec<(WeightVersion, Moment)>>,
    keys: HashMap<CompactString, ModelId>,
    upstreams: HashMap<UpstreamId, Upstream>,
    lapsed: HashMap<UpstreamId, ()>,
    away: bool,
    returned: Option<Moment>,
}

impl FleetView {
    /// The configuration in force.
    pub fn plan(&self) -> Option<&Arc<Plan>> {
        self.plan.as_ref()
    }

    /// Whether a failure domain is out of service.
    pub fn is_evacuated(&self, domain: &str) -> bool {
        self.evacuated.contains(domain)
    }

    /// The newest version of a model that was declared at `before` or earlier.
    pub fn declared(&self, model: &str, before: Moment) -> Option<WeightVersion> {
        let versions = self.wanted.get(model)?.iter();
        versions.filter(|(_, at)| *at <= before).map(|(v, _)| *v).max()
    }

    /// The newest declared version of each model and when it was declared.
    pub fn newest(&self) -> impl Iterator<Item = (&ModelId, WeightVersion, Moment)> {
        let last = |(m, v): (_, &Vec<(WeightVersion, Moment)>)| v.last().map(|(v, at)| (m, *v, *at));
        self.wanted.iter().filter_map(last)
    }

    /// Upstreams that are listed or only lapsed.
    pub fn upstreams(&self) -> impl Iterator<Item = &Upstream> {
        self.upstreams.values()
    }

    /// An upstream by its id.
    pub fn upstream(&self, id: &str) -> Option<&Upstream> {
        self.upstreams.get(id)
    }

    /// Records whether the list of upstreams can be read.
    pub fn store_reachable(&mut self, now: Moment, reachable: bool) {
        if reachable && self.away {
            self.returned = Some(now);
        }
        self.away = !reachable;
    }

    /// Takes over a record of the operators, which was written at `now` at the
    /// earliest; older versions never come back.
    pub fn fleet_record(
        &mut self,
        now: Moment,
        key: &str,
        record: Option<FleetRecord>,
    ) -> Option<ViewChange> {
        match record {
            Some(FleetRecord::Plan(plan)) => {
                let version = plan.version;
                if self.plan.as_ref().is_some_and(|p| p.version >= version) {
                    return None;
                }
                self.plan = Some(Arc::new(*plan));
                Some(ViewChange::Plan(version))
            }
            Some(FleetRecord::Evacuated(domain)) => {
                self.keys.insert(key.into(), domain.clone());
                let new = self.evacuated.insert(domain.clone());
                new.then_some(ViewChange::Domain(domain, false))
            }
            Some(FleetRecord::Weights(model, version)) => {
                let versions = self.wanted.entry(model.clone()).or_default();
                if versions.last().is_some_and(|(known, _)| version <= *known) {
                    return None;
                }
                if versions.len() >= MAX_VERSIONS {
                    versions.remove(0);
                }
                versions.push((version, now));
                Some(ViewChange::Weights(model, version))
            }
            Some(FleetRecord::Other) => None,
            None => {
                let domain = self.keys.remove(key)?;
                self.evacuated
                    .remove(&domain)
                    .then_some(ViewChange::Domain(domain, true))
            }
        }
    }

    /// Takes over an upstream's entry, or its removal.
    pub fn upstream_record(
        &mut self,
        now: Moment,
        id: &str,
        entry: Option<Upstream>,
    ) -> Option<ViewChange> {
        if let Some(entry) = entry {
            self.lapsed.remove(id);
            let changed = self.upstreams.get(id) != Some(&entry);
            self.upstreams.insert(id.into(), entry);
            return changed.then(|| ViewChange::Listed(id.into()));
        }
        if !self.upstreams.contains_key(id) {
            return None;
        }
        if self.is_returning(now) {
            self.lapsed.insert(id.into(), ());
            return Some(ViewChange::Lapsed(id.into()));
        }
        self.upstreams.remove(id);
        Some(ViewChange::Gone(id.into()))
    }

    /// Upstreams that have not come back in time after the store's return.
    pub fn expire(&mut self, now: Moment) -> Vec<UpstreamId> {
        if self.lapsed.is_empty() || self.is_returning(now) {
            return Vec::new();
        }
        let gone: Vec<UpstreamId> = self.lapsed.drain().map(|(id, ())| id).collect();
        for id in &gone {
            self.upstreams.remove(id);
        }
        gone
    }

    /// Whether removals may come from an outage rather than from the upstream.
    fn is_returning(&self, now: Moment) -> bool {
        self.away || self.returned.is_some_and(|r| now < r + RETURN_TIME)
    }
}
