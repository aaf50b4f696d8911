use std::cmp::Ordering;
use std::collections::HashMap;
use std::net::{IpAddr, SocketAddr};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use dispatch::{
    ConfigFreshness, ConfigStatus, FleetView, Mirror, Pulse, ViewChange, WriteBasis, WriteTime,
};
use domain::{
    Era, FleetRecord, ModelId, Moment, NodeSettings, Platform, Record, RecordBatch, RecordStore,
    StoreError, VmId, WeightVersion, millis, now,
};
use event_listener::{Event, EventListener};
use serde_json::json;
use telemetry::{Outcome, decision};
use transport::Pool;

use crate::Member;
use crate::batch::{BatchKind, BatchResult};
use crate::topic::{Role, Topic};

#[derive(Debug)]
pub(crate) struct State {
    /// Records of each topic, by [`Topic::index`].
    pub(crate) mirrors: [Mirror; 3],
    pub(crate) view: FleetView,
    pub(crate) freshness: ConfigFreshness,
    pub(crate) pulse: Pulse,
    pub(crate) members: HashMap<VmId, Member>,
    /// Whether the last read of each topic succeeded, by [`Topic::index`].
    pub(crate) reachable: [bool; 3],
    /// Until when the records of each topic may be missing or older than those known,
    /// after a return of the store from a copy, by [`Topic::index`].
    pub(crate) settle_at: [Option<Moment>; 3],
    /// Until when the operators' records in that copy may be such that were removed.
    pub(crate) release_at: Option<Moment>,
    /// Whether the last read of the operators' records returned some.
    pub(crate) has_backlog: bool,
    /// Version of the configuration that the store last returned.
    pub(crate) stored_config: Option<u64>,
}

impl State {
    /// Whether the store lost the configuration in force, which is not written again yet:
    /// a newer one may be lost as well.
    pub(crate) fn config_is_lost(&self) -> bool {
        let known = self.view.config().map(|c| c.version);
        self.settle_at[Topic::Fleet.index()].is_some() && self.stored_config < known
    }
}

/// Copy of the platform's records in this process, kept up to date from the store or
/// from other processes.
pub struct Feed<P> {
    pub(crate) platform: P,
    pub(crate) node: NodeSettings,
    pub(crate) role: Role,
    state: Mutex<State>,
    pub(crate) pool: Pool,
    changed: Event,
    on_change: Box<dyn Fn(&ViewChange) + Send + Sync>,
}

impl<P: Platform> Feed<P> {
    /// Creates a feed for a process on `node`; `on_change` is called with each
    /// change.
    pub fn new(
        platform: P,
        node: NodeSettings,
        role: Role,
        on_change: impl Fn(&ViewChange) + Send + Sync + 'static,
    ) -> Self {
        Feed {
            state: Mutex::new(State {
                mirrors: Default::default(),
                view: FleetView::default(),
                freshness: ConfigFreshness::new(node.bounds.revocation),
                pulse: Pulse::default(),
                members: HashMap::new(),
                reachable: [true; 3],
                settle_at: [None; 3],
                release_at: None,
                has_backlog: false,
                stored_config: None,
            }),
            platform,
            node,
            role,
            pool: Pool::default(),
            changed: Event::new(),
            on_change: Box::new(on_change),
        }
    }

    /// VM of this process.
    pub fn vm(&self) -> &VmId {
        &self.node.vm
    }

    /// Passes the view to `read` while holding its lock.
    pub fn view<T>(&self, read: impl FnOnce(&FleetView) -> T) -> T {
        read(&self.state().view)
    }

    /// Whether the configuration may still be used, by the age of its last confirmation.
    pub fn config_status(&self) -> ConfigStatus {
        self.state().freshness.status(now())
    }

    /// Version of the configuration and the time since its last confirmation.
    pub fn config_age(&self) -> (Option<u64>, Option<Duration>) {
        let state = self.state();
        let confirmed_at = state.freshness.confirmed_at();
        let age = confirmed_at.map(|at| now().saturating_sub(at));
        (state.view.config().map(|c| c.version), age)
    }

    /// Returns a listener that resolves on the next change.
    pub fn listen(&self) -> EventListener {
        self.changed.listen()
    }

    /// Wakes all listeners.
    pub(crate) fn notify(&self) {
        self.changed.notify(usize::MAX);
    }

    /// Entries that have announced themselves, except the one on this VM.
    pub fn members(&self) -> Vec<Member> {
        let state = self.state();
        let others = state.members.values().filter(|m| m.vm != self.node.vm);
        others.cloned().collect()
    }

    /// Number of entries, this one included: the announced ones, or the seeds if they
    /// are more. `None` until the announcements were read.
    pub fn entry_count(&self) -> Option<usize> {
        let state = self.state();
        state.mirrors[Topic::Members.index()].end()?;
        let announced = state.members.values().filter(|m| m.vm != self.node.vm);
        let seeds = self.node.seeds.iter().filter(|s| s.ip() != self.node.ip);
        Some(announced.count().max(seeds.count()) + 1)
    }

    /// Announces this process as an entry; `None` withdraws the announcement.
    pub async fn announce(&self, member: Option<&Member>) -> Result<Era, StoreError> {
        let value = member.and_then(|m| rmp_serde::to_vec(m).ok());
        let topic = self.platform.member_topic();
        let store = self.platform.store();
        store.put(topic, &self.node.vm, value.as_deref()).await
    }

    /// Waits until a newer era of the store than `era` has been seen.
    pub async fn until_newer_era(&self, era: Era) {
        self.platform.store().until_newer_era(era).await;
    }

    /// Applies records that were written at `written` or later, unless they are of an older
    /// era than those known.
    pub(crate) fn apply(
        &self,
        topic: Topic,
        batch: RecordBatch,
        kind: BatchKind,
        written: WriteTime,
    ) -> BatchResult {
        let (result, changes) = {
            let mut state = self.state();
            let state = &mut *state;
            let mirror = &mut state.mirrors[topic.index()];
            let loaded = mirror.end().is_some();
            match (batch.era.cmp(&mirror.era()), kind) {
                (Ordering::Less, _) if loaded => (BatchResult::OlderEra, Vec::new()),
                (Ordering::Greater, BatchKind::Records) => (BatchResult::NewerEra, Vec::new()),
                (Ordering::Greater, BatchKind::State) if loaded => {
                    let changes = self.apply_restored(state, topic, batch, written);
                    (BatchResult::Applied, changes)
                }
                _ => {
                    let changes = self.apply_current(state, topic, batch, kind, written);
                    (BatchResult::Applied, changes)
                }
            }
        };
        if result != BatchResult::Applied {
            let fields = json!({ "topic": self.topic_name(topic), "result": result.name() });
            decision("feed", "records dropped", Outcome::Change, fields);
        }
        self.publish(changes);
        result
    }

    /// Applies records of the era of those known.
    fn apply_current(
        &self,
        state: &mut State,
        topic: Topic,
        batch: RecordBatch,
        kind: BatchKind,
        written: WriteTime,
    ) -> Vec<ViewChange> {
        let mirror = &mut state.mirrors[topic.index()];
        let known_end = mirror.end();
        let (era, end, topic_end) = (batch.era, batch.end, batch.topic_end);
        let changed = match kind {
            BatchKind::State => mirror.reset(batch),
            BatchKind::Records => mirror.extend(batch),
        };
        if !changed.is_empty() || Some(end) < known_end {
            let fields = json!({
                "topic": self.topic_name(topic),
                "era": era,
                "end": end,
                "topic_end": topic_end,
                "known_end": known_end,
                "changed": changed.len(),
            });
            decision("feed", "records", Outcome::Change, fields);
        }
        let changed = changed.iter();
        changed
            .filter_map(|record| self.apply_record(state, topic, record, written))
            .collect()
    }

    pub(crate) fn apply_record(
        &self,
        state: &mut State,
        topic: Topic,
        record: &Record,
        written: WriteTime,
    ) -> Option<ViewChange> {
        let now = now();
        let (key, value) = (record.key.as_str(), record.value.as_ref());
        match topic {
            Topic::Fleet => {
                let record = value.map(|v| self.platform.fleet_record(key, v));
                let record = skip_invalid(record.transpose())?;
                if let Some(FleetRecord::Config(config)) = &record {
                    state.stored_config = Some(config.version);
                }
                let change = state.view.apply_fleet_record(written.at, key, record);
                if let Some(ViewChange::Weights(model, version)) = &change {
                    log_bound(&state.view, model, *version, written.at, written.basis);
                }
                change
            }
            Topic::Upstreams => {
                let upstream = value.map(|v| self.platform.upstream(key, v));
                let upstream = skip_invalid(upstream.transpose())?;
                state.view.apply_upstream_record(now, key, upstream)
            }
            Topic::Members => {
                match value.map(|v| rmp_serde::from_slice::<Member>(v)) {
                    Some(Ok(member)) => {
                        state.members.insert(key.into(), member);
                    }
                    Some(Err(e)) => log::warn!("feed: member {key} does not decode: {e}"),
                    None => {
                        state.members.remove(key);
                    }
                }
                None
            }
        }
    }

    /// Removes upstreams whose records disappeared in an outage of the store and were not
    /// written again in time.
    pub fn expire_upstreams(&self) {
        let expired = self.state().view.expire(now());
        self.publish(expired.into_iter().map(ViewChange::Removed).collect());
    }

    /// Logs changes, passes them to the callback and wakes all listeners.
    pub(crate) fn publish(&self, changes: Vec<ViewChange>) {
        for change in &changes {
            log_change(change);
            (self.on_change)(change);
        }
        if !changes.is_empty() {
            self.notify();
        }
    }

    /// Address at which a process on another VM serves its peers.
    pub fn peer_addr(&self, ip: IpAddr) -> SocketAddr {
        SocketAddr::new(ip, self.node.peer_port)
    }

    /// Records whether the last read of a topic succeeded, and logs when this changes.
    pub(crate) fn record_reachable(&self, topic: Topic, error: Option<&StoreError>) {
        let mut state = self.state();
        let reachable = error.is_none();
        if topic == Topic::Upstreams {
            state.view.set_store_reachable(now(), reachable);
        }
        let was_reachable = std::mem::replace(&mut state.reachable[topic.index()], reachable);
        drop(state);
        if was_reachable == reachable {
            return;
        }
        let up = f64::from(u8::from(reachable));
        metrics::gauge!("turmerichold_store_reachable", "topic" => self.topic_name(topic)).set(up);
        let what = if reachable { "regained" } else { "lost" };
        let fields = json!({
            "topic": self.topic_name(topic),
            "error": error.map(ToString::to_string),
        });
        decision("store", what, Outcome::Change, fields);
    }

    /// Pauses the bounds of versions while neither this process nor a peer that it asks
    /// can read the operators' records, and restarts them afterwards. A single read
    /// that fails says nothing about the store. Agents count as their entries do.
    pub(crate) fn update_bounds(&self) {
        if self.role == Role::Agent {
            return;
        }
        let now = now();
        let mut state = self.state();
        let state = &mut *state;
        if state.freshness.is_outage(now, state.pulse.resumed(now)) {
            if state
                .view
                .pause_bounds(now, self.node.bounds.weight_rollout)
            {
                let age = state
                    .freshness
                    .confirmed_at()
                    .map(|at| now.saturating_sub(at));
                let fields = json!({ "confirmed_ms_ago": age.map(millis) });
                decision("feed", "bounds paused", Outcome::Change, fields);
            }
        } else if let Some(confirmed_at) = state.freshness.confirmed_at()
            && let Some(pause) = state.view.restart_bounds(now, confirmed_at)
        {
            let fields = json!({ "paused_ms": millis(pause) });
            decision("feed", "bounds restarted", Outcome::Change, fields);
        }
    }

    pub(crate) fn topic_name(&self, topic: Topic) -> &'static str {
        match topic {
            Topic::Fleet => self.platform.fleet_topic(),
            Topic::Upstreams => self.platform.upstream_topic(),
            Topic::Members => self.platform.member_topic(),
        }
    }

    pub(crate) fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Logs and skips a record that does not decode.
pub(crate) fn skip_invalid<T>(record: Result<Option<T>, domain::BadRecord>) -> Option<Option<T>> {
    match record {
        Ok(record) => Some(record),
        Err(e) => {
            decision(
                "feed",
                "bad record",
                Outcome::Failure,
                json!({ "error": e.to_string() }),
            );
            None
        }
    }
}

/// Logs from when the bound of a declared version is counted.
pub(crate) fn log_bound(
    view: &FleetView,
    model: &ModelId,
    version: WeightVersion,
    at: Moment,
    basis: WriteBasis,
) {
    let age = |at: Moment| millis(now().saturating_sub(at));
    let fields = json!({
        "model": model,
        "version": version,
        "declared_ms_ago": (!at.is_zero()).then(|| age(at)),
        "counted_ms_ago": (!at.is_zero()).then(|| age(view.bound_start(at))),
        "basis": basis.name(),
    });
    decision("feed", "version bound", Outcome::Change, fields);
}

fn log_change(change: &ViewChange) {
    if let ViewChange::Config(version) = change {
        metrics::gauge!("turmerichold_plan_version").set(*version as f64);
    }
    let (what, fields) = match change {
        ViewChange::Config(version) => ("plan", json!({ "version": version })),
        ViewChange::Domain(domain, true) => ("domain back", json!({ "failure_domain": domain })),
        ViewChange::Domain(domain, false) => ("domain out", json!({ "failure_domain": domain })),
        ViewChange::Weights(model, v) => ("weights", json!({ "model": model, "version": v })),
        ViewChange::Listed(id) => ("upstream listed", json!({ "upstream": id })),
        ViewChange::Removed(id) => ("upstream gone", json!({ "upstream": id })),
        ViewChange::Lapsed(id) => ("upstream lapsed", json!({ "upstream": id })),
    };
    decision("feed", what, Outcome::Change, fields);
}
