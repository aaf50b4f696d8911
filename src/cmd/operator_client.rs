use std::net::SocketAddr;
use std::time::Duration;

use anyhow::Context;
use http_types::Method;
use wire::{Call, Client, Problem};

/// Longest wait for an entry's answer.
const ANSWER_LIMIT: Duration = Duration::from_secs(10);
/// Longest answer that is read, in bytes.
const BODY_LIMIT: usize = 16 << 20;

/// An entry's answer to an operator.
pub struct Answer {
    /// Entity tag, without quotes.
    pub etag: Option<String>,
    /// Body.
    pub body: Vec<u8>,
}

/// Starts a call to an entry.
pub fn call(method: Method, entry: SocketAddr, path: &str) -> anyhow::Result<Call> {
    Ok(Call::new(method, entry, path)?.head_timeout(ANSWER_LIMIT))
}

/// Sends a call; a problem document becomes an error that repeats its detail.
pub fn send(call: Call) -> anyhow::Result<Answer> {
    smol::block_on(async {
        let reply = Client::default().send(call).await?;
        let ok = reply.status().is_success();
        let etag = reply.header("etag").map(|e| e.trim_matches('"').to_owned());
        let body = reply.bytes(BODY_LIMIT).await?;
        if ok {
            return Ok(Answer { etag, body });
        }
        let problem: Problem = serde_json::from_slice(&body).context("the answer is no problem")?;
        anyhow::bail!(
            "{} ({}): {}",
            problem.title,
            problem.outcome,
            problem.detail
        )
    })
}
