use std::sync::Arc;
use std::time::Duration;

use dispatch::{Pulse, ReadTiming, WriteBasis};
use domain::{Moment, Platform, ReadOutcome, RecordStore, StoreError, millis, now};
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

    async fn read(&self, topic: Topic) -> Result<(), StoreError> {
        let sent = now();
        let store = self.platform.store();
        let name = self.topic_name(topic);
        let (from, era, wait, followed) = {
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
            let mirror = &state.mirrors[topic.index()];
            // In a newer era, the offsets mean nothing.
            let from = mirror.end().filter(|_| mirror.era() >= store.era());
            (from, mirror.era(), wait, followed)
        };
        let read = match from {
            Some(from) => {
                let newer_era = async {
                    store.until_newer_era(era).await;
                    Ok(ReadOutcome::Gap)
                };
                future::or(store.read(name, from, wait), newer_era).await?
            }
            None => ReadOutcome::Gap,
        };
        let timing = ReadTiming {
            sent,
            wait,
            followed,
        };
        let returned = now();
        self.log_slow_read(topic, &timing, returned);
        let is_empty = matches!(&read, ReadOutcome::Records(batch) if batch.records.is_empty());
        let mut result = BatchResult::NewerEra;
        if let ReadOutcome::Records(batch) = read {
            let written = self.state().freshness.earliest_write(&timing);
            result = self.apply(topic, batch, BatchKind::Records, written);
        }
        if result == BatchResult::NewerEra {
            let batch = store.newest(name).await?;
            let written = self.state().freshness.since_last_read(WriteBasis::Newest);
            result = self.apply(topic, batch, BatchKind::State, written);
        }
        let mut state = self.state();
        if topic == Topic::Fleet {
            state.has_backlog = !is_empty;
        }
        let is_current = result == BatchResult::Applied && !state.config_is_lost();
        if topic == Topic::Fleet && is_current {
            state.freshness.record_read(returned, &timing, is_empty);
        }
        Ok(())
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
