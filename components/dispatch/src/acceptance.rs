use domain::Moment;

/// When the upstreams that meet the requirements of a request accept it, by their own
/// statements; their load does not count.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Acceptance {
    /// One accepts it now.
    Now,
    /// The first one does from this moment on.
    From(Moment),
    /// None does any more.
    Never,
    /// No upstream meets the requirements.
    NoMatch,
}
