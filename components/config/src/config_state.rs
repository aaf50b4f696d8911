use std::collections::{HashMap, VecDeque};
use std::sync::Arc;

use compact_str::CompactString;
use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};

use crate::{Checkpoint, Declaration, Proposal, Record, Snapshot};

/// Most verdicts kept for queries by proposal id.
const MAX_VERDICTS: usize = 1024;

/// Outcome of a proposal.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "verdict", rename_all = "lowercase")]
pub enum Verdict {
    /// Active as `revision`.
    Accepted {
        /// The new revision.
        revision: u64,
    },
    /// Based on a revision that is no longer active.
    Conflict {
        /// The active revision.
        current: u64,
    },
    /// The declaration is not valid.
    Invalid {
        /// What is wrong and how to correct it.
        reason: String,
    },
}

/// Why records could not be applied.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
pub enum ReplayError {
    /// Records that were not applied yet have expired from the log.
    #[display(
        "config: records {expected} to {first} have expired; take the configuration from a peer"
    )]
    Gap {
        /// Offset of the next record to apply.
        expected: u64,
        /// Offset of the first retained record.
        first: u64,
    },
}

/// State of the configuration after a prefix of the log, the same in every process
/// that has applied these records.
///
/// Records must be applied in the order of their offsets. The revision never
/// decreases.
#[derive(Debug, Default)]
pub struct ConfigState {
    current: Option<Snapshot>,
    next_offset: u64,
    verdicts: HashMap<CompactString, Verdict>,
    verdict_order: VecDeque<CompactString>,
}

impl ConfigState {
    /// Offset of the next record to apply.
    pub fn next_offset(&self) -> u64 {
        self.next_offset
    }

    /// Active revision; 0 before the first.
    pub fn revision(&self) -> u64 {
        self.current.as_ref().map_or(0, |s| s.revision)
    }

    /// The active configuration.
    pub fn current(&self) -> Option<&Snapshot> {
        self.current.as_ref()
    }

    /// Outcome of a proposal, if it was applied here recently.
    pub fn verdict(&self, id: &str) -> Option<&Verdict> {
        self.verdicts.get(id)
    }

    /// Installs a peer's configuration if its revision is higher or, at the same
    /// revision, if it covers more of the log; returns whether its revision is higher.
    pub fn install(&mut self, snapshot: Snapshot) -> bool {
        let ahead = snapshot.revision > self.revision();
        let covers_more = snapshot.revision == self.revision() && snapshot.as_of > self.next_offset;
        if ahead || covers_more {
            self.next_offset = self.next_offset.max(snapshot.as_of);
            self.current = Some(snapshot);
        }
        ahead
    }

    /// Applies a page of the log, whose first retained record has the offset `first`.
    pub fn apply_page(&mut self, first: u64, page: &[(u64, Record)]) -> Result<(), ReplayError> {
        if first > self.next_offset {
            self.recover(first, page)?;
        }
        for (offset, record) in page {
            self.apply(*offset, record);
        }
        Ok(())
    }

    /// Skips expired records with a checkpoint that covers them.
    fn recover(&mut self, first: u64, page: &[(u64, Record)]) -> Result<(), ReplayError> {
        let found = page
            .iter()
            .filter_map(|(_, r)| match r {
                Record::Checkpoint(c) if c.as_of >= first => Some(c),
                _ => None,
            })
            .filter(|c| c.revision >= self.revision())
            .max_by_key(|c| c.as_of);
        let Some(c) = found else {
            return Err(ReplayError::Gap {
                expected: self.next_offset,
                first,
            });
        };
        self.next_offset = c.as_of;
        self.current = Some(snapshot_of(c));
        Ok(())
    }

    fn apply(&mut self, offset: u64, record: &Record) {
        if offset < self.next_offset {
            return;
        }
        self.next_offset = offset + 1;
        if let Record::Proposal(p) = record {
            let verdict = self.decide(offset, p);
            self.record_verdict(p.id.clone(), verdict);
        }
        if let Some(s) = &mut self.current {
            s.as_of = self.next_offset;
        }
    }

    fn decide(&mut self, offset: u64, p: &Proposal) -> Verdict {
        let current = self.revision();
        if p.base != current {
            return Verdict::Conflict { current };
        }
        if let Err(e) = Declaration::parse("proposal", &p.text) {
            return Verdict::Invalid {
                reason: e.to_string(),
            };
        }
        let revision = current + 1;
        self.current = Some(Snapshot {
            revision,
            as_of: offset + 1,
            text: Arc::from(p.text.as_str()),
        });
        Verdict::Accepted { revision }
    }

    fn record_verdict(&mut self, id: CompactString, verdict: Verdict) {
        // A proposal may be appended twice: its first copy decides.
        if self.verdicts.contains_key(&id) {
            return;
        }
        if self.verdict_order.len() == MAX_VERDICTS
            && let Some(oldest) = self.verdict_order.pop_front()
        {
            self.verdicts.remove(&oldest);
        }
        self.verdict_order.push_back(id.clone());
        self.verdicts.insert(id, verdict);
    }
}

fn snapshot_of(c: &Checkpoint) -> Snapshot {
    Snapshot {
        revision: c.revision,
        as_of: c.as_of,
        text: Arc::from(c.text.as_str()),
    }
}
