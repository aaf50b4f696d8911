use std::io::Read;
use std::ops::Range;

use config::{Digest, ModelId, VersionId};
use serde::{Deserialize, Serialize};

use crate::WeightsError;

/// Largest size of a chunk, in bytes.
const MAX_CHUNK_SIZE: u64 = 64 << 20;

/// Describes the chunks of one model version. The configuration contains the digest
/// of the manifest, and through it determines the digest of each chunk.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Manifest {
    /// Model.
    pub model: ModelId,
    /// Version.
    pub version: VersionId,
    /// Size of the weights in bytes.
    pub size: u64,
    /// Size of every chunk but the last, in bytes.
    pub chunk_size: u64,
    /// Digest of the complete weights, as engines report it.
    pub content: Digest,
    /// Digests of the chunks in order.
    pub chunks: Vec<Digest>,
}

impl Manifest {
    /// Creates the manifest of the weights that `reader` returns, with chunks of
    /// `chunk_size` bytes.
    pub fn from_reader(
        model: &str,
        version: &str,
        chunk_size: u64,
        mut reader: impl Read,
    ) -> std::io::Result<Self> {
        let mut content = blake3::Hasher::new();
        let mut chunks = Vec::new();
        let mut size = 0;
        loop {
            let mut chunk = Vec::new();
            reader.by_ref().take(chunk_size).read_to_end(&mut chunk)?;
            if chunk.is_empty() {
                break;
            }
            size += chunk.len() as u64;
            content.update(&chunk);
            chunks.push(Digest::of(&chunk));
        }
        Ok(Manifest {
            model: model.into(),
            version: version.into(),
            size,
            chunk_size,
            content: Digest::from(*content.finalize().as_bytes()),
            chunks,
        })
    }

    /// Decodes a manifest after checking that it has the digest from the configuration.
    pub fn verify(bytes: &[u8], expected: Digest) -> Result<Self, WeightsError> {
        let found = Digest::of(bytes);
        if found != expected {
            return Err(WeightsError::WrongDigest { expected, found });
        }
        let manifest: Manifest =
            serde_json::from_slice(bytes).map_err(|e| invalid(e.to_string()))?;
        manifest.validate()?;
        Ok(manifest)
    }

    /// The manifest as JSON, as the origin serves it.
    pub fn to_bytes(&self) -> Vec<u8> {
        serde_json::to_vec(self).unwrap_or_default()
    }

    /// Digest of the manifest, which goes into the configuration.
    pub fn digest(&self) -> Digest {
        Digest::of(&self.to_bytes())
    }

    /// Range of bytes of a chunk within the weights.
    pub fn chunk_range(&self, index: usize) -> Range<u64> {
        let start = index as u64 * self.chunk_size;
        start..(start + self.chunk_size).min(self.size)
    }

    fn validate(&self) -> Result<(), WeightsError> {
        if self.chunk_size == 0 || self.chunk_size > MAX_CHUNK_SIZE {
            return Err(invalid(format!("chunk_size is {}", self.chunk_size)));
        }
        let expected = self.size.div_ceil(self.chunk_size);
        if self.size == 0 || expected != self.chunks.len() as u64 {
            let reason = format!("{} chunks for {} bytes", self.chunks.len(), self.size);
            return Err(invalid(reason));
        }
        Ok(())
    }
}

fn invalid(reason: String) -> WeightsError {
    WeightsError::InvalidManifest { reason }
}
