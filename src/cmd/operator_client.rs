use std::net::SocketAddr;
use std::time::Duration;

use anyhow::Context;
use http_types::Method;
use wire::{Call, Client, Problem};

/// Longest wait for the head of an entry's response.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(10);
/// Longest response body, in bytes.
const MAX_BODY_BYTES: usize = 16 << 20;

/// An entry's response to an operator.
pub struct OperatorResponse {
    /// Entity tag, without quotes.
    pub etag: Option<String>,
    /// Body.
    pub body: Vec<u8>,
}

/// Creates a call to an entry.
pub fn call(method: Method, entry: SocketAddr, path: &str) -> anyhow::Result<Call> {
    Ok(Call::new(method, entry, path)?.head_timeout(RESPONSE_TIMEOUT))
}

/// Sends a call and returns the response if it reports success. A problem document
/// becomes an error with its title, outcome and detail.
pub fn send(call: Call) -> anyhow::Result<OperatorResponse> {
    smol::block_on(async {
        let response = Client::default().send(call).await?;
        let ok = response.status().is_success();
        let etag = response
            .header("etag")
            .map(|e| e.trim_matches('"').to_owned());
        let body = response.bytes(MAX_BODY_BYTES).await?;
        if ok {
            return Ok(OperatorResponse { etag, body });
        }
        let problem: Problem = serde_json::from_slice(&body)
            .context("the entry's response is not a problem document")?;
        anyhow::bail!(
            "{} ({}): {}",
            problem.title,
            problem.outcome,
            problem.detail
        )
    })
}
