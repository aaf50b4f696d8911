use compact_str::CompactString;
use domain::{Era, Record, RecordBatch};
use serde::{Deserialize, Serialize};

/// Path of a request for records.
pub const RECORDS_PATH: &str = "/records";
/// Path prefix of a request for a piece of weights or for digests.
pub const PIECE_PATH: &str = "/piece";

/// Request to a peer for records that the sender does not have.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct RecordsRequest {
    /// First missing offset of each topic, in the order of
    /// [`RecordsResponse::topics`]; `None` if the topic is not requested.
    pub from: [Option<u64>; 3],
    /// Era of each offset.
    #[serde(default)]
    pub eras: [Era; 3],
}

/// Requested records of each topic, as far as the peer has them.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct RecordsResponse {
    /// Records of the operators, the upstreams and the members, in this order.
    pub topics: [Option<RawBatch>; 3],
    /// Milliseconds since the peer last confirmed the operators' records.
    pub age: Option<u64>,
    /// Declared versions of each model, with the milliseconds since the declaration.
    pub declared: Vec<(CompactString, Vec<(u64, u64)>)>,
}

/// Encoded form of a [`RecordBatch`].
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct RawBatch {
    /// Key, offset and value of each record.
    pub records: Vec<(CompactString, u64, Option<Vec<u8>>)>,
    /// Offset of the next record.
    pub end: u64,
    /// Era of the offsets.
    #[serde(default)]
    pub era: Era,
}

impl From<RecordBatch> for RawBatch {
    fn from(batch: RecordBatch) -> Self {
        let raw = |r: Record| (r.key, r.offset, r.value.map(|v| v.to_vec()));
        RawBatch {
            records: batch.records.into_iter().map(raw).collect(),
            end: batch.end,
            era: batch.era,
        }
    }
}

impl From<RawBatch> for RecordBatch {
    fn from(raw: RawBatch) -> Self {
        let record = |(key, offset, value): (_, _, Option<Vec<u8>>)| Record {
            key,
            offset,
            value: value.map(Into::into),
        };
        RecordBatch {
            records: raw.records.into_iter().map(record).collect(),
            end: raw.end,
            topic_end: raw.end,
            era: raw.era,
        }
    }
}
