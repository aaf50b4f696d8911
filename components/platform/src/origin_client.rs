use std::net::SocketAddr;
use std::ops::Range;
use std::time::Duration;

use config::{ModelId, VersionId};
use http_types::Method;
use wire::{Call, Client};

use crate::PlatformError;

/// Longest manifest.
const MAX_MANIFEST_BYTES: usize = 16 << 20;
/// Longest wait for the head of a response or between two of its bytes.
const ORIGIN_TIMEOUT: Duration = Duration::from_secs(5);
/// Slowest transfer that is waited for, in bytes a second.
const MIN_RATE: u64 = 64 << 10;

/// A client of the origin of weights.
#[derive(Clone)]
pub struct OriginClient {
    addr: SocketAddr,
    client: Client,
}

impl OriginClient {
    /// A client of the origin at `addr`.
    pub fn new(addr: SocketAddr, client: Client) -> Self {
        OriginClient { addr, client }
    }

    /// Reads the manifest of a model version; its digest is not checked.
    pub async fn manifest(
        &self,
        model: &ModelId,
        version: &VersionId,
    ) -> Result<Vec<u8>, PlatformError> {
        let path = format!("/models/{model}/{version}/manifest");
        let call = Call::new(Method::Get, self.addr, &path)?;
        self.read("manifest", call, 200, MAX_MANIFEST_BYTES).await
    }

    /// Reads a range of bytes of a model version; their digests are not checked.
    pub async fn range(
        &self,
        model: &ModelId,
        version: &VersionId,
        range: Range<u64>,
    ) -> Result<Vec<u8>, PlatformError> {
        let path = format!("/models/{model}/{version}/data");
        let last = range.end.saturating_sub(1);
        let call = Call::new(Method::Get, self.addr, &path)?
            .header("range", &format!("bytes={}-{last}", range.start));
        let limit = usize::try_from(range.end - range.start).unwrap_or(usize::MAX);
        self.read("range", call, 206, limit).await
    }

    async fn read(
        &self,
        name: &'static str,
        call: Call,
        expected: u16,
        limit: usize,
    ) -> Result<Vec<u8>, PlatformError> {
        let longest = Duration::from_secs(u64::try_from(limit).unwrap_or(u64::MAX) / MIN_RATE);
        let call = call
            .head_timeout(ORIGIN_TIMEOUT)
            .read_timeout(ORIGIN_TIMEOUT)
            .total_timeout(ORIGIN_TIMEOUT + longest);
        let response = self.client.send(call).await?;
        let status = u16::from(response.status());
        if status != expected {
            return Err(PlatformError::Refused { call: name, status });
        }
        Ok(response.bytes(limit).await?)
    }
}
