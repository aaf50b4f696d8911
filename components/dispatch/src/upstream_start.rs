use crate::StartId;

/// Number that identifies an upstream in notices between processes.
pub fn upstream_tag(id: &str) -> u32 {
    // FNV-1a: the same in every process.
    id.bytes().fold(0x811c_9dc5, |h: u32, b| {
        (h ^ u32::from(b)).wrapping_mul(0x0100_0193)
    })
}

/// Identifies a start of the upstream with this tag in notices between processes.
pub fn upstream_start(tag: u32, started_ms: u64) -> StartId {
    // The multiplier spreads the tag over all bits.
    u64::from(tag).wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ started_ms
}
