use std::net::SocketAddr;

use domain::{ModelId, Moment, PieceSpec, WeightVersion};

/// A declared version of the model that the engine serves.
#[derive(Debug, Clone, PartialEq)]
pub struct Goal {
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
