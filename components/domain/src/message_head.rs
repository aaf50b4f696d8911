use std::time::Duration;

use compact_str::CompactString;

use crate::{AttemptId, ModelId, Pace, UpstreamId};

/// Token counts of a generation request.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct TokenCount {
    /// Tokens of the prompt.
    pub prompt: u32,
    /// Most tokens that may be generated.
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

/// The head of a caller's request.
#[derive(Debug, Clone, Default)]
pub struct RequestHead {
    /// Id of the attempt.
    pub attempt: AttemptId,
    /// Host without the port.
    pub host: CompactString,
    /// Path without the query.
    pub path: CompactString,
    /// Timeout of the caller, if the request states one.
    pub timeout: Option<Duration>,
    /// API key of the client account.
    pub api_key: Option<CompactString>,
    /// Model of a generation.
    pub model: Option<ModelId>,
    /// Token counts of a generation.
    pub tokens: Option<TokenCount>,
    /// Output tokens that the caller expects; often inaccurate.
    pub expected_tokens: Option<u32>,
    /// Shareable parts of the prompt, in order.
    pub prompt_parts: Vec<PromptPart>,
    /// Last event of a stream that the caller has received.
    pub last_event: Option<CompactString>,
}

/// What a response states about the limit on requests to its upstream.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub enum StatedLimit {
    /// There is no limit.
    #[default]
    Absent,
    /// Requests a second, 0 or more.
    Rate(f64),
    /// The statement cannot be read.
    Malformed,
}

/// The head of an upstream's response.
#[derive(Debug, Clone, Default)]
pub struct ResponseHead {
    /// Attempt that the response belongs to.
    pub attempt: Option<AttemptId>,
    /// The response carries a seal, which proves that an upstream produced it.
    pub sealed: bool,
    /// The upstream states that it did not run the request.
    pub not_run: bool,
    /// Upstream that sent the response, if the response names it.
    pub upstream: Option<UpstreamId>,
    /// Running and waiting requests at the upstream, if it reports them.
    pub load: Option<(u32, u32)>,
    /// Pace of the upstream, if it states a readable one.
    pub pace: Option<Pace>,
    /// The upstream closes the connection after this response.
    pub closing: bool,
    /// Idle time after which the upstream closes the connection, if it announces one.
    pub keep_alive: Option<Duration>,
    /// Requests a second that the upstream accepts from all entries together.
    pub rate_limit: StatedLimit,
    /// The upstream is about to end and accepts no further requests.
    pub leaving: bool,
    /// Time for which the upstream wants no requests from this VM, counted from its
    /// response.
    pub wanted_pause: Option<Duration>,
    /// The body has a content encoding, although callers request none.
    pub encoded: bool,
}
