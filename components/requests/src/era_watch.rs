use std::time::Duration;

/// Time after a restore of the log in which no claim is decided: entries notice it within
/// one read of the configuration, 2 s, and append the claims that the log has lost.
const REWRITE_TIME: Duration = Duration::from_secs(4);

/// Follows the era of the log, which rises when the log is restored from an older copy.
#[derive(Debug, Default)]
pub struct EraWatch {
    era: Option<u64>,
    /// When the era began, unless it is the first that this process knows.
    began: Option<Duration>,
}

impl EraWatch {
    /// Records the era that a response has named; returns whether a new one began.
    pub fn observe(&mut self, now: Duration, era: u64) -> bool {
        if self.era >= Some(era) {
            return false;
        }
        let is_first = self.era.replace(era).is_none();
        if !is_first {
            self.began = Some(now);
        }
        !is_first
    }

    /// Whether this is the era that was observed last; the first one is observed here, since
    /// the process has no claims of an earlier one.
    pub fn is_current(&mut self, era: u64) -> bool {
        *self.era.get_or_insert(era) == era
    }

    /// Whether entries may still append claims that the log has lost.
    pub fn is_rewriting(&self, now: Duration) -> bool {
        self.began
            .is_some_and(|began| now.saturating_sub(began) < REWRITE_TIME)
    }
}
