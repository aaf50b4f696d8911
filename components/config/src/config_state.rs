use std::collections::{HashMap, VecDeque};
use std::sync::Arc;

use compact_str::CompactString;
use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};

use crate::{Checkpoint, Declaration, Proposal, Record, Snapshot};

/// Verdicts kept for operators who ask about an id.
const VERDICTS_KEPT: usize = 1024;

/// What became of a proposal.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "verdict", rename_all = "lowercase")]
pub enum Verdict {
    /// In force as `revision`.
    Accepted {
        /// The new revision.
        revision: u64,
    },
    /// Made against a revision that is no longer current.
    Conflict {
        /// The revision in force.
        current: u64,
    },
    /// The text does not pass the checks.
    Invalid {
        /// What is wrong and what to do.
        reason: String,
    },
}

/// Why records could not be applied.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
pub enum ReplayError {
    /// Records between the ledger and the log's first retained record are gone.
    #[display(
        "config: records {expected} to {first} have expired; take the configuration from a peer"
    )]
    Gap {
        /// Offset that the ledger needs next.
        expected: u64,
        /// Offset of the first retained record.
        first: u64,
    },
}

/// The configuration as a deterministic function of the log's prefix.
///
/// Records must be offered in the order of their offsets. The revision never
/// decreases.
#[derive(Debug, Default)]
pub struct ConfigState {
    current: Option<Snapshot>,
    next: u64,
    verdicts: HashMap<CompactString, Verdict>,
    order: VecDeque<CompactString>,
}

impl ConfigState {
    /// Offset of the next record that the ledger needs.
    pub fn next_offset(&self) -> u64 {
        self.next
    }

    /// Revision in force; 0 before the first.
    pub fn revision(&self) -> u64 {
        self.current.as_ref().map_or(0, |s| s.revision)
    }

    /// The configuration in force.
    pub fn current(&self) -> Option<&Snapshot> {
        self.current.as_ref()
    }

    /// What became of a proposal, if it was decided here lately.
    pub fn verdict(&self, id: &str) -> Option<&Verdict> {
        self.verdicts.get(id)
    }

    /// Takes over a peer's configuration if it is ahead; true when it was.
    pub fn install(&mut self, snapshot: Snapshot) -> bool {
        let ahead = snapshot.revision > self.revision();
        let further = snapshot.revision == self.revision() && snapshot.as_of > self.next;
        if ahead || further {
            self.next = self.next.max(snapshot.as_of);
            self.current = Some(snapshot);
        }
        ahead
    }

    /// Applies a page of the log whose first retained offset is `first`.
    pub fn apply_page(&mut self, first: u64, page: &[(u64, Record)]) -> Result<(), ReplayError> {
        if first > self.next {
            self.recover(first, page)?;
        }
        for (offset, record) in page {
            self.apply(*offset, record);
        }
        Ok(())
    }

    /// Moves past a gap with a checkpoint that covers everything before it.
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
                expected: self.next,
                first,
            });
        };
        self.next = c.as_of;
        self.current = Some(snapshot_of(c));
        Ok(())
    }

    fn apply(&mut self, offset: u64, record: &Record) {
        if offset < self.next {
            return;
        }
        self.next = offset + 1;
        if let Record::Proposal(p) = record {
            let verdict = self.decide(offset, p);
            self.remember(p.id.clone(), verdict);
        }
        if let Some(s) = &mut self.current {
            s.as_of = self.next;
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

    fn remember(&mut self, id: CompactString, verdict: Verdict) {
        // The same proposal appended twice was decided by its first copy.
        if self.verdicts.contains_key(&id) {
            return;
        }
        if self.order.len() == VERDICTS_KEPT
            && let Some(oldest) = self.order.pop_front()
        {
            self.verdicts.remove(&oldest);
        }
        self.order.push_back(id.clone());
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
