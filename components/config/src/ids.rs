use compact_str::CompactString;

/// Id of a VM, unique in the fleet and never reused.
pub type VmId = CompactString;
/// Name of a failure domain.
pub type FailureDomainId = CompactString;
/// Name of a region.
pub type RegionId = CompactString;
/// Name of a service.
pub type ServiceId = CompactString;
/// Name of a client account.
pub type ClientAccountId = CompactString;
/// Name of a model.
pub type ModelId = CompactString;
/// Version label of a model.
pub type VersionId = CompactString;
