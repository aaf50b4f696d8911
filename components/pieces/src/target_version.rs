use std::net::SocketAddr;
use std::time::Duration;

use dispatch::FleetView;
use domain::{ModelId, ModelSource, Moment, PieceSpec, ServiceId, WeightVersion};

/// A version is skipped if the next one takes effect within this time: loading
/// both would make both late, for example when they become known together after an
/// outage of the store.
const SUPERSEDED_WITHIN: Duration = Duration::from_millis(1000);

/// A declared version of the weights that the engines of a service load.
#[derive(Debug, Clone, PartialEq)]
pub struct TargetVersion {
    /// Service whose engines load it.
    pub service: ServiceId,
    /// Model.
    pub model: ModelId,
    /// Number of the version.
    pub version: WeightVersion,
    /// How it is split into pieces.
    pub pieces: PieceSpec,
    /// Where it can be downloaded.
    pub origin: Option<SocketAddr>,
    /// When it was declared.
    pub declared_at: Moment,
}

impl TargetVersion {
    /// A version of `model` for the service of `source`.
    pub fn new(
        source: &ModelSource,
        model: ModelId,
        version: WeightVersion,
        declared_at: Moment,
    ) -> Self {
        TargetVersion {
            service: source.service.clone(),
            model,
            version,
            pieces: source.pieces,
            origin: source.origin,
            declared_at,
        }
    }

    /// The newest versions that `view` has for a service, at most `limit`, in
    /// ascending order. Superseded ones are left out.
    pub fn newest(view: &FleetView, service: &str, limit: usize) -> Vec<TargetVersion> {
        let Some(source) = view.source(service) else {
            return Vec::new();
        };
        let model = &source.model;
        let declared = view.all_declared().find(|(m, _)| *m == model);
        // Version 1 applies as long as none is declared.
        let versions = declared.map_or(&[(1, Moment::ZERO)][..], |(_, versions)| versions);
        let superseded = |i: usize| {
            let effective = |(_, at): &(WeightVersion, Moment)| view.bound_start(*at);
            let next = versions.get(i + 1).map(effective);
            next.is_some_and(|at| at.saturating_sub(effective(&versions[i])) < SUPERSEDED_WITHIN)
        };
        let current = versions.iter().enumerate().filter(|(i, _)| !superseded(*i));
        let current: Vec<&(WeightVersion, Moment)> = current.map(|(_, v)| v).collect();
        let newest = current[current.len().saturating_sub(limit)..]
            .iter()
            .copied();
        let target =
            |(v, at): &(WeightVersion, Moment)| TargetVersion::new(source, model.clone(), *v, *at);
        newest.map(target).collect()
    }
}
