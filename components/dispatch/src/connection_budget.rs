use crate::Ownership;

/// Divisor for the part of an upstream's connections that entries keep idle. The rest is
/// for requests in flight, for connections that lost entries left behind, and for
/// upstreams that accept fewer while their queue is long.
const IDLE_DIVISOR: usize = 3;

/// Division of the connections that an upstream accepts from all entries together.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ConnectionBudget {
    limit: usize,
    entries: Option<usize>,
}

impl ConnectionBudget {
    /// A budget for `entries` entries before an upstream that accepts `limit`
    /// connections; `None` if the configuration states no limit, that is 0. While the
    /// entries are not known, nothing is kept idle.
    pub fn new(limit: usize, entries: Option<usize>) -> Option<Self> {
        let entries = entries.map(|e| e.max(1));
        (limit > 0).then_some(ConnectionBudget { limit, entries })
    }

    /// Connections that the upstream accepts.
    pub fn limit(self) -> usize {
        self.limit
    }

    /// Entries that share them, if they are known.
    pub fn entries(self) -> Option<usize> {
        self.entries
    }

    /// Idle connections that an entry may keep to an upstream with `slots` slots. All
    /// get the same share; the owner, which sends most requests, also gets what cannot
    /// be divided evenly.
    pub fn idle(self, ownership: Ownership, slots: u32) -> usize {
        let Some(entries) = self.entries else {
            return 0;
        };
        let kept = self.kept(slots);
        match ownership {
            Ownership::Own => kept / entries + kept % entries,
            Ownership::Shared | Ownership::Foreign => kept / entries,
        }
    }

    /// Requests that an upstream with `slots` slots may have in flight from all entries
    /// together, each on a connection of its own.
    pub fn requests(self, slots: u32) -> u32 {
        let connections = self.limit - self.kept(slots);
        slots.min(u32::try_from(connections).unwrap_or(u32::MAX))
    }

    /// Connections to an upstream with `slots` slots that all entries together keep idle.
    fn kept(self, slots: u32) -> usize {
        let slots = usize::try_from(slots).unwrap_or(usize::MAX);
        // As many connections may be closing as were in use, and lost entries may have
        // left as many idle ones as are kept.
        let unused = self.limit.saturating_sub(slots.saturating_mul(2));
        (self.limit / IDLE_DIVISOR).min(unused / 2)
    }
}
