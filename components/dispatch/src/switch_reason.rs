/// Why an engine is held back or ordered to load a version, for the log and the metrics.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SwitchReason {
    /// Held back: pieces of every newer version are missing.
    PiecesMissing,
    /// Held back: its turn has not come.
    NotItsTurn,
    /// Held back: the version after the complete one arrives soon enough to go straight to it.
    SuccessorNear,
    /// Ordered at once: it holds no weights.
    NoWeights,
    /// Ordered in its turn.
    InTurn,
    /// Ordered in its turn, with a shorter announcement and margin than usual: the pieces were
    /// complete late.
    InShortTurn,
    /// Ordered at once: the bound has passed, so it serves nothing.
    PastBound,
}

impl SwitchReason {
    /// Its name in the log and the metrics.
    pub fn name(self) -> &'static str {
        match self {
            SwitchReason::PiecesMissing => "pieces missing",
            SwitchReason::NotItsTurn => "not its turn",
            SwitchReason::SuccessorNear => "successor near",
            SwitchReason::NoWeights => "no weights",
            SwitchReason::InTurn => "in turn",
            SwitchReason::InShortTurn => "in short turn",
            SwitchReason::PastBound => "past bound",
        }
    }
}
