use std::time::Duration;

use dispatch::{FetchFailure, PieceSource};
use domain::{Moment, millis};
use serde_json::{Value, json};

/// Statistics of the fetches of one version, for the log. They distinguish a slow
/// origin, busy peers and waiting for pieces that no nearby peer holds.
#[derive(Debug, Default)]
pub struct FetchStats {
    origin: SourceStats,
    peers: SourceStats,
    /// Time from the start until each quarter of the pieces was held.
    quarters: Vec<Duration>,
    starved: Duration,
    starved_since: Option<Moment>,
}

#[derive(Debug, Default)]
struct SourceStats {
    done: u32,
    /// Sum over the fetches that are done.
    time: Duration,
    busy: u32,
    failed: u32,
}

impl SourceStats {
    fn fields(&self) -> Value {
        let mean = millis(self.time / self.done.max(1));
        json!({ "done": self.done, "mean_ms": mean, "busy": self.busy, "failed": self.failed })
    }
}

impl FetchStats {
    /// Counts a fetch that ended with `outcome` after `time`.
    pub fn count(
        &mut self,
        source: &PieceSource,
        time: Duration,
        outcome: Result<(), FetchFailure>,
    ) {
        let stats = match source {
            PieceSource::Origin => &mut self.origin,
            PieceSource::Holder(_) => &mut self.peers,
        };
        match outcome {
            Ok(()) => {
                stats.done += 1;
                stats.time += time;
            }
            Err(FetchFailure::Busy) => stats.busy += 1,
            Err(FetchFailure::Failed) => stats.failed += 1,
        }
    }

    /// Records that `held` of `count` pieces are held `elapsed` after the start.
    pub fn record_progress(&mut self, elapsed: Duration, held: u32, count: u32) {
        let reached = usize::try_from(held * 4 / count.max(1)).unwrap_or(usize::MAX);
        while self.quarters.len() < reached.min(4) {
            self.quarters.push(elapsed);
        }
    }

    /// Records whether a fetch could start but no source has a missing piece.
    pub fn set_starved(&mut self, now: Moment, starved: bool) {
        match (self.starved_since, starved) {
            (None, true) => self.starved_since = Some(now),
            (Some(since), false) => {
                self.starved += now.saturating_sub(since);
                self.starved_since = None;
            }
            (None, false) | (Some(_), true) => {}
        }
    }

    /// Fields of the log line.
    pub fn fields(&self) -> Value {
        let quarters: Vec<u64> = self.quarters.iter().map(|q| millis(*q)).collect();
        json!({
            "origin": self.origin.fields(),
            "agents": self.peers.fields(),
            "quarters_ms": quarters,
            "starved_ms": millis(self.starved),
        })
    }
}
