use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::{FleetConfig, ModelId, PieceSpec, ServiceId, ServiceSpec};

/// Model of a service and the origin of its weights: the part of the
/// configuration that agents need. The complete configuration is much longer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ModelSource {
    /// The service.
    pub service: ServiceId,
    /// Model that its upstreams load.
    pub model: ModelId,
    /// How a version is divided into pieces.
    pub pieces: PieceSpec,
    /// Address of the origin of weights, if there is one.
    pub origin: Option<SocketAddr>,
}

impl ModelSource {
    /// Model sources of all services with model engines, ordered by service.
    pub fn of_services(config: &FleetConfig) -> Vec<ModelSource> {
        let origin = config.services.values().find_map(|s| s.origin);
        let source = |s: &ServiceSpec| {
            let engine = s.engine.as_ref()?;
            Some(ModelSource {
                service: s.name.clone(),
                model: engine.models.first()?.clone(),
                pieces: engine.pieces,
                origin,
            })
        };
        let mut sources: Vec<ModelSource> = config.services.values().filter_map(source).collect();
        sources.sort_by(|a, b| a.service.cmp(&b.service));
        sources
    }
}
