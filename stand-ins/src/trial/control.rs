//! Calls to the stand-ins and to the operators' interface of an entry.

use std::net::SocketAddr;
use std::time::Duration;

use anyhow::{Context, ensure};
use http_types::Method;
use serde::Serialize;
use serde::de::DeserializeOwned;
use wire::{Call, Client, Reply};

use crate::faults::Faults;

/// Longest wait for an answer.
const LIMIT: Duration = Duration::from_secs(10);
/// Longest answer that is read, in bytes.
const BODY: usize = 64 << 20;

/// Reads a JSON document.
pub async fn get_json<T: DeserializeOwned>(
    client: &Client,
    addr: SocketAddr,
    path: &str,
) -> anyhow::Result<T> {
    let call = Call::new(Method::Get, addr, path)?.first_within(LIMIT);
    let reply = client.send(call).await?;
    ensure!(reply.status().is_success(), "{path}: {}", reply.status());
    Ok(serde_json::from_slice(&reply.bytes(BODY).await?)?)
}

/// Sends a JSON document and returns the answer's body.
pub async fn post_json<T: Serialize>(
    client: &Client,
    addr: SocketAddr,
    path: &str,
    value: &T,
) -> anyhow::Result<Vec<u8>> {
    let call = Call::new(Method::Post, addr, path)?
        .first_within(LIMIT)
        .body(serde_json::to_vec(value)?);
    let reply = client.send(call).await?;
    ensure!(reply.status().is_success(), "{path}: {}", reply.status());
    Ok(reply.bytes(BODY).await?)
}

/// Switches faults of a stand-in.
pub async fn set_faults(client: &Client, addr: SocketAddr, faults: &Faults) -> anyhow::Result<()> {
    post_json(client, addr, "/faults", faults).await.map(drop)
}

/// Applies a text and returns the status and the body of the answer.
pub async fn apply_config(
    client: &Client,
    entry: SocketAddr,
    base: u64,
    id: &str,
    text: &str,
) -> anyhow::Result<(u16, String)> {
    let call = Call::new(Method::Put, entry, "/config")?
        .first_within(LIMIT)
        .header("if-match", &format!("\"{base}\""))
        .header("author", "trial")
        .header("proposal-id", id)
        .body(text.as_bytes().to_vec());
    let reply: Reply = client.send(call).await.context("apply")?;
    let status = u16::from(reply.status());
    let body = reply.bytes(BODY).await?;
    Ok((status, String::from_utf8_lossy(&body).into_owned()))
}
