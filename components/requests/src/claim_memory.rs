use std::collections::VecDeque;
use std::time::Duration;

use crate::{Claim, ClaimRecord};
use protocol::RunId;

/// Time for which a claim is kept: as long as agents keep responses.
const KEPT_TIME: Duration = Duration::from_secs(600);
/// Most claims that are kept.
const MAX_CLAIMS: usize = 200_000;

/// Claims of this process whose runs were started. A log that is restored from an older
/// copy may have lost their records.
#[derive(Debug, Default)]
pub struct ClaimMemory {
    claims: VecDeque<(Duration, Claim)>,
}

impl ClaimMemory {
    /// Records that the run of a claim is started at `now`.
    pub fn record(&mut self, now: Duration, claim: Claim) {
        self.expire(now);
        if self.claims.len() == MAX_CLAIMS {
            self.claims.pop_front();
        }
        self.claims.push_back((now, claim));
    }

    /// Removes a claim whose run never started.
    pub fn void(&mut self, run: &RunId) {
        self.claims.retain(|(_, c)| c.run != *run);
    }

    /// Adds the earlier claims with the key of `claim` that the records lack, before all
    /// others.
    pub fn complete(&self, records: Vec<ClaimRecord>, claim: &Claim) -> Vec<ClaimRecord> {
        let is_logged = |earlier: &Claim| {
            let of_run =
                |r: &ClaimRecord| matches!(r, ClaimRecord::Claim(c) if c.run == earlier.run);
            records.iter().any(of_run)
        };
        let lost = self.claims.iter().map(|(_, c)| c);
        let lost = lost.filter(|c| c.key == claim.key && c.run != claim.run && !is_logged(c));
        let lost: Vec<_> = lost.cloned().map(ClaimRecord::Claim).collect();
        lost.into_iter().chain(records).collect()
    }

    /// The claims that are kept, in their order.
    pub fn claims(&mut self, now: Duration) -> Vec<Claim> {
        self.expire(now);
        self.claims.iter().map(|(_, c)| c.clone()).collect()
    }

    fn expire(&mut self, now: Duration) {
        let is_old = |at: Duration| now.saturating_sub(at) > KEPT_TIME;
        while self.claims.front().is_some_and(|(at, _)| is_old(*at)) {
            self.claims.pop_front();
        }
    }
}
