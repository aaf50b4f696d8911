//! Calls to the stand-ins and to the operators' API of an entry.

use std::net::SocketAddr;
use std::time::Duration;

use anyhow::{Context, ensure};
use http_types::Method;
use serde::Serialize;
use serde::de::DeserializeOwned;
use wire::{Call, CallResponse, Client};

use crate::faults::Faults;

/// Longest wait for the head of a response.
const HEAD_TIMEOUT: Duration = Duration::from_secs(10);
/// Longest response body that is read, in bytes.
const MAX_BODY: usize = 64 << 20;

/// Gets a JSON document; a status other than 2xx is an error.
pub async fn get_json<T: DeserializeOwned>(
    client: &Client,
    addr: SocketAddr,
    path: &str,
) -> anyhow::Result<T> {
    let call = Call::new(Method::Get, addr, path)?.head_timeout(HEAD_TIMEOUT);
    let response = client.send(call).await?;
    ensure!(
        response.status().is_success(),
        "{path}: {}",
        response.status()
    );
    Ok(serde_json::from_slice(&response.bytes(MAX_BODY).await?)?)
}

/// Posts a JSON document and returns the body of the response; a status other than 2xx
/// is an error.
pub async fn post_json<T: Serialize>(
    client: &Client,
    addr: SocketAddr,
    path: &str,
    value: &T,
) -> anyhow::Result<Vec<u8>> {
    let call = Call::new(Method::Post, addr, path)?
        .head_timeout(HEAD_TIMEOUT)
        .body(serde_json::to_vec(value)?);
    let response = client.send(call).await?;
    ensure!(
        response.status().is_success(),
        "{path}: {}",
        response.status()
    );
    Ok(response.bytes(MAX_BODY).await?)
}

/// Sets the faults of a stand-in.
pub async fn set_faults(client: &Client, addr: SocketAddr, faults: &Faults) -> anyhow::Result<()> {
    post_json(client, addr, "/faults", faults).await.map(drop)
}

/// Proposes a configuration on the revision `base`; returns the status and the body of
/// the response.
pub async fn apply_config(
    client: &Client,
    entry: SocketAddr,
    base: u64,
    proposal: &str,
    config: &str,
) -> anyhow::Result<(u16, String)> {
    let call = Call::new(Method::Put, entry, "/config")?
        .head_timeout(HEAD_TIMEOUT)
        .header("if-match", &format!("\"{base}\""))
        .header("author", "trial")
        .header("proposal-id", proposal)
        .body(config.as_bytes().to_vec());
    let response: CallResponse = client.send(call).await.context("PUT /config")?;
    let status = u16::from(response.status());
    let body = response.bytes(MAX_BODY).await?;
    Ok((status, String::from_utf8_lossy(&body).into_owned()))
}
