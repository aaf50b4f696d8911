use domain::Moment;

/// Earliest moment at which a record was written, and what it was derived from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WriteTime {
    /// The moment; zero if it is unknown.
    pub at: Moment,
    /// What it was derived from.
    pub basis: WriteBasis,
}

/// How the write time of a record is known.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WriteBasis {
    /// A read returned it, right after one that did not.
    PreviousRead,
    /// The first read after a failure returned it.
    AfterFailure,
    /// It was in the newest state of the topic, read after a gap or at the start.
    Newest,
    /// A peer sent it.
    Peer,
}

impl WriteBasis {
    /// Name in log lines.
    pub fn name(self) -> &'static str {
        match self {
            WriteBasis::PreviousRead => "previous read",
            WriteBasis::AfterFailure => "after failure",
            WriteBasis::Newest => "newest",
            WriteBasis::Peer => "peer",
        }
    }
}
