use std::collections::{HashMap, HashSet};
use std::sync::Arc;
use std::time::Duration;

use compact_str::CompactString;
use domain::{
    FailureDomainId, FleetConfig, FleetRecord, ModelId, ModelSource, Moment, Upstream, UpstreamId,
    WeightVersion,
};

/// After an outage of the store, upstreams whose entries lapsed meanwhile have
/// this long to come back; the platform promises about two seconds.
const RETURN_TIME: Duration = Duration::from_millis(2200);

/// Longest use of an upstream whose entry is removed after the backlog of an
/// outage was read; within the bound on leaving upstreams.
const LIVE_LAPSE: Duration = Duration::from_millis(1000);
/// Age up to which a peer's word that it reads the store counts.
const ELSEWHERE_MEMORY: Duration = Duration::from_millis(2500);
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
    plan: Option<Arc<FleetConfig>>,
    supplies: Vec<ModelSource>,
    supplied: u64,
    evacuated: HashSet<FailureDomainId>,
    wanted: HashMap<ModelId, Vec<(WeightVersion, Moment)>>,
    keys: HashMap<CompactString, ModelId>,
    upstreams: HashMap<UpstreamId, Upstream>,
    /// Upstreams whose entries lapsed, and until when they are used.
    lapsed: HashMap<UpstreamId, Moment>,
    away: bool,
    /// A peer read the store last at this moment.
    elsewhere: Option<Moment>,
    returned: Option<Moment>,
    caught_up: bool,
    /// Versions that were in force before the store went away.
    overdue: HashMap<ModelId, WeightVersion>,
}

impl FleetView {
    /// The configuration in force.
    pub fn plan(&self) -> Option<&Arc<FleetConfig>> {
        self.plan.as_ref()
    }

    /// What the agents of all services need of the configuration.
    pub fn supplies(&self) -> &[ModelSource] {
        &self.supplies
    }

    /// What the agents of a service need of the configuration.
    pub fn supply(&self, service: &str) -> Option<&ModelSource> {
        self.supplies.iter().find(|s| s.service == service)
    }

    /// Version of the configuration that the supplies come from, 0 for none.
    pub fn supplied(&self) -> u64 {
        self.supplied
    }

    /// Takes over the supplies of a peer's configuration of version `plan`;
    /// whether that changed anything.
    pub fn supplies_elsewhere(&mut self, plan: u64, supplies: Vec<ModelSource>) -> bool {
        if plan <= self.supplied {
            return false;
        }
        self.supplied = plan;
        let changed = self.supplies != supplies;
        self.supplies = supplies;
        changed
    }

    /// Whether a failure domain is out of service.
    pub fn is_evacuated(&self, domain: &str) -> bool {
        self.evacuated.contains(domain)
    }

    /// The newest version of a model whose time to come into force, `bound`, has
    /// passed. The time does not run while the store is away: agents may not
    /// have heard of the version, and older weights serve better than none.
    pub fn in_force(&self, now: Moment, model: &str, bound: Duration) -> Option<WeightVersion> {
        let overdue = self.overdue.get(model).copied();
        if self.away && !self.is_up_elsewhere(now) {
            return overdue;
        }
        let before = now.saturating_sub(bound);
        let versions = self.wanted.get(model)?.iter();
        let due = versions.filter(|(_, at)| self.counts_from(*at) <= before);
        due.map(|(v, _)| *v).max().max(overdue)
    }

    /// When the next version after `held` comes into force, `bound` after its
    /// declaration: nothing may begin on `held` from then on.
    pub fn expires(&self, model: &str, held: WeightVersion, bound: Duration) -> Option<Moment> {
        let versions = self.wanted.get(model)?.iter();
        let newer = versions.filter(|(v, _)| *v > held);
        newer.map(|(_, at)| self.counts_from(*at) + bound).min()
    }

    /// When the time of a version that was declared at `at` begins to count: not
    /// before the store's return.
    pub fn counts_from(&self, at: Moment) -> Moment {
        at.max(self.returned.unwrap_or_default())
    }

    /// Upstreams that are listed or only lapsed.
    pub fn upstreams(&self) -> impl Iterator<Item = &Upstream> {
        self.upstreams.values()
    }

    /// An upstream by its id.
    pub fn upstream(&self, id: &str) -> Option<&Upstream> {
        self.upstreams.get(id)
    }

    /// Records whether this process can read the list of upstreams; `bound` is
    /// the time in which declared versions come into force.
    pub fn store_reachable(&mut self, now: Moment, reachable: bool, bound: Duration) {
        if !reachable && !self.away {
            let models: Vec<ModelId> = self.wanted.keys().cloned().collect();
            for model in models {
                if let Some(version) = self.in_force(now, &model, bound) {
                    self.overdue.insert(model, version);
                }
            }
        }
        if reachable && self.away && !self.is_up_elsewhere(now) {
            self.returned = Some(now);
            for until in self.lapsed.values_mut() {
                *until = (*until).min(now + RETURN_TIME);
            }
        }
        self.caught_up = reachable && !self.away;
        self.away = !reachable;
    }

    /// Records that a peer can read the store: it is away for this process only,
    /// and what is removed from it is gone.
    pub fn store_elsewhere(&mut self, now: Moment) {
        self.elsewhere = Some(now);
    }

    fn is_up_elsewhere(&self, now: Moment) -> bool {
        self.elsewhere
            .is_some_and(|at| now.saturating_sub(at) < ELSEWHERE_MEMORY)
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
            Some(FleetRecord::Config(plan)) => {
                let version = plan.version;
                if self.plan.as_ref().is_some_and(|p| p.version >= version) {
                    return None;
                }
                self.supplies_elsewhere(version, ModelSource::of_services(&plan));
                self.plan = Some(Arc::new(*plan));
                Some(ViewChange::Plan(version))
            }
            Some(FleetRecord::Evacuated(domain)) => {
                self.keys.insert(key.into(), domain.clone());
                let new = self.evacuated.insert(domain.clone());
                new.then_some(ViewChange::Domain(domain, false))
            }
            Some(FleetRecord::Weights(model, version)) => self.declare(model, version, now),
            Some(FleetRecord::Other) => None,
            None => {
                let domain = self.keys.remove(key)?;
                self.evacuated
                    .remove(&domain)
                    .then_some(ViewChange::Domain(domain, true))
            }
        }
    }

    /// Takes over a version that was declared at `at`.
    pub fn declare(
        &mut self,
        model: ModelId,
        version: WeightVersion,
        at: Moment,
    ) -> Option<ViewChange> {
        let versions = self.wanted.entry(model.clone()).or_default();
        if versions.last().is_some_and(|(known, _)| version <= *known) {
            return None;
        }
        if versions.len() >= MAX_VERSIONS {
            versions.remove(0);
        }
        versions.push((version, at));
        Some(ViewChange::Weights(model, version))
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
        if let Some(until) = self.lapse(now) {
            self.lapsed.insert(id.into(), until);
            return Some(ViewChange::Lapsed(id.into()));
        }
        self.upstreams.remove(id);
        Some(ViewChange::Gone(id.into()))
    }

    /// Upstreams that have not come back in time after the store's return.
    pub fn expire(&mut self, now: Moment) -> Vec<UpstreamId> {
        let late = |_: &UpstreamId, until: &mut Moment| *until <= now;
        let gone: Vec<UpstreamId> = self.lapsed.extract_if(late).map(|(id, _)| id).collect();
        for id in &gone {
            self.upstreams.remove(id);
        }
        gone
    }

    /// Until when an upstream is used whose entry is removed now; none where the
    /// removal cannot come from an outage of the store.
    fn lapse(&self, now: Moment) -> Option<Moment> {
        if self.away {
            return (!self.is_up_elsewhere(now)).then_some(Duration::MAX);
        }
        let back_by = self.returned? + RETURN_TIME;
        if now >= back_by {
            return None;
        }
        // What is removed after the backlog was read may have left on its own.
        Some(match self.caught_up {
            true => back_by.min(now + LIVE_LAPSE),
            false => back_by,
        })
    }

    /// Takes over what a peer knows of declared versions: `versions` with the
    /// moments of their declaration.
    pub fn declared_elsewhere(&mut self, model: &ModelId, versions: &[(WeightVersion, Moment)]) {
        let own = self.wanted.entry(model.clone()).or_default();
        // What is newer than anything here comes with its record.
        let newest = own.last().map_or(0, |(v, _)| *v);
        for (version, at) in versions {
            match own.iter_mut().find(|(v, _)| v == version) {
                Some((_, known)) if known.is_zero() => *known = *at,
                Some(_) => {}
                None if *version < newest => own.push((*version, *at)),
                None => {}
            }
        }
        own.sort_by_key(|(v, _)| *v);
    }

    /// Declared versions and the moments of their declaration; zero where the
    /// moment is not known.
    pub fn all_declared(&self) -> impl Iterator<Item = (&ModelId, &[(WeightVersion, Moment)])> {
        let known = self.wanted.iter().filter(|(_, v)| !v.is_empty());
        known.map(|(m, v)| (m, v.as_slice()))
    }
}
