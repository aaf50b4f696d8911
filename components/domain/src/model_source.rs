use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::{FleetConfig, ModelId, PieceSpec, ServiceId, ServiceSpec};

/// What the agents of a service need of the configuration, which is much longer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ModelSource {
    /// The service.
    pub service: ServiceId,
    /// Model that its upstreams hold.
    pub model: ModelId,
    /// How a version is cut into pieces.
    pub pieces: PieceSpec,
    /// Where versions come from.
    pub origin: Option<SocketAddr>,
}

impl ModelSource {
    /// The supplies of all services with model engines, by name.
    pub fn of_services(plan: &FleetConfig) -> Vec<ModelSource> {
        let origin = plan.services.values().find_map(|s| s.origin);
        let supply = |s: &ServiceSpec| {
            let engine = s.engine.as_ref()?;
            Some(ModelSource {
                service: s.name.clone(),
                model: engine.models.first()?.clone(),
                pieces: engine.pieces,
                origin,
            })
        };
        let mut supplies: Vec<ModelSource> = plan.services.values().filter_map(supply).collect();
        supplies.sort_by(|a, b| a.service.cmp(&b.service));
        supplies
    }
}
