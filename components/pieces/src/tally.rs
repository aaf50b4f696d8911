use std::time::Duration;

use dispatch::{FetchFailure, PieceSource};
use domain::{Moment, millis};
use serde_json::{Value, json};

/// How the pieces of one version arrived, for the logs: tells a slow origin from
/// busy neighbours and from waiting for pieces that nobody near holds.
#[derive(Debug, Default)]
pub struct Tally {
    origin: Fetches,
    agents: Fetches,
    /// Moments from the begin at which each quarter of the pieces was there.
    quarters: Vec<Duration>,
    starved: Duration,
    starved_since: Option<Moment>,
}

#[derive(Debug, Default)]
struct Fetches {
    done: u32,
    time: Duration,
    busy: u32,
    failed: u32,
}

impl Fetches {
    fn fields(&self) -> Value {
        let mean = millis(self.time / self.done.max(1));
        json!({ "done": self.done, "mean_ms": mean, "busy": self.busy, "failed": self.failed })
    }
}

impl Tally {
    /// Counts the end of a fetch that took `time`.
    pub fn count(
        &mut self,
        source: &PieceSource,
        time: Duration,
        outcome: Result<(), FetchFailure>,
    ) {
        let fetches = match source {
            PieceSource::Origin => &mut self.origin,
            PieceSource::Holder(_) => &mut self.agents,
        };
        match outcome {
            Ok(()) => {
                fetches.done += 1;
                fetches.time += time;
            }
            Err(FetchFailure::Busy) => fetches.busy += 1,
            Err(FetchFailure::Failed) => fetches.failed += 1,
        }
    }

    /// Records how many pieces of `count` are there after `elapsed`.
    pub fn held(&mut self, elapsed: Duration, held: u32, count: u32) {
        let reached = usize::try_from(held * 4 / count.max(1)).unwrap_or(usize::MAX);
        while self.quarters.len() < reached.min(4) {
            self.quarters.push(elapsed);
        }
    }

    /// Records whether another fetch could be begun but no piece was to be had.
    pub fn starved(&mut self, now: Moment, starved: bool) {
        match (self.starved_since, starved) {
            (None, true) => self.starved_since = Some(now),
            (Some(since), false) => {
                self.starved += now.saturating_sub(since);
                self.starved_since = None;
            }
            (None, false) | (Some(_), true) => {}
        }
    }

    /// Fields of a log line.
    pub fn fields(&self) -> Value {
        let quarters: Vec<u64> = self.quarters.iter().map(|q| millis(*q)).collect();
        json!({
            "origin": self.origin.fields(),
            "agents": self.agents.fields(),
            "quarters_ms": quarters,
            "starved_ms": millis(self.starved),
        })
    }
}
