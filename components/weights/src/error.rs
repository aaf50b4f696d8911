use config::Digest;
use derive_more::{Display, Error};

/// Why weights were refused.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
pub enum WeightsError {
    /// Bytes do not have the digest that was asked for.
    #[display("weights: digest is {found}, expected {expected}; fetch from another source")]
    WrongDigest {
        /// Digest that was asked for.
        expected: Digest,
        /// Digest of the bytes.
        found: Digest,
    },
    /// A manifest does not decode or contradicts itself.
    #[display("weights: manifest is not valid: {reason}; make it again with the manifest command")]
    InvalidManifest {
        /// What is wrong.
        reason: String,
    },
    /// The memory for weights is full.
    #[display("weights: {needed} bytes do not fit into {capacity}; raise memory_bytes")]
    CacheFull {
        /// Bytes needed.
        needed: u64,
        /// Bytes allowed.
        capacity: u64,
    },
}
