use std::future::Future;
use std::time::Duration;

use bytes::Bytes;
use compact_str::CompactString;
use derive_more::{Display, Error};

use crate::Era;

/// A record with a key; a newer record of the same key replaces it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Record {
    /// Key of the record.
    pub key: CompactString,
    /// Offset of the record.
    pub offset: u64,
    /// Value; `None` if the record deletes the key.
    pub value: Option<Bytes>,
}

/// Records of a topic, of a long backlog only the first part.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct RecordBatch {
    /// Records in order of offset.
    pub records: Vec<Record>,
    /// Offset after the last record of the batch.
    pub end: u64,
    /// Offset of the next record that will be written. The records from `end` on are
    /// missing in the batch.
    pub topic_end: u64,
    /// Era of the offsets.
    pub era: Era,
}

/// Result of reading from an offset.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ReadOutcome {
    /// Records from the requested offset.
    Records(RecordBatch),
    /// The records at the requested offset are deleted, or the topic ends before it; read
    /// the newest record of each key instead.
    Gap,
}

/// A call to the store failed.
#[derive(Debug, Display, Error)]
pub enum StoreError {
    /// The store refused the call and changed nothing.
    #[display("store: {call} was refused with status {status}; retry later")]
    Refused {
        /// The call.
        call: &'static str,
        /// HTTP status.
        status: u16,
    },
    /// No usable response; an append may have taken effect.
    #[display("store: no usable response to {call}: {reason}; retry on a new connection")]
    NoResponse {
        /// The call.
        call: &'static str,
        /// What went wrong.
        reason: String,
    },
}

/// Client of the platform's store, which holds keyed records in topics.
pub trait RecordStore: Clone + Send + Sync + 'static {
    /// Reads the newest record of each key of a topic.
    fn newest(&self, topic: &str) -> impl Future<Output = Result<RecordBatch, StoreError>> + Send;

    /// Reads records from an offset; waits up to `wait` for the first one. The response may
    /// hold only a part of those that the topic has.
    fn read(
        &self,
        topic: &str,
        from: u64,
        wait: Duration,
    ) -> impl Future<Output = Result<ReadOutcome, StoreError>> + Send;

    /// Appends a record of a key; `None` deletes the key. Returns the era in which it was
    /// acknowledged; the record may be gone in a later one.
    fn put(
        &self,
        topic: &str,
        key: &str,
        value: Option<&[u8]>,
    ) -> impl Future<Output = Result<Era, StoreError>> + Send;

    /// Newest era that this client has seen in any response.
    fn era(&self) -> Era;

    /// Waits until a newer era than `era` has been seen.
    fn until_newer_era(&self, era: Era) -> impl Future<Output = ()> + Send;

    /// Takes over an era that a peer has seen.
    fn learn_era(&self, era: Era);
}
