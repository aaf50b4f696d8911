use dispatch::PromptPrefix;
use domain::Moment;
use std::time::Duration;

/// One attempt of a caller's request.
#[derive(Debug, Clone)]
pub struct Request {
    /// Number of the attempt.
    pub id: u64,
    /// Its kind, as an index into [`crate::kinds`].
    pub kind: usize,
    /// Account of the caller; 0 sends the most requests.
    pub account: usize,
    /// Tokens in the prompt.
    pub prompt: u32,
    /// Parts of the prompt that engines may retain.
    pub prefix: PromptPrefix,
    /// Tokens in the output.
    pub output: u32,
    /// Output tokens that the caller expects.
    pub expected_tokens: u32,
    /// When the caller sent the first attempt.
    pub first_attempt: Moment,
    /// When the caller gives up.
    pub deadline: Moment,
    /// Number of attempts before this one.
    pub retries: u32,
    /// Whether the caller retries often and at once when it is refused.
    pub impatient: bool,
    /// Time from the first attempt after which the caller cancels the request, even if
    /// its response has begun.
    pub cancel_after: Option<Duration>,
}
