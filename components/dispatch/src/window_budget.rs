use crate::rate_share::rank;

/// Requests that an upstream accepts within a window from all entries together.
#[derive(Debug, Clone, PartialEq)]
pub struct WindowBudget {
    total: u32,
    own: u64,
    known: Vec<u64>,
    unknown: usize,
}

impl WindowBudget {
    /// A budget of `total` requests, rounded down. `known` are hashes of the entries that
    /// may send, `own` that of this one, which is among them. `count` is the number of
    /// all entries, or `None` if that is not known: then this one sends nothing.
    pub fn new(total: f64, own: u64, known: Vec<u64>, count: Option<usize>) -> Self {
        let count = count.unwrap_or(usize::MAX);
        WindowBudget {
            // The conversion saturates.
            total: total as u32,
            own,
            unknown: count.saturating_sub(known.len()),
            known,
        }
    }

    /// Requests that this entry may send to an upstream. What cannot be divided evenly
    /// goes to the entries that rank first there; unknown ones may rank before this one.
    pub fn share(&self, upstream: u64) -> u32 {
        let count = self.known.len().saturating_add(self.unknown).max(1);
        let count = u32::try_from(count).unwrap_or(u32::MAX);
        let rank = rank(upstream, self.own, &self.known).saturating_add(self.unknown);
        let is_first = u32::try_from(rank).is_ok_and(|r| r < self.total % count);
        self.total / count + u32::from(is_first)
    }
}
