use std::collections::{HashMap, HashSet};
use std::sync::Arc;
use std::time::Duration;

use compact_str::CompactString;
use domain::{
    FailureDomainId, FleetConfig, FleetRecord, ModelId, ModelSource, Moment, Upstream, UpstreamId,
    WeightVersion,
};

/// Time after an outage of the store in which upstreams whose records lapsed must be
/// listed again; the platform specifies about two seconds.
const RELIST_TIME: Duration = Duration::from_millis(2200);

/// Longest use of an upstream whose record is removed after the backlog of an outage
/// was read; within the bound on leaving upstreams.
const CAUGHT_UP_LAPSE: Duration = Duration::from_millis(1000);
/// Age up to which a peer's notice that it can read the store is valid.
const PEER_ACCESS_AGE: Duration = Duration::from_millis(2500);
/// Most declared versions kept for a model; older ones have long been in force.
const MAX_VERSIONS: usize = 16;
/// Most upstreams that are remembered after they left.
const MAX_DEPARTED: usize = 1024;

/// A change of the fleet.
#[derive(Debug, Clone, PartialEq)]
pub enum ViewChange {
    /// A configuration came into force.
    Config(u64),
    /// A failure domain was taken out of service (`false`) or put back (`true`).
    Domain(FailureDomainId, bool),
    /// A weight version was declared.
    Weights(ModelId, WeightVersion),
    /// An upstream was listed or its record changed.
    Listed(UpstreamId),
    /// The record of an upstream was removed.
    Removed(UpstreamId),
    /// The record of an upstream was removed during an outage of the store; the
    /// upstream stays in use for now.
    Lapsed(UpstreamId),
}

/// The fleet as the records of the store describe it.
#[derive(Debug, Default)]
pub struct FleetView {
    config: Option<Arc<FleetConfig>>,
    sources: Vec<ModelSource>,
    sources_version: u64,
    evacuated: HashSet<FailureDomainId>,
    declared: HashMap<ModelId, Vec<(WeightVersion, Moment)>>,
    /// Failure domains out of service, by the key of their record.
    evacuation_keys: HashMap<CompactString, ModelId>,
    upstreams: HashMap<UpstreamId, Upstream>,
    /// Upstreams whose records lapsed, and the moment until which they are used.
    lapsed: HashMap<UpstreamId, Moment>,
    /// Last record of upstreams that left, by [`revision`].
    departed: HashMap<UpstreamId, (u64, u64)>,
    store_down: bool,
    /// When a peer could last read the store.
    peer_access: Option<Moment>,
    /// When the store was last reachable again after an outage.
    store_back: Option<Moment>,
    /// Whether the store was also reachable at the check before the last one, so that
    /// the backlog of an outage has been read.
    caught_up: bool,
    /// Since when the bounds of versions do not run.
    bounds_paused: Option<Moment>,
    /// When the bounds of versions last began to run again.
    bounds_restarted: Option<Moment>,
    /// Versions that were in force when the bounds were paused.
    before_pause: HashMap<ModelId, WeightVersion>,
}

impl FleetView {
    /// The configuration in force.
    pub fn config(&self) -> Option<&Arc<FleetConfig>> {
        self.config.as_ref()
    }

    /// The model sources of all services.
    pub fn sources(&self) -> &[ModelSource] {
        &self.sources
    }

    /// The model source of a service.
    pub fn source(&self, service: &str) -> Option<&ModelSource> {
        self.sources.iter().find(|s| s.service == service)
    }

    /// Version of the configuration that the model sources come from, 0 for none.
    pub fn sources_version(&self) -> u64 {
        self.sources_version
    }

    /// Takes over the model sources of a peer whose configuration has version
    /// `version`; returns whether they differ from the ones known.
    pub fn merge_sources(&mut self, version: u64, sources: Vec<ModelSource>) -> bool {
        if version <= self.sources_version {
            return false;
        }
        self.sources_version = version;
        let changed = self.sources != sources;
        self.sources = sources;
        changed
    }

    /// Whether a failure domain is out of service.
    pub fn is_evacuated(&self, domain: &str) -> bool {
        self.evacuated.contains(domain)
    }

    /// The newest version of a model that was declared at least `bound` ago. The bound
    /// does not run while it is paused: older weights are better than none.
    pub fn in_force(&self, now: Moment, model: &str, bound: Duration) -> Option<WeightVersion> {
        let before_pause = self.before_pause.get(model).copied();
        if self.bounds_paused.is_some() {
            return before_pause;
        }
        let declared_by = now.saturating_sub(bound);
        let versions = self.declared.get(model)?.iter();
        let in_force = versions.filter(|(_, at)| self.bound_start(*at) <= declared_by);
        in_force.map(|(v, _)| *v).max().max(before_pause)
    }

    /// When the next version after `held` comes into force, `bound` after its
    /// declaration. From then on no request may start on `held`.
    pub fn expires_at(&self, model: &str, held: WeightVersion, bound: Duration) -> Option<Moment> {
        if self.bounds_paused.is_some() {
            return None;
        }
        let versions = self.declared.get(model)?.iter();
        let newer = versions.filter(|(v, _)| *v > held);
        newer.map(|(_, at)| self.bound_start(*at) + bound).min()
    }

    /// When the bound on a version declared at `at` begins to run: after a pause, not
    /// before its end.
    pub fn bound_start(&self, at: Moment) -> Moment {
        at.max(self.bounds_restarted.unwrap_or_default())
    }

    /// Pauses the bounds of all versions, in an outage of the store: a declared
    /// version may not have reached the agents. `bound` is the time after which a
    /// version is in force. Returns false if they are paused already.
    pub fn pause_bounds(&mut self, now: Moment, bound: Duration) -> bool {
        if self.bounds_paused.is_some() {
            return false;
        }
        let models: Vec<ModelId> = self.declared.keys().cloned().collect();
        for model in models {
            if let Some(version) = self.in_force(now, &model, bound) {
                self.before_pause.insert(model, version);
            }
        }
        self.bounds_paused = Some(now);
        true
    }

    /// Ends the pause of the bounds of versions and returns how long it lasted. All
    /// bounds are counted from `now` on, unless the store was read shortly before the
    /// pause, at `confirmed_at`: then there was no outage.
    pub fn restart_bounds(&mut self, now: Moment, confirmed_at: Moment) -> Option<Duration> {
        let since = self.bounds_paused.take()?;
        if confirmed_at <= since {
            return None;
        }
        self.bounds_restarted = Some(now);
        Some(now.saturating_sub(since))
    }

    /// Upstreams in use, listed or lapsed.
    pub fn upstreams(&self) -> impl Iterator<Item = &Upstream> {
        self.upstreams.values()
    }

    /// An upstream by its id.
    pub fn upstream(&self, id: &str) -> Option<&Upstream> {
        self.upstreams.get(id)
    }

    /// Records whether this process can read the list of upstreams from the store.
    pub fn set_store_reachable(&mut self, now: Moment, reachable: bool) {
        if reachable && self.store_down && !self.has_peer_access(now) {
            self.store_back = Some(now);
            for until in self.lapsed.values_mut() {
                *until = (*until).min(now + RELIST_TIME);
            }
        }
        self.caught_up = reachable && !self.store_down;
        self.store_down = !reachable;
    }

    /// Records that a peer can read the store at `now`. The outage then affects this
    /// process only, and a removed record means that the upstream has left.
    pub fn record_peer_access(&mut self, now: Moment) {
        self.peer_access = Some(now);
    }

    fn has_peer_access(&self, now: Moment) -> bool {
        self.peer_access
            .is_some_and(|at| now.saturating_sub(at) < PEER_ACCESS_AGE)
    }

    /// Applies a record of the operators, written at `now` at the earliest. Older
    /// versions never replace newer ones.
    pub fn apply_fleet_record(
        &mut self,
        now: Moment,
        key: &str,
        record: Option<FleetRecord>,
    ) -> Option<ViewChange> {
        match record {
            Some(FleetRecord::Config(config)) => {
                let version = config.version;
                if self.config.as_ref().is_some_and(|c| c.version >= version) {
                    return None;
                }
                self.merge_sources(version, ModelSource::of_services(&config));
                self.config = Some(Arc::new(*config));
                Some(ViewChange::Config(version))
            }
            Some(FleetRecord::Evacuated(domain)) => {
                self.evacuation_keys.insert(key.into(), domain.clone());
                let new = self.evacuated.insert(domain.clone());
                new.then_some(ViewChange::Domain(domain, false))
            }
            Some(FleetRecord::Weights(model, version)) => self.declare(model, version, now),
            Some(FleetRecord::Other) => None,
            None => {
                let domain = self.evacuation_keys.remove(key)?;
                self.evacuated
                    .remove(&domain)
                    .then_some(ViewChange::Domain(domain, true))
            }
        }
    }

    /// Adds a version that was declared at `at`, if it is newer than all known ones.
    pub fn declare(
        &mut self,
        model: ModelId,
        version: WeightVersion,
        at: Moment,
    ) -> Option<ViewChange> {
        let versions = self.declared.entry(model.clone()).or_default();
        if versions.last().is_some_and(|(known, _)| version <= *known) {
            return None;
        }
        if versions.len() >= MAX_VERSIONS {
            versions.remove(0);
        }
        versions.push((version, at));
        Some(ViewChange::Weights(model, version))
    }

    /// Applies the record of an upstream, or its removal.
    pub fn apply_upstream_record(
        &mut self,
        now: Moment,
        id: &str,
        upstream: Option<Upstream>,
    ) -> Option<ViewChange> {
        if let Some(upstream) = upstream {
            self.lapsed.remove(id);
            self.departed.remove(id);
            let known = self.upstreams.get(id);
            // A write of the same content is no change.
            let changed = known.is_none_or(|k| {
                let sequence = upstream.sequence;
                Upstream {
                    sequence,
                    ..k.clone()
                } != upstream
            });
            self.upstreams.insert(id.into(), upstream);
            return changed.then(|| ViewChange::Listed(id.into()));
        }
        if !self.upstreams.contains_key(id) {
            return None;
        }
        if let Some(until) = self.lapse_until(now) {
            self.lapsed.insert(id.into(), until);
            return Some(ViewChange::Lapsed(id.into()));
        }
        self.remove_upstream(id);
        Some(ViewChange::Removed(id.into()))
    }

    /// Applies the record of an upstream from an older copy of the store. It may be older
    /// than the one known, and its upstream may have left since then.
    pub fn apply_restored_upstream(
        &mut self,
        now: Moment,
        upstream: Upstream,
    ) -> Option<ViewChange> {
        let id = upstream.id.clone();
        let listed = self.upstreams.get(&id).map(revision);
        let known = listed.max(self.departed.get(&id).copied());
        if known < Some(revision(&upstream)) {
            return self.apply_upstream_record(now, &id, Some(upstream));
        }
        self.lapsed.remove(&id);
        None
    }

    /// Lets an upstream lapse whose record is missing in an older copy of the store: it is
    /// written again soon unless the upstream has left.
    pub fn lapse_lost_upstream(&mut self, now: Moment, id: &str) -> Option<ViewChange> {
        if !self.upstreams.contains_key(id) {
            return None;
        }
        let relist_by = now + RELIST_TIME;
        let until = self.lapsed.entry(id.into()).or_insert(relist_by);
        *until = relist_by.min(*until);
        Some(ViewChange::Lapsed(id.into()))
    }

    /// Forgets which upstreams left: from now on a record of the store counts again.
    pub fn forget_departed(&mut self) {
        self.departed.clear();
    }

    fn remove_upstream(&mut self, id: &str) {
        if self.departed.len() >= MAX_DEPARTED {
            self.departed.clear();
        }
        if let Some(upstream) = self.upstreams.remove(id) {
            self.departed.insert(id.into(), revision(&upstream));
        }
    }

    /// Removes lapsed upstreams that were not listed again in time; returns their ids.
    pub fn expire(&mut self, now: Moment) -> Vec<UpstreamId> {
        let is_expired = |_: &UpstreamId, until: &mut Moment| *until <= now;
        let expired: Vec<UpstreamId> = self
            .lapsed
            .extract_if(is_expired)
            .map(|(id, _)| id)
            .collect();
        for id in &expired {
            self.remove_upstream(id);
        }
        expired
    }

    /// Moment until which an upstream is used whose record is removed now; `None` if
    /// the removal can't be due to an outage of the store.
    fn lapse_until(&self, now: Moment) -> Option<Moment> {
        if self.store_down {
            return (!self.has_peer_access(now)).then_some(Duration::MAX);
        }
        let relist_by = self.store_back? + RELIST_TIME;
        if now >= relist_by {
            return None;
        }
        // An upstream removed after the backlog was read may really have left.
        Some(match self.caught_up {
            true => relist_by.min(now + CAUGHT_UP_LAPSE),
            false => relist_by,
        })
    }

    /// Merges a peer's declared versions of a model, with the moments of their
    /// declaration; returns those that were taken over.
    pub fn merge_declared(
        &mut self,
        model: &ModelId,
        versions: &[(WeightVersion, Moment)],
    ) -> Vec<(WeightVersion, Moment)> {
        let known = self.declared.entry(model.clone()).or_default();
        // A version newer than all known ones arrives with its own record.
        let newest = known.last().map_or(0, |(v, _)| *v);
        let mut merged = Vec::new();
        for (version, at) in versions {
            match known.iter_mut().find(|(v, _)| v == version) {
                Some((_, known_at)) if known_at.is_zero() && !at.is_zero() => *known_at = *at,
                None if *version < newest => known.push((*version, *at)),
                _ => continue,
            }
            merged.push((*version, *at));
        }
        known.sort_by_key(|(v, _)| *v);
        merged
    }

    /// Declared versions of each model and the moments of their declaration; zero
    /// where the moment is unknown.
    pub fn all_declared(&self) -> impl Iterator<Item = (&ModelId, &[(WeightVersion, Moment)])> {
        let declared = self.declared.iter().filter(|(_, v)| !v.is_empty());
        declared.map(|(m, v)| (m, v.as_slice()))
    }
}

/// Order of the records of an upstream: its start and the number of the write.
fn revision(upstream: &Upstream) -> (u64, u64) {
    (upstream.started_ms, upstream.sequence)
}
