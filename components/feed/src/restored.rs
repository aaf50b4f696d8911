use std::time::Duration;

use dispatch::{ViewChange, WriteBasis, WriteTime};
use domain::{Moment, Platform, Record, RecordBatch, now};
use serde_json::json;
use telemetry::{Outcome, decision};

use crate::Feed;
use crate::feed::{State, skip_invalid};
use crate::topic::Topic;

/// Time after a return of the store from an older copy in which operators, upstreams and
/// entries write again what it lost.
const REWRITE_TIME: Duration = Duration::from_secs(10);

/// Time after such a return in which operators remove again what was removed. A record that
/// is held back for longer may be new, and an evacuation has to be in force within its bound.
const REMOVAL_TIME: Duration = Duration::from_millis(2200);

/// Records after the store came back from an older copy.
impl<P: Platform> Feed<P> {
    /// Applies the state of a newer era. What was known stays in force where the state is
    /// older; what is missing in it gets time to be written again.
    pub(crate) fn apply_restored(
        &self,
        state: &mut State,
        topic: Topic,
        batch: RecordBatch,
        written: WriteTime,
    ) -> Vec<ViewChange> {
        let now = now();
        let mirror = &mut state.mirrors[topic.index()];
        let (known_era, known_end) = (mirror.era(), mirror.end());
        let (era, end, held) = (batch.era, batch.end, batch.records.len());
        let restored = mirror.restore(batch);
        metrics::gauge!("turmerichold_store_era", "topic" => self.topic_name(topic))
            .set(era as f64);
        let fields = json!({
            "topic": self.topic_name(topic),
            "era": era,
            "known_era": known_era,
            "end": end,
            "known_end": known_end,
            "held": held,
            "removed": held - restored.records.len(),
            "lost": restored.lost,
        });
        decision("feed", "store restored", Outcome::Change, fields);
        state.settle_at[topic.index()] = Some(now + REWRITE_TIME);
        if topic == Topic::Fleet {
            state.stored_config = None;
            state.release_at = Some(now + REMOVAL_TIME);
        }
        let mut changes = self.apply_held(state, topic, &restored.records, written);
        if topic == Topic::Upstreams {
            let lost = restored.lost.iter();
            changes.extend(lost.filter_map(|id| state.view.lapse_lost_upstream(now, id)));
        }
        changes
    }

    /// Applies records that may be older than the ones known.
    fn apply_held(
        &self,
        state: &mut State,
        topic: Topic,
        records: &[Record],
        written: WriteTime,
    ) -> Vec<ViewChange> {
        let mut changes = Vec::new();
        for record in records {
            let (key, value) = (record.key.as_str(), record.value.as_ref());
            changes.extend(match (topic, value) {
                (Topic::Upstreams, Some(value)) => {
                    let upstream = self.platform.upstream(key, value);
                    let upstream = skip_invalid(upstream.map(Some)).flatten();
                    upstream.and_then(|u| state.view.apply_restored_upstream(now(), u))
                }
                _ => self.apply_record(state, topic, record, written),
            });
        }
        changes
    }

    /// Applies the operators' records of a copy that were held back as removed, once they
    /// should have been removed again.
    pub(crate) fn release(&self) {
        let (changes, released) = {
            let mut state = self.state();
            let state = &mut *state;
            if state.release_at.take_if(|at| *at <= now()).is_none() {
                return;
            }
            let records = state.mirrors[Topic::Fleet.index()].release();
            let written = state.freshness.since_last_read(WriteBasis::Newest);
            let changes = self.apply_held(state, Topic::Fleet, &records, written);
            (changes, records.len())
        };
        if released > 0 {
            let fields = json!({ "topic": self.topic_name(Topic::Fleet), "released": released });
            decision("feed", "records released", Outcome::Change, fields);
        }
        self.publish(changes);
    }

    /// Applies what the store holds once what a copy lost should have been written again.
    /// The records were last read at `read_at`: what was written before is known.
    pub(crate) fn settle(&self, topic: Topic, read_at: Moment) {
        let changes = {
            let mut state = self.state();
            let state = &mut *state;
            let settle_at = &mut state.settle_at[topic.index()];
            if settle_at.take_if(|at| *at <= read_at).is_none() {
                return;
            }
            let records = state.mirrors[topic.index()].settle();
            if topic == Topic::Upstreams {
                state.view.forget_departed();
            }
            let written = state.freshness.since_last_read(WriteBasis::Newest);
            self.apply_held(state, topic, &records, written)
        };
        let fields = json!({ "topic": self.topic_name(topic), "changed": changes.len() });
        decision("feed", "store settled", Outcome::Change, fields);
        self.publish(changes);
    }
}
