use std::collections::{HashMap, HashSet};

use bytes::Bytes;
use compact_str::CompactString;
use domain::{Era, Record, RecordBatch};

/// Most removed keys that are kept for peers, which lag by seconds.
const MAX_TOMBSTONES: usize = 1024;

#[derive(Debug, Clone)]
struct Latest {
    offset: u64,
    value: Option<Bytes>,
}

/// What the copy holds from which the store came back.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct RestoredState {
    /// Its records, without those that are known to have been removed since. They may be
    /// older than the ones known before.
    pub records: Vec<Record>,
    /// Keys whose records were known and are missing.
    pub lost: Vec<CompactString>,
}

/// The newest record of each key of a topic, updated with records from the store or
/// from a peer.
#[derive(Debug, Default)]
pub struct Mirror {
    latest: HashMap<CompactString, Latest>,
    end: Option<u64>,
    /// Era of all offsets.
    era: Era,
    /// Offset from which on all removals are known.
    complete_from: u64,
    tombstones: usize,
    /// Last record of removed keys: in a copy it is not a new one.
    removed: HashMap<CompactString, Record>,
    /// Keys whose records are missing in the copy and were not written again so far.
    lost: HashSet<CompactString>,
}

impl Mirror {
    /// Offset of the next record to read; `None` before the first load.
    pub fn end(&self) -> Option<u64> {
        self.end
    }

    /// Era of the offsets.
    pub fn era(&self) -> Era {
        self.era
    }

    /// Replaces the contents with the newest state of the topic in the same era; returns
    /// what changed.
    pub fn reset(&mut self, batch: RecordBatch) -> Vec<Record> {
        if self.end.is_some_and(|end| batch.end < end) {
            // A state older than the mirror would undo changes.
            return Vec::new();
        }
        let mut changed = Vec::new();
        let kept: HashSet<&str> = batch.records.iter().map(|c| c.key.as_str()).collect();
        let removed: Vec<CompactString> = self
            .latest
            .iter()
            .filter(|(k, l)| l.value.is_some() && !kept.contains(k.as_str()))
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
        self.era = batch.era;
        // Keys that were removed before are missing from the state.
        self.complete_from = batch.end;
        changed
    }

    /// Applies records that follow the ones already known, in the same era; returns what
    /// changed.
    pub fn extend(&mut self, batch: RecordBatch) -> Vec<Record> {
        let mut changed = Vec::new();
        for change in batch.records {
            changed.extend(self.set(change));
        }
        self.end = self.end.max(Some(batch.end));
        changed
    }

    /// Replaces the contents with the state of a newer era. The offsets of the old one
    /// say nothing about it.
    pub fn restore(&mut self, batch: RecordBatch) -> RestoredState {
        let known = std::mem::take(&mut self.latest);
        let known = known.into_iter().filter(|(_, l)| l.value.is_some());
        self.lost.extend(known.map(|(key, _)| key));
        for record in &batch.records {
            self.lost.remove(&record.key);
        }
        let entry = |r: &Record| {
            let (offset, value) = (r.offset, r.value.clone());
            (r.key.clone(), Latest { offset, value })
        };
        self.latest = batch.records.iter().map(entry).collect();
        self.tombstones = batch.records.iter().filter(|r| r.value.is_none()).count();
        self.end = Some(batch.end);
        self.era = batch.era;
        self.complete_from = batch.end;
        let is_current = |r: &Record| self.removed.get(&r.key) != Some(r);
        RestoredState {
            records: batch.records.into_iter().filter(is_current).collect(),
            lost: self.lost.iter().cloned().collect(),
        }
    }

    /// Ends the time in which the records of the copy may be removed again: returns those
    /// that were held back and that the store still holds. Of such a record nothing tells
    /// whether the store lost its removal or got it anew, at the same offset.
    pub fn release(&mut self) -> Vec<Record> {
        let latest = &self.latest;
        let is_held = |key: &CompactString, record: &mut Record| {
            let held = latest.get(key);
            held.is_some_and(|l| l.offset == record.offset && l.value == record.value)
        };
        let released = self.removed.extract_if(is_held);
        released.map(|(_, record)| record).collect()
    }

    /// Ends the time in which lost records may be written again: returns the records that
    /// the store holds, and a removal for each key that is still missing.
    pub fn settle(&mut self) -> Vec<Record> {
        self.removed.clear();
        let offset = self.end.unwrap_or_default().saturating_sub(1);
        let removal = |key| Record {
            key,
            offset,
            value: None,
        };
        let mut records: Vec<Record> = self.lost.drain().map(removal).collect();
        let held = self.latest.iter().filter(|(_, l)| l.value.is_some());
        records.extend(held.map(|(key, l)| Record {
            key: key.clone(),
            offset: l.offset,
            value: l.value.clone(),
        }));
        records
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
            topic_end: end,
            era: self.era,
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
        self.lost.remove(&change.key);
        let known = self.latest.insert(
            change.key.clone(),
            Latest {
                offset: change.offset,
                value: change.value.clone(),
            },
        );
        match known.filter(|l| l.value.is_some() && change.value.is_none()) {
            Some(Latest { offset, value }) => {
                let key = change.key.clone();
                let record = Record { key, offset, value };
                self.removed.insert(change.key.clone(), record);
            }
            None if change.value.is_some() => {
                self.removed.remove(&change.key);
            }
            None => {}
        }
        if self.tombstones > MAX_TOMBSTONES {
            self.complete_from = self.complete_from.max(change.offset + 1);
            self.latest.retain(|_, l| l.value.is_some());
            self.removed.clear();
            self.tombstones = 0;
        }
        Some(change)
    }
}
