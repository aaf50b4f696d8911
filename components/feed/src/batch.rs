/// What a batch of records contains.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum BatchKind {
    /// The newest record of each key.
    State,
    /// The records from a known offset on.
    Records,
}

/// What became of a batch of records.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum BatchResult {
    /// It was applied.
    Applied,
    /// It is of an older era than the records known, and was dropped.
    OlderEra,
    /// It is of a newer era, in which the requested offset means nothing, and was dropped;
    /// the state has to be read.
    NewerEra,
}

impl BatchResult {
    /// Name in log lines.
    pub(crate) fn name(self) -> &'static str {
        match self {
            BatchResult::Applied => "applied",
            BatchResult::OlderEra => "older era",
            BatchResult::NewerEra => "newer era",
        }
    }
}
