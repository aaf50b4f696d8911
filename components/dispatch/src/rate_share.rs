/// Share of one entry in the requests a second that an upstream accepts from all.
///
/// An entry may have one request saved up, and all entries may send theirs at once. Only
/// as many entries as the rate allows therefore have a share; they are ranked by a hash
/// of the upstream, so that all entries agree and upstreams have different ones.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct RateShare {
    /// Requests a second that this entry may send; 0 if others have all of them.
    pub rate: f64,
    /// Rank of this entry as a fraction of the number of entries that have a share, which
    /// therefore do not all send at the same moments.
    pub phase: f64,
}

impl RateShare {
    /// Share of the entry with hash `own` in `rate` requests a second to an upstream.
    /// `entries` are the hashes of all that may send, this one included.
    pub fn new(rate: f64, upstream: u64, own: u64, entries: &[u64]) -> Self {
        let rank = rank(upstream, own, entries);
        let sharing = sharing_entries(rate).min(entries.len()).max(1);
        if rank >= sharing {
            return RateShare::default();
        }
        RateShare {
            rate: rate / to_float(sharing),
            phase: to_float(rank) / to_float(sharing),
        }
    }
}

/// Number of entries that precede the entry with hash `own` at an upstream.
pub(crate) fn rank(upstream: u64, own: u64, entries: &[u64]) -> usize {
    let weight = |e: u64| (fleet::mix(upstream, e), e);
    let before = entries.iter().filter(|e| weight(**e) > weight(own));
    before.count()
}

/// Number of entries between which a rate is divided.
fn sharing_entries(rate: f64) -> usize {
    // The conversion saturates.
    (rate.ceil() as usize).saturating_add(1)
}

fn to_float(count: usize) -> f64 {
    f64::from(u32::try_from(count).unwrap_or(u32::MAX))
}
