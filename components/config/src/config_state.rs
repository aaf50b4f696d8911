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

/// The active configuration, and the state of the configuration after a prefix of the
/// log, which is the same in every process that has applied these records.
///
/// Records must be applied in the order of their offsets. The active revision never
/// decreases, also when the log is restored from a copy that lacks it.
#[derive(Debug, Default)]
pub struct ConfigState {
    current: Option<Snapshot>,
    /// Configuration after the records of this era that were applied.
    logged: Option<Snapshot>,
    era: u64,
    next_offset: u64,
    verdicts: HashMap<CompactString, Verdict>,
    verdict_order: VecDeque<CompactString>,
}

impl ConfigState {
    /// Offset of the next record to apply.
    pub fn next_offset(&self) -> u64 {
        self.next_offset
    }

    /// Era of the log that the offset belongs to.
    pub fn era(&self) -> u64 {
        self.era
    }

    /// Active revision; 0 before the first.
    pub fn revision(&self) -> u64 {
        revision_of(self.current.as_ref())
    }

    /// The active configuration.
    pub fn current(&self) -> Option<&Snapshot> {
        self.current.as_ref()
    }

    /// Begins to read the log anew if `era` is later: it was restored from an older copy,
    /// and offsets are given out again.
    pub fn begin_era(&mut self, era: u64) {
        if era <= self.era {
            return;
        }
        self.era = era;
        self.next_offset = 0;
        self.logged = None;
        self.update_position();
    }

    /// Checkpoint to append when the log, read to its end, lacks the active configuration.
    /// If it holds another one of the same revision, that is the newer one, and gets a
    /// revision of its own.
    pub fn missing_checkpoint(&self) -> Option<Checkpoint> {
        let current = self.current.as_ref()?;
        let checkpoint = |revision, text: &str| Checkpoint {
            as_of: self.next_offset,
            revision,
            text: text.to_owned(),
        };
        match &self.logged {
            Some(l) if l.revision > current.revision => None,
            Some(l) if l.revision == current.revision => {
                (l.text != current.text).then(|| checkpoint(l.revision + 1, &l.text))
            }
            _ => Some(checkpoint(current.revision, &current.text)),
        }
    }

    /// Outcome of a proposal, if it was applied here recently.
    pub fn verdict(&self, id: &str) -> Option<&Verdict> {
        self.verdicts.get(id)
    }

    /// Installs a peer's configuration if its revision is higher or, at the same
    /// revision, if it covers more of the log; returns whether its revision is higher.
    pub fn install(&mut self, snapshot: Snapshot) -> bool {
        self.begin_era(snapshot.era);
        let ahead = snapshot.revision > self.revision();
        let covers_more = snapshot.era == self.era
            && snapshot.as_of > self.next_offset
            && snapshot.revision >= self.revision();
        if covers_more {
            self.next_offset = snapshot.as_of;
            self.logged = Some(snapshot.clone());
        }
        if ahead || covers_more {
            self.current = Some(snapshot);
            self.update_position();
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
        if revision_of(self.logged.as_ref()) > self.revision() {
            self.current = self.logged.clone();
        }
        self.update_position();
        Ok(())
    }

    /// Skips expired records with a checkpoint that covers them.
    fn recover(&mut self, first: u64, page: &[(u64, Record)]) -> Result<(), ReplayError> {
        let logged = revision_of(self.logged.as_ref());
        let found = page
            .iter()
            .filter_map(|(offset, r)| match r {
                // One that covers later offsets than its own is from before a restore.
                Record::Checkpoint(c) if c.as_of >= first && c.as_of <= *offset => Some(c),
                _ => None,
            })
            .filter(|c| c.revision >= logged)
            .max_by_key(|c| c.as_of);
        let Some(c) = found else {
            return Err(ReplayError::Gap {
                expected: self.next_offset,
                first,
            });
        };
        self.next_offset = c.as_of;
        self.logged = Some(snapshot_of(c));
        Ok(())
    }

    fn apply(&mut self, offset: u64, record: &Record) {
        if offset < self.next_offset {
            return;
        }
        self.next_offset = offset + 1;
        match record {
            Record::Proposal(p) => {
                let verdict = self.decide(p);
                self.record_verdict(p.id.clone(), verdict);
            }
            // A configuration that a restored log had lost.
            Record::Checkpoint(c) if c.revision > revision_of(self.logged.as_ref()) => {
                self.logged = Some(snapshot_of(c));
            }
            Record::Checkpoint(_) | Record::Crash(_) => {}
        }
    }

    fn decide(&mut self, p: &Proposal) -> Verdict {
        let current = revision_of(self.logged.as_ref());
        if p.base != current {
            return Verdict::Conflict { current };
        }
        if let Err(e) = Declaration::parse("proposal", &p.text) {
            return Verdict::Invalid {
                reason: e.to_string(),
            };
        }
        let revision = current + 1;
        self.logged = Some(Snapshot {
            revision,
            as_of: self.next_offset,
            text: Arc::from(p.text.as_str()),
            era: self.era,
        });
        Verdict::Accepted { revision }
    }

    /// States how much of the log the active configuration covers.
    fn update_position(&mut self) {
        let Some(current) = &mut self.current else {
            return;
        };
        let logged = self.logged.as_ref();
        let is_logged =
            logged.is_some_and(|l| l.revision == current.revision && l.text == current.text);
        current.era = self.era;
        current.as_of = if is_logged { self.next_offset } else { 0 };
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

fn revision_of(snapshot: Option<&Snapshot>) -> u64 {
    snapshot.map_or(0, |s| s.revision)
}

/// Position and era are set when the page is applied.
fn snapshot_of(c: &Checkpoint) -> Snapshot {
    Snapshot {
        revision: c.revision,
        as_of: c.as_of,
        text: Arc::from(c.text.as_str()),
        era: 0,
    }
}
