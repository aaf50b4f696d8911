use std::sync::Arc;
use std::time::Duration;

use dispatch::{Pulse, ReadTiming, WriteBasis};
use domain::{
    Era, Moment, Platform, ReadOutcome, RecordBatch, RecordStore, StoreError, millis, now,
};
use serde_json::json;
use smol::{Timer, future};
use telemetry::{Outcome, decision};

use crate::Feed;
use crate::batch::{BatchKind, BatchResult};
use crate::topic::{Role, Topic};

/// Pause after the first failed call to the store; further failures double it.
const FAILURE_PAUSE: Duration = Duration::from_millis(150);
/// Longest pause after failed calls. It must stay below the bound on the time
/// until a change of the configuration takes effect.
const MAX_FAILURE_PAUSE: Duration = Duration::from_millis(600);
/// Time beyond the wait of a read after which its response counts as slow.
const SLOW_READ: Duration = Duration::from_millis(250);

/// Offset of the next record to read, and its era.
type Position = (u64, Era);

/// What follows from records that were read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ReadStep {
    /// All records that the topic had are known.
    Complete,
    /// Read the newest record of each key.
    LoadState,
    /// The response was of an older era than the records known.
    Dropped,
}

impl ReadStep {
    fn after(result: BatchResult) -> Self {
        match result {
            BatchResult::Applied => ReadStep::Complete,
            BatchResult::NewerEra => ReadStep::LoadState,
            BatchResult::OlderEra => ReadStep::Dropped,
        }
    }
}

/// Reading of the store's topics.
impl<P: Platform> Feed<P> {
    /// Reads all topics in a loop until the task is dropped.
    pub async fn follow(self: Arc<Self>) {
        let pulse = transport::spawn(self.clone().beat());
        let tasks: Vec<_> = Topic::ALL
            .iter()
            .map(|t| transport::spawn(self.clone().follow_topic(*t)))
            .collect();
        self.clone().fetch_ages().await;
        for task in tasks {
            task.await;
        }
        pulse.await;
    }

    async fn follow_topic(self: Arc<Self>, topic: Topic) {
        let mut pause = FAILURE_PAUSE;
        loop {
            let sent = now();
            if self.role == Role::Agent && self.read_from_entries(topic).await {
                self.settle(topic, sent);
                Timer::after(topic.pause(self.role)).await;
                continue;
            }
            match self.read(topic).await {
                Ok(()) => {
                    pause = FAILURE_PAUSE;
                    self.record_reachable(topic, None);
                    self.settle(topic, sent);
                    if topic == Topic::Fleet {
                        self.release();
                        self.update_bounds();
                    }
                    Timer::after(topic.pause(self.role)).await;
                }
                Err(e) => {
                    self.record_reachable(topic, Some(&e));
                    if topic == Topic::Fleet {
                        self.state().freshness.record_failure();
                    }
                    self.fetch_records().await;
                    if topic == Topic::Fleet {
                        self.update_bounds();
                    }
                    Timer::after(pause.mul_f64(0.75 + 0.5 * fastrand::f64())).await;
                    pause = (pause * 2).min(MAX_FAILURE_PAUSE);
                }
            }
        }
    }

    /// Gets an agent's records from entries rather than from the store: the store
    /// would send each agent the complete configuration, and its calls are billed.
    async fn read_from_entries(&self, topic: Topic) -> bool {
        match topic {
            Topic::Fleet => self.fetch_targets().await,
            Topic::Upstreams | Topic::Members => self.fetch_records().await,
        }
    }

    async fn beat(self: Arc<Self>) {
        loop {
            self.state().pulse.beat(now());
            Timer::after(Pulse::INTERVAL).await;
        }
    }

    /// Reads the records that follow those known, or all if none are known.
    async fn read(&self, topic: Topic) -> Result<(), StoreError> {
        let store = self.platform.store();
        let name = self.topic_name(topic);
        let (position, timing) = self.next_read(topic);
        let read = match position {
            Some(position) => self.read_from(topic, position, timing.wait).await?,
            None => ReadOutcome::Gap,
        };
        let returned = now();
        self.log_slow_read(topic, &timing, returned);
        let (mut step, is_empty) = match (read, position) {
            (ReadOutcome::Records(batch), Some((from, _))) => {
                let is_empty = batch.topic_end == from;
                (self.apply_backlog(topic, batch, &timing).await?, is_empty)
            }
            _ => (ReadStep::LoadState, false),
        };
        if step == ReadStep::LoadState {
            let batch = store.newest(name).await?;
            let written = self.state().freshness.since_last_read(WriteBasis::Newest);
            step = ReadStep::after(self.apply(topic, batch, BatchKind::State, written));
        }
        let mut state = self.state();
        if topic == Topic::Fleet {
            state.has_backlog = !is_empty;
        }
        let is_current = step == ReadStep::Complete && !state.config_is_lost();
        if topic == Topic::Fleet && is_current {
            state.freshness.record_read(returned, &timing, is_empty);
        }
        Ok(())
    }

    /// Position of the next read of a topic, `None` if all records have to be read, and how
    /// it waits.
    fn next_read(&self, topic: Topic) -> (Option<Position>, ReadTiming) {
        let sent = now();
        let state = self.state();
        let followed = state.reachable[topic.index()];
        // The first read after a failure does not wait, so that it returns only
        // records written during the outage. A removal that a later, waiting read
        // returns is recent and does not count as a lapse during the outage.
        // Nor does the one after a change of the operators' records: only an empty
        // response shows until when all are known, from which a version is dated.
        let has_backlog = topic == Topic::Fleet && state.has_backlog;
        let wait = match followed && !has_backlog {
            true => topic.wait(self.role),
            false => Duration::ZERO,
        };
        let timing = ReadTiming {
            sent,
            wait,
            followed,
        };
        let mirror = &state.mirrors[topic.index()];
        // In a newer era, the offsets mean nothing.
        let from = mirror
            .end()
            .filter(|_| mirror.era() >= self.platform.store().era());
        (from.map(|from| (from, mirror.era())), timing)
    }

    /// Reads records from a position; it means nothing once a newer era is known.
    async fn read_from(
        &self,
        topic: Topic,
        (from, era): Position,
        wait: Duration,
    ) -> Result<ReadOutcome, StoreError> {
        let store = self.platform.store();
        let newer_era = async {
            store.until_newer_era(era).await;
            Ok(ReadOutcome::Gap)
        };
        future::or(store.read(self.topic_name(topic), from, wait), newer_era).await
    }

    /// Applies the records of a response and reads those that were left out of it, up to the
    /// end that the topic had. Before that, nothing is known to be in force: a later record
    /// may take back what an earlier one allows.
    async fn apply_backlog(
        &self,
        topic: Topic,
        first: RecordBatch,
        timing: &ReadTiming,
    ) -> Result<ReadStep, StoreError> {
        let goal = first.topic_end;
        let mut batch = first;
        loop {
            let (end, era) = (batch.end, batch.era);
            let missing = goal.saturating_sub(end);
            metrics::gauge!("turmerichold_store_backlog", "topic" => self.topic_name(topic))
                .set(missing as f64);
            let written = self.state().freshness.earliest_write(timing);
            let result = self.apply(topic, batch, BatchKind::Records, written);
            if result != BatchResult::Applied || missing == 0 {
                return Ok(ReadStep::after(result));
            }
            batch = match self.read_from(topic, (end, era), Duration::ZERO).await? {
                ReadOutcome::Records(next) if next.end > end => next,
                // The records were deleted, or the next one is too long for a response.
                _ => return Ok(ReadStep::LoadState),
            };
        }
    }

    /// Logs a read that took clearly longer than its wait, and since when this process runs
    /// without a stop.
    fn log_slow_read(&self, topic: Topic, read: &ReadTiming, returned: Moment) {
        let took = returned.saturating_sub(read.sent);
        if took <= read.wait + SLOW_READ {
            return;
        }
        let resumed = self.state().pulse.resumed(returned);
        let fields = json!({
            "topic": self.topic_name(topic),
            "wait_ms": millis(read.wait),
            "took_ms": millis(took),
            "resumed_ms_ago": millis(returned.saturating_sub(resumed)),
        });
        decision("store", "slow read", Outcome::Change, fields);
    }
}
