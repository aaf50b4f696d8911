use domain::Moment;

/// What an upstream stated about its limit, and when an entry learnt it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LimitStatement {
    /// Requests a second from all entries together; `None` if it states no limit.
    pub rate: Option<f64>,
    /// When the statement arrived.
    pub at: Moment,
}
