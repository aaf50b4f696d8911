use std::collections::HashMap;

use bytes::Bytes;
use compact_str::CompactString;
use domain::{Record, RecordBatch};

/// Most dropped keys that are remembered for peers; peers lag by seconds.
const MAX_DROPPED: usize = 1024;

#[derive(Debug, Clone)]
struct Cell {
    offset: u64,
    value: Option<Bytes>,
}

/// The newest record of each key of a topic, kept up to date by runs of
/// records from the store or from a peer.
#[derive(Debug, Default)]
pub struct Mirror {
    cells: HashMap<CompactString, Cell>,
    end: Option<u64>,
    dropped: usize,
}

impl Mirror {
    /// Offset from which records are missing; `None` before the first load.
    pub fn end(&self) -> Option<u64> {
        self.end
    }

    /// Replaces everything by the newest state; returns what changed.
    pub fn reset(&mut self, batch: RecordBatch) -> Vec<Record> {
        if self.end.is_some_and(|end| batch.end < end) {
            // A state from before what is known here would take changes back.
            return Vec::new();
        }
        let mut changed = Vec::new();
        let kept: HashMap<&str, ()> = batch.records.iter().map(|c| (c.key.as_str(), ())).collect();
        let gone: Vec<CompactString> = self
            .cells
            .iter()
            .filter(|(k, c)| c.value.is_some() && !kept.contains_key(k.as_str()))
            .map(|(k, _)| k.clone())
            .collect();
        drop(kept);
        for key in gone {
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
        changed
    }

    /// Takes over records that follow what is known; returns what changed.
    pub fn extend(&mut self, batch: RecordBatch) -> Vec<Record> {
        let mut changed = Vec::new();
        for change in batch.records {
            changed.extend(self.set(change));
        }
        self.end = self.end.max(Some(batch.end));
        changed
    }

    /// What a peer that knows everything before `from` is missing.
    pub fn since(&self, from: u64) -> Option<RecordBatch> {
        let end = self.end?;
        let mut changes: Vec<Record> = self
            .cells
            .iter()
            .filter(|(_, c)| c.offset >= from)
            .map(|(key, c)| Record {
                key: key.clone(),
                offset: c.offset,
                value: c.value.clone(),
            })
            .collect();
        changes.sort_by_key(|c| c.offset);
        Some(RecordBatch {
            records: changes,
            end,
        })
    }

    fn set(&mut self, change: Record) -> Option<Record> {
        if let Some(cell) = self.cells.get(&change.key) {
            if cell.offset >= change.offset {
                return None;
            }
            self.dropped -= usize::from(cell.value.is_none());
        }
        self.dropped += usize::from(change.value.is_none());
        self.cells.insert(
            change.key.clone(),
            Cell {
                offset: change.offset,
                value: change.value.clone(),
            },
        );
        if self.dropped > MAX_DROPPED {
            self.cells.retain(|_, c| c.value.is_some());
            self.dropped = 0;
        }
        Some(change)
    }
}
