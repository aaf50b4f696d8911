use compact_str::CompactString;
use domain::{Record, RecordBatch};
use serde::{Deserialize, Serialize};

/// Path of a question for records.
pub const RECORDS_PATH: &str = "/records";
/// Path of a question for a piece of weights.
pub const PIECE_PATH: &str = "/piece";

/// Asks a peer for the records that are missing here.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct RecordsRequest {
    /// First missing offset of each topic, in the order of [`RecordsAnswer`];
    /// none where the topic is not wanted.
    pub from: [Option<u64>; 3],
}

/// The missing records of each topic, as far as the peer has them.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct RecordsResponse {
    /// Operators' records, upstreams, members.
    pub topics: [Option<RawBatch>; 3],
    /// Milliseconds since the operators' records were confirmed.
    pub age: Option<u64>,
    /// Declared versions of each model, with milliseconds since the declaration.
    pub declared: Vec<(CompactString, Vec<(u64, u64)>)>,
}

/// Records on the wire.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct RawBatch {
    /// Key, offset and value of each record.
    pub records: Vec<(CompactString, u64, Option<Vec<u8>>)>,
    /// Offset of the next record.
    pub end: u64,
}

impl From<RecordBatch> for RawBatch {
    fn from(batch: RecordBatch) -> Self {
        let record = |c: Record| (c.key, c.offset, c.value.map(|v| v.to_vec()));
        RawBatch {
            records: batch.records.into_iter().map(record).collect(),
            end: batch.end,
        }
    }
}

impl From<RawBatch> for RecordBatch {
    fn from(raw: RawBatch) -> Self {
        let change = |(key, offset, value): (_, _, Option<Vec<u8>>)| Record {
            key,
            offset,
            value: value.map(Into::into),
        };
        RecordBatch {
            records: raw.records.into_iter().map(change).collect(),
            end: raw.end,
        }
    }
}
