//! Aliases for names and ids.

use compact_str::CompactString;

/// Name of a VM.
pub type VmId = CompactString;
/// Name of a service.
pub type ServiceId = CompactString;
/// Id of an upstream process. A restart may keep it; [`crate::Upstream::started_ms`]
/// differs between the two starts.
pub type UpstreamId = CompactString;
/// Name of a failure domain.
pub type FailureDomainId = CompactString;
/// Name of a region.
pub type RegionId = CompactString;
/// Name of a client account.
pub type AccountId = CompactString;
/// Name of a model.
pub type ModelId = CompactString;
/// Id that a caller assigns to one attempt.
pub type AttemptId = CompactString;
/// Era of the platform's store. It rises when the store comes back from an older copy;
/// offsets of different eras have nothing to do with each other.
pub type Era = u64;
/// Number of a weight version.
pub type WeightVersion = u64;
