use std::future::Future;
use std::time::Duration;

use bytes::Bytes;
use compact_str::CompactString;
use derive_more::{Display, Error};

/// The newest record of a key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Record {
    /// Key of the record.
    pub key: CompactString,
    /// Offset of the record.
    pub offset: u64,
    /// Its value; none when the key was dropped.
    pub value: Option<Bytes>,
}

/// A run of records.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct RecordBatch {
    /// Records in order of their offsets.
    pub records: Vec<Record>,
    /// Offset that the next record will have.
    pub end: u64,
}

/// Answer to a read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ReadOutcome {
    /// The records from the wanted offset.
    Records(RecordBatch),
    /// Records from the wanted offset were deleted; start from the newest state.
    Gap,
}

/// Why a call to the store did not succeed.
#[derive(Debug, Display, Error)]
pub enum StoreError {
    /// The store refused; nothing was done.
    #[display("store: {call} was refused with status {status}; retry later")]
    Refused {
        /// The call.
        call: &'static str,
        /// HTTP status.
        status: u16,
    },
    /// No usable answer; an append may have been done.
    #[display("store: no usable answer to {call}: {reason}; retry on a new connection")]
    NoAnswer {
        /// The call.
        call: &'static str,
        /// What was seen.
        reason: String,
    },
}

/// Keyed records in the platform's store.
pub trait RecordStore: Clone + Send + Sync + 'static {
    /// The newest record of each key of a topic.
    fn newest(&self, topic: &str) -> impl Future<Output = Result<RecordBatch, StoreError>> + Send;

    /// Records from an offset; waits up to `wait` for the first.
    fn read(
        &self,
        topic: &str,
        from: u64,
        wait: Duration,
    ) -> impl Future<Output = Result<ReadOutcome, StoreError>> + Send;

    /// Appends a record of a key; no value drops the key.
    fn put(
        &self,
        topic: &str,
        key: &str,
        value: Option<&[u8]>,
    ) -> impl Future<Output = Result<(), StoreError>> + Send;
}
