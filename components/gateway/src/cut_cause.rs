/// Why an answer ended before it was complete.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CutCause {
    /// The deadline passed within a stream.
    Deadline,
    /// The upstream of a stream broke off, and no other one resumed it.
    Upstream,
    /// The process ended.
    Stop,
    /// The caller closed its connection, or may be assumed to have left.
    CallerLeft,
    /// The connection to the caller was reset, or failed otherwise.
    Connection,
}

impl CutCause {
    /// Short name for logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            CutCause::Deadline => "deadline",
            CutCause::Upstream => "upstream",
            CutCause::Stop => "stop",
            CutCause::CallerLeft => "caller left",
            CutCause::Connection => "connection",
        }
    }
}
