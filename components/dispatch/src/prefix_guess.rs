use std::time::Duration;

use crate::PromptPrefix;

/// What was assumed about the prompt of a request when it was sent to an engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PrefixGuess {
    /// Prefix of the prompt.
    pub prefix: PromptPrefix,
    /// Number of prompt tokens.
    pub prompt_tokens: u32,
    /// Tokens that the engine is expected not to prefill.
    pub saved_tokens: u32,
    /// Expected time to first token if the engine prefills the whole prompt.
    pub first_token: Duration,
    /// Time that the engine saves if it holds everything that it was sent.
    pub saving: Duration,
}

impl PrefixGuess {
    /// Tokens that the engine is expected to prefill.
    pub fn prefill_tokens(&self) -> u32 {
        self.prompt_tokens.saturating_sub(self.saved_tokens)
    }
}
