use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use http_types::Method;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use wire::{Call, Client};

use crate::{PlatformError, Position};

/// Names of the streams of the log.
pub mod streams {
    /// Proposals and checkpoints of the configuration.
    pub const CONFIG: &str = "config";
    /// Actions of the system, for the audit trail.
    pub const AUDIT: &str = "audit";
    /// Starts of agents; the offset of a record is the fencing number of its agent.
    pub const STARTS: &str = "starts";
}

/// Longest response of the log.
const MAX_RESPONSE_BYTES: usize = 16 << 20;
/// Longest wait for a response, beyond the wait that a read requests.
const LOG_TIMEOUT: Duration = Duration::from_secs(2);

/// Header of every response: how often the log was restored from an older copy. The copy
/// lacks its latest records, and their offsets are given out again.
const ERA: &str = "log-era";

/// Consecutive records of a stream; of many records only the first.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Page<T> {
    /// Era of the log in which it was read.
    pub era: u64,
    /// Offset of the first record that the log retains.
    pub first: u64,
    /// Offset after the last record of the page.
    pub next: u64,
    /// Offset that the next record will have. The records from `next` on are missing in
    /// the page.
    pub end: u64,
    /// Records with their offsets, without those that do not decode.
    pub records: Vec<(u64, T)>,
}

#[derive(Deserialize)]
struct Appended {
    offset: u64,
}

#[derive(Deserialize)]
struct RawPage {
    first: u64,
    end: u64,
    records: Vec<RawRecord>,
}

#[derive(Deserialize)]
struct RawRecord {
    offset: u64,
    value: serde_json::Value,
}

/// A client of the platform's log.
#[derive(Clone)]
pub struct LogClient {
    addr: SocketAddr,
    client: Client,
    /// Latest era that a response has named, plus one; 0 before the first response.
    eras: Arc<AtomicU64>,
}

impl LogClient {
    /// A client of the log at `addr`.
    pub fn new(addr: SocketAddr, client: Client) -> Self {
        LogClient {
            addr,
            client,
            eras: Arc::default(),
        }
    }

    /// Latest era that a response to this client or a clone of it has named; `None` before
    /// the first response.
    pub fn era(&self) -> Option<u64> {
        self.eras.load(Ordering::Relaxed).checked_sub(1)
    }

    /// Appends a record and returns its position. After an error for which
    /// [`PlatformError::is_without_effect`] is false, the record may have been appended.
    pub async fn append<T: Serialize>(
        &self,
        stream: &str,
        value: &T,
    ) -> Result<Position, PlatformError> {
        let call = "append";
        let body = serde_json::to_vec(value).map_err(|e| invalid_response(call, e))?;
        let path = format!("/streams/{stream}");
        let request = Call::new(Method::Post, self.addr, &path)?
            .body(body)
            .head_timeout(LOG_TIMEOUT);
        let (era, bytes) = self.send(call, request).await?;
        let appended: Appended =
            serde_json::from_slice(&bytes).map_err(|e| invalid_response(call, e))?;
        Ok(Position {
            era,
            offset: appended.offset,
        })
    }

    /// Reads the records from an offset up to the end that the stream has, in as many pages
    /// as that takes.
    pub async fn read_all<T: DeserializeOwned>(
        &self,
        stream: &str,
        from: u64,
    ) -> Result<Page<T>, PlatformError> {
        let mut all = self.read(stream, from, Duration::ZERO).await?;
        while all.next < all.end {
            let page = self.read(stream, all.next, Duration::ZERO).await?;
            if page.era != all.era {
                return Err(PlatformError::Outdated { call: "read" });
            }
            if page.next == all.next {
                let reason = format!("it has no records from offset {} on", all.next);
                let call = "read";
                return Err(PlatformError::InvalidResponse { call, reason });
            }
            all.next = page.next;
            all.records.extend(page.records);
        }
        Ok(all)
    }

    /// Reads a page of records from an offset; waits up to `wait` if there are none.
    pub async fn read<T: DeserializeOwned>(
        &self,
        stream: &str,
        from: u64,
        wait: Duration,
    ) -> Result<Page<T>, PlatformError> {
        let call = "read";
        let path = format!("/streams/{stream}?from={from}&wait_ms={}", wait.as_millis());
        let request = Call::new(Method::Get, self.addr, &path)?.head_timeout(wait + LOG_TIMEOUT);
        let (era, bytes) = self.send(call, request).await?;
        let raw: RawPage = serde_json::from_slice(&bytes).map_err(|e| invalid_response(call, e))?;
        let next = raw.records.last().map_or(from, |r| r.offset + 1);
        let records = raw.records.into_iter().filter_map(decode_record).collect();
        Ok(Page {
            era,
            first: raw.first,
            next,
            end: raw.end,
            records,
        })
    }

    /// Sends a call; returns the era of the log and the body of the response. Fails if a
    /// response of a later era has arrived meanwhile.
    async fn send(
        &self,
        call: &'static str,
        request: Call,
    ) -> Result<(u64, Vec<u8>), PlatformError> {
        let response = self.client.send(request).await?;
        let status = response.status();
        let era = response.header(ERA).and_then(|v| v.parse::<u64>().ok());
        let era = era.unwrap_or_default();
        self.eras
            .fetch_max(era.saturating_add(1), Ordering::Relaxed);
        let bytes = response.bytes(MAX_RESPONSE_BYTES).await?;
        if !status.is_success() {
            let status = status.into();
            return Err(PlatformError::Refused { call, status });
        }
        if Some(era) < self.era() {
            return Err(PlatformError::Outdated { call });
        }
        Ok((era, bytes))
    }
}

fn decode_record<T: DeserializeOwned>(raw: RawRecord) -> Option<(u64, T)> {
    match serde_json::from_value(raw.value) {
        Ok(value) => Some((raw.offset, value)),
        Err(e) => {
            log::warn!("platform: record {} does not decode: {e}", raw.offset);
            None
        }
    }
}

fn invalid_response(call: &'static str, error: serde_json::Error) -> PlatformError {
    PlatformError::InvalidResponse {
        call,
        reason: error.to_string(),
    }
}
