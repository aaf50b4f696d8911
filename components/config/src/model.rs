use serde::{Deserialize, Serialize};

use crate::{Digest, VersionId};

/// A model and the version that engines serve.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Model {
    /// Version label at the origin.
    pub version: VersionId,
    /// Size of the weights in bytes.
    pub size: u64,
    /// Digest of the manifest, which lists the digest of every chunk.
    pub manifest: Digest,
}
