use std::net::SocketAddr;
use std::time::Duration;

use dispatch::FleetView;
use domain::{ModelId, ModelSource, Moment, PieceSpec, ServiceId, WeightVersion};

/// A version that is followed by another within this time is not brought: both
/// would be late, as when they become known together after an outage of the store.
const SUCCESSION: Duration = Duration::from_millis(1000);

/// A declared version of the model that the engine serves.
#[derive(Debug, Clone, PartialEq)]
pub struct Goal {
    /// Service whose engines load it.
    pub service: ServiceId,
    /// Model.
    pub model: ModelId,
    /// Version.
    pub version: WeightVersion,
    /// How it is cut into pieces.
    pub pieces: PieceSpec,
    /// Where it comes from.
    pub origin: Option<SocketAddr>,
    /// When it was declared.
    pub since: Moment,
}

impl Goal {
    /// A version of the model of a service, declared at `since`.
    pub fn new(
        supply: &ModelSource,
        model: ModelId,
        version: WeightVersion,
        since: Moment,
    ) -> Self {
        Goal {
            service: supply.service.clone(),
            model,
            version,
            pieces: supply.pieces,
            origin: supply.origin,
            since,
        }
    }

    /// The newest `most` versions that `view` knows for a service, in order.
    pub fn newest(view: &FleetView, service: &str, most: usize) -> Vec<Goal> {
        let Some(supply) = view.supply(service) else {
            return Vec::new();
        };
        // Without a declaration version 1 is the one to hold.
        let first = (&supply.model, &[(1, Moment::ZERO)][..]);
        let (model, versions) = view.all_declared().next().unwrap_or(first);
        let followed = |i: usize| {
            let counted = |(_, at): &(WeightVersion, Moment)| view.counts_from(*at);
            let next = versions.get(i + 1).map(counted);
            next.is_some_and(|at| at.saturating_sub(counted(&versions[i])) < SUCCESSION)
        };
        let lasting = versions.iter().enumerate().filter(|(i, _)| !followed(*i));
        let lasting: Vec<&(WeightVersion, Moment)> = lasting.map(|(_, v)| v).collect();
        let newest = lasting[lasting.len().saturating_sub(most)..]
            .iter()
            .copied();
        let goal =
            |(v, since): &(WeightVersion, Moment)| Goal::new(supply, model.clone(), *v, *since);
        newest.map(goal).collect()
    }
}
