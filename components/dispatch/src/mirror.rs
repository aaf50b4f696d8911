use std::collections::HashMap;

use bytes::Bytes;
use compact_str::CompactString;
use domain::{Record, RecordBatch};

/// Most removed keys that are kept for peers, which lag by seconds.
const MAX_TOMBSTONES: usize = 1024;

#[derive(Debug, Clone)]
struct Latest {
    offset: u64,
    value: Option<Bytes>,
}

/// The newest record of each key of a topic, updated with records from the store or
/// from a peer.
#[derive(Debug, Default)]
pub struct Mirror {
    latest: HashMap<CompactString, Latest>,
    end: Option<u64>,
    /// Offset from which on all removals are known.
    complete_from: u64,
    tombstones: usize,
}

impl Mirror {
    /// Offset of the next record to read; `None` before the first load.
    pub fn end(&self) -> Option<u64> {
        self.end
    }

    /// Replaces the contents with the newest state of the topic; returns what changed.
    pub fn reset(&mut self, batch: RecordBatch) -> Vec<Record> {
        if self.end.is_some_and(|end| batch.end < end) {
            // A state older than the mirror would undo changes.
            return Vec::new();
        }
        let mut changed = Vec::new();
        let kept: HashMap<&str, ()> = batch.records.iter().map(|c| (c.key.as_str(), ())).collect();
        let removed: Vec<CompactString> = self
            .latest
            .iter()
            .filter(|(k, l)| l.value.is_some() && !kept.contains_key(k.as_str()))
            .map(|(k, _)| k.clone())
            .collect();
        drop(kept);
        for key in removed {
            changed.extend(self.set(Record {
                key,
                offset: batch.end.saturating_sub(1),
                value: None,
            }));
        }
        for change in batch.records {
            changed.extend(self.set(change));
        }
        self.end = Some(batch.end);
        // Keys that were removed before are missing from the state.
        self.complete_from = batch.end;
        changed
    }

    /// Applies records that follow the ones already known; returns what changed.
    pub fn extend(&mut self, batch: RecordBatch) -> Vec<Record> {
        let mut changed = Vec::new();
        for change in batch.records {
            changed.extend(self.set(change));
        }
        self.end = self.end.max(Some(batch.end));
        changed
    }

    /// The records from offset `from` on, for a peer that has all earlier ones; with 0,
    /// the state of the topic. `None` before the first load, and if removals since `from`
    /// may be missing.
    pub fn since(&self, from: u64) -> Option<RecordBatch> {
        let end = self.end?;
        if from > 0 && from < self.complete_from {
            return None;
        }
        let mut changes: Vec<Record> = self
            .latest
            .iter()
            .filter(|(_, l)| l.offset >= from)
            .map(|(key, l)| Record {
                key: key.clone(),
                offset: l.offset,
                value: l.value.clone(),
            })
            .collect();
        changes.sort_by_key(|c| c.offset);
        Some(RecordBatch {
            records: changes,
            end,
            era: 0,
        })
    }

    fn set(&mut self, change: Record) -> Option<Record> {
        if let Some(known) = self.latest.get(&change.key) {
            if known.offset >= change.offset {
                return None;
            }
            self.tombstones -= usize::from(known.value.is_none());
        }
        self.tombstones += usize::from(change.value.is_none());
        self.latest.insert(
            change.key.clone(),
            Latest {
                offset: change.offset,
                value: change.value.clone(),
            },
        );
        if self.tombstones > MAX_TOMBSTONES {
            self.complete_from = self.complete_from.max(change.offset + 1);
            self.latest.retain(|_, l| l.value.is_some());
            self.tombstones = 0;
        }
        Some(change)
    }
}
