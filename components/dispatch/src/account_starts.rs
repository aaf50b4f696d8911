use std::collections::BTreeMap;
use std::time::Duration;

use domain::{AccountId, Moment};

/// Most accounts that are counted. When there are more, the one with the fewest starts is
/// forgotten, which only lets it go first.
const MAX_ACCOUNTS: usize = 256;
/// Time in which the weight of a counted start falls to a half.
const HALF_LIFE: Duration = Duration::from_secs(2);
/// Starts up to which an account counts as one that sends like others: the counts of a few
/// requests differ by chance.
const MIN_STARTS: f64 = 8.0;
/// Highest level of an account.
const MAX_LEVEL: u8 = 6;

/// Starts of the requests of each client account in the last seconds.
///
/// Answers a shortage in which one account sends 85% of the requests of a priority: in the
/// order of arrival, the small accounts lose as large a part of theirs as the one that causes
/// the shortage.
#[derive(Debug, Default)]
pub struct AccountStarts {
    /// Starts weighted by age.
    starts: BTreeMap<AccountId, f64>,
    counted_at: Moment,
}

impl AccountStarts {
    /// Records a start of a request of an account.
    pub fn record(&mut self, now: Moment, account: &AccountId) {
        self.age(now);
        if self.starts.len() >= MAX_ACCOUNTS && !self.starts.contains_key(account) {
            let fewest = self.starts.iter().min_by(|a, b| a.1.total_cmp(b.1));
            if let Some(fewest) = fewest.map(|(account, _)| account.clone()) {
                self.starts.remove(&fewest);
            }
        }
        *self.starts.entry(account.clone()).or_default() += 1.0;
    }

    /// How often the starts of an account are twice those of the others in the mean: 0 below
    /// twice, 1 below four times, and so on. Accounts that send alike have the same level.
    pub fn level(&mut self, now: Moment, account: &AccountId) -> u8 {
        self.age(now);
        let own = self.starts.get(account).copied().unwrap_or_default();
        let others = self.starts.len().saturating_sub(1);
        if own < MIN_STARTS || others == 0 {
            return 0;
        }
        let sum = self.starts.values().sum::<f64>() - own;
        let others = f64::from(u32::try_from(others).unwrap_or(u32::MAX));
        let mut mean = sum / others;
        let mut level = 0;
        while level < MAX_LEVEL && own >= mean * 2.0 {
            mean *= 2.0;
            level += 1;
        }
        level
    }

    fn age(&mut self, now: Moment) {
        let since = now.saturating_sub(self.counted_at).as_secs_f64();
        let factor = (-since / HALF_LIFE.as_secs_f64()).exp2();
        self.counted_at = now;
        self.starts.values_mut().for_each(|s| *s *= factor);
        self.starts.retain(|_, s| *s > 0.05);
    }
}
