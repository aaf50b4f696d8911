use config::Digest;
use derive_more::{Display, Error};

/// Why weights were rejected.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
pub enum WeightsError {
    /// Bytes do not have the expected digest.
    #[display("weights: digest is {found}, expected {expected}; fetch from another source")]
    WrongDigest {
        /// Expected digest.
        expected: Digest,
        /// Digest of the bytes.
        found: Digest,
    },
    /// A manifest does not decode or contradicts itself.
    #[display(
        "weights: manifest is not valid: {reason}; create it again with `turmerichold manifest`"
    )]
    InvalidManifest {
        /// What is wrong.
        reason: String,
    },
    /// A chunk does not fit into the cache.
    #[display(
        "weights: chunks of {needed} bytes exceed the capacity of {capacity} bytes; raise memory_bytes"
    )]
    CacheFull {
        /// Size in bytes with the chunk.
        needed: u64,
        /// Capacity in bytes.
        capacity: u64,
    },
}
