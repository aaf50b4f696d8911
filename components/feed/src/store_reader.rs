use std::sync::Arc;
use std::time::Duration;

use dispatch::Mirror;
use domain::{Platform, ReadOutcome, RecordStore, StoreError, now};
use smol::Timer;

use crate::Feed;
use crate::topic::{Role, Topic};

/// First pause after a failed call to the store.
const FAILURE_PAUSE: Duration = Duration::from_millis(150);
/// Longest pause after failed calls; below the bound on changes of the plan.
const MAX_FAILURE_PAUSE: Duration = Duration::from_millis(600);

/// How a process follows the records of the store.
impl<P: Platform> Feed<P> {
    /// Follows all topics until the task is dropped.
    pub async fn follow(self: Arc<Self>) {
        let others: Vec<_> = Topic::ALL
            .iter()
            .map(|t| transport::spawn(self.clone().follow_topic(*t)))
            .collect();
        self.clone().learn_ages().await;
        for task in others {
            task.await;
        }
    }

    async fn follow_topic(self: Arc<Self>, topic: Topic) {
        let mut pause = FAILURE_PAUSE;
        loop {
            if self.role == Role::Agent && self.hear_entries(topic).await {
                Timer::after(topic.rest(self.role)).await;
                continue;
            }
            match self.read(topic).await {
                Ok(()) => {
                    pause = FAILURE_PAUSE;
                    self.note_reachable(topic, None);
                    Timer::after(topic.rest(self.role)).await;
                }
                Err(e) => {
                    self.note_reachable(topic, Some(&e));
                    self.ask_peers().await;
                    Timer::after(pause.mul_f64(0.75 + 0.5 * fastrand::f64())).await;
                    pause = (pause * 2).min(MAX_FAILURE_PAUSE);
                }
            }
        }
    }

    /// Entries tell agents what they need; the store would send each of them the
    /// whole configuration, and its calls are paid.
    async fn hear_entries(&self, topic: Topic) -> bool {
        match topic {
            Topic::Fleet => self.ask_goals().await,
            Topic::Upstreams | Topic::Members => self.ask_peers().await,
        }
    }

    async fn read(&self, topic: Topic) -> Result<(), StoreError> {
        let asked = now();
        let journal = self.platform.store();
        let name = self.name(topic);
        let (from, wait) = {
            let state = self.state();
            // The first read after a failure brings the backlog and nothing else:
            // what a waiting read brings later is news, not a lapse.
            let wait = match state.reachable[topic.index()] {
                true => topic.wait(self.role),
                false => Duration::ZERO,
            };
            (state.mirrors[topic.index()].end(), wait)
        };
        let read = match from {
            Some(from) => journal.read(name, from, wait).await?,
            None => ReadOutcome::Gap,
        };
        match read {
            ReadOutcome::Records(batch) => {
                let written = {
                    let state = self.state();
                    let followed = state.reachable[topic.index()];
                    state.confirmation.written(now(), asked, wait, followed)
                };
                self.apply(topic, batch, Mirror::extend, written);
            }
            ReadOutcome::Gap => {
                let batch = journal.newest(name).await?;
                let written = self.state().confirmation.at().unwrap_or_default();
                self.apply(topic, batch, Mirror::reset, written);
            }
        }
        if topic == Topic::Fleet {
            self.state().confirmation.confirm(asked);
        }
        Ok(())
    }
}
