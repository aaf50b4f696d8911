use std::time::Duration;

use compact_str::CompactString;

use crate::{AttemptId, ModelId, UpstreamId};

/// Tokens of a generation.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct TokenCount {
    /// Tokens of the prompt.
    pub prompt: u32,
    /// Most tokens to generate.
    pub output: u32,
}

/// A part of a prompt that other requests may share.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PromptPart {
    /// Id of the part.
    pub id: u64,
    /// Length in tokens.
    pub tokens: u32,
}

/// What the head of a caller's request says.
#[derive(Debug, Clone, Default)]
pub struct RequestHead {
    /// Id of the attempt.
    pub attempt: AttemptId,
    /// Host that was named.
    pub host: CompactString,
    /// Path without the query.
    pub path: CompactString,
    /// How long the caller waits, where it says so.
    pub timeout: Option<Duration>,
    /// Key of the client account.
    pub api_key: Option<CompactString>,
    /// Model of a generation.
    pub model: Option<ModelId>,
    /// Tokens of a generation.
    pub tokens: Option<TokenCount>,
    /// Tokens that the caller expects of the answer; often far off.
    pub expected_tokens: Option<u32>,
    /// Parts of the prompt in order.
    pub prompt_parts: Vec<PromptPart>,
    /// Last event that the caller has received of a stream.
    pub last_event: Option<CompactString>,
}

/// What the head of an upstream's answer says.
#[derive(Debug, Clone, Default)]
pub struct ResponseHead {
    /// Attempt that it answers.
    pub attempt: Option<AttemptId>,
    /// Proof that an upstream made it.
    pub sealed: bool,
    /// The upstream declares that it did not run the request.
    pub not_run: bool,
    /// Upstream that answered, where it names itself.
    pub upstream: Option<UpstreamId>,
    /// Running and waiting requests at the upstream, where it tells them.
    pub load: Option<(u32, u32)>,
    /// The upstream closes the connection after this answer.
    pub closing: bool,
    /// How long the upstream keeps the connection when idle.
    pub keep_alive: Option<Duration>,
    /// The body has an encoding, which no caller asked for.
    pub encoded: bool,
}
