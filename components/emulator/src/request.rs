use domain::Moment;
use std::time::Duration;

/// One attempt of a caller.
#[derive(Debug, Clone)]
pub struct Request {
    /// Number of the attempt.
    pub id: u64,
    /// Kind, as a place in [`crate::kinds`].
    pub kind: usize,
    /// Account of the caller.
    pub account: usize,
    /// Tokens of its prompt.
    pub prompt: u32,
    /// Tokens of its answer.
    pub output: u32,
    /// What the caller expects of that.
    pub expected_tokens: u32,
    /// When the first attempt was sent.
    pub first_attempt: Moment,
    /// When the caller gives up.
    pub deadline: Moment,
    /// Attempts before this one.
    pub retries: u32,
    /// Comes back at once and often.
    pub impatient: bool,
    /// Leaves when nothing has arrived after this time.
    pub cancel_after: Option<Duration>,
}
