use std::collections::HashMap;
use std::net::{IpAddr, SocketAddr};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use dispatch::{Confirmation, FleetView, Mirror, Standing, ViewChange};
use domain::{
    Moment, NodeSettings, Platform, Record, RecordBatch, RecordStore, StoreError, VmId, now,
};
use event_listener::{Event, EventListener};
use serde_json::json;
use telemetry::{Outcome, decision};
use transport::Pool;

use crate::Member;
use crate::topic::{Role, Topic};

#[derive(Debug)]
pub(crate) struct State {
    pub(crate) mirrors: [Mirror; 3],
    pub(crate) view: FleetView,
    pub(crate) confirmation: Confirmation,
    pub(crate) members: HashMap<VmId, Member>,
    pub(crate) reachable: [bool; 3],
}

/// The platform's records as this process knows them.
pub struct Feed<P> {
    pub(crate) platform: P,
    pub(crate) node: NodeSettings,
    pub(crate) role: Role,
    state: Mutex<State>,
    pub(crate) pool: Pool,
    changed: Event,
    sink: Box<dyn Fn(&ViewChange) + Send + Sync>,
}

impl<P: Platform> Feed<P> {
    /// A feed for a process on `node`; `sink` hears of every change.
    pub fn new(
        platform: P,
        node: NodeSettings,
        role: Role,
        sink: impl Fn(&ViewChange) + Send + Sync + 'static,
    ) -> Self {
        Feed {
            state: Mutex::new(State {
                mirrors: Default::default(),
                view: FleetView::default(),
                confirmation: Confirmation::new(node.bounds.revocation),
                members: HashMap::new(),
                reachable: [true; 3],
            }),
            platform,
            node,
            role,
            pool: Pool::default(),
            changed: Event::new(),
            sink: Box::new(sink),
        }
    }

    /// VM of this process.
    pub fn vm(&self) -> &VmId {
        &self.node.vm
    }

    /// Reads something of the view.
    pub fn view<T>(&self, read: impl FnOnce(&FleetView) -> T) -> T {
        read(&self.state().view)
    }

    /// What the configuration is good for now.
    pub fn config_status(&self) -> Standing {
        self.state().confirmation.standing(now())
    }

    /// Version of the configuration and the age of its confirmation.
    pub fn config_age(&self) -> (Option<u64>, Option<Duration>) {
        let state = self.state();
        let at = state.confirmation.at();
        let age = at.map(|at| now().saturating_sub(at));
        (state.view.plan().map(|p| p.version), age)
    }

    /// Resolves with the next change.
    pub fn listen(&self) -> EventListener {
        self.changed.listen()
    }

    /// Wakes whoever listens.
    pub(crate) fn changed(&self) {
        self.changed.notify(usize::MAX);
    }

    /// The entries that have announced themselves, without this process.
    pub fn members(&self) -> Vec<Member> {
        let state = self.state();
        let others = state.members.values().filter(|m| m.vm != self.node.vm);
        others.cloned().collect()
    }

    /// Announces this process as an entry, or takes the announcement back.
    pub async fn announce(&self, member: Option<&Member>) -> Result<(), StoreError> {
        let value = member.and_then(|m| rmp_serde::to_vec(m).ok());
        let topic = self.platform.member_topic();
        let journal = self.platform.store();
        journal.put(topic, &self.node.vm, value.as_deref()).await
    }

    /// Takes over records that were written at `written` at the earliest.
    pub(crate) fn apply(
        &self,
        topic: Topic,
        batch: RecordBatch,
        merge: fn(&mut Mirror, RecordBatch) -> Vec<Record>,
        written: Moment,
    ) {
        let mut changes = Vec::new();
        {
            let mut state = self.state();
            let state = &mut *state;
            for change in merge(&mut state.mirrors[topic.index()], batch) {
                changes.extend(self.decode(state, topic, &change, written));
            }
        }
        self.tell(changes);
    }

    fn decode(
        &self,
        state: &mut State,
        topic: Topic,
        change: &Record,
        written: Moment,
    ) -> Option<ViewChange> {
        let now = now();
        let (key, value) = (change.key.as_str(), change.value.as_ref());
        match topic {
            Topic::Fleet => {
                let record = value.map(|v| self.platform.fleet_record(key, v));
                let record = usable(record.transpose())?;
                state.view.fleet_record(written, key, record)
            }
            Topic::Upstreams => {
                let entry = value.map(|v| self.platform.upstream(key, v));
                let entry = usable(entry.transpose())?;
                state.view.upstream_record(now, key, entry)
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

    /// Lets go of upstreams that have not come back after an outage of the store.
    pub fn expire_upstreams(&self) {
        let gone = self.state().view.expire(now());
        self.tell(gone.into_iter().map(ViewChange::Gone).collect());
    }

    pub(crate) fn tell(&self, changes: Vec<ViewChange>) {
        for change in &changes {
            log_change(change);
            (self.sink)(change);
        }
        if !changes.is_empty() {
            self.changed();
        }
    }

    /// Address at which a process on another VM answers.
    pub fn peer_addr(&self, ip: IpAddr) -> SocketAddr {
        SocketAddr::new(ip, self.node.peer_port)
    }

    pub(crate) fn note_reachable(&self, topic: Topic, error: Option<&StoreError>) {
        let mut state = self.state();
        let reachable = error.is_none();
        if topic == Topic::Upstreams {
            let bound = self.node.bounds.weight_rollout;
            state.view.store_reachable(now(), reachable, bound);
        }
        let was = std::mem::replace(&mut state.reachable[topic.index()], reachable);
        drop(state);
        if was == reachable {
            return;
        }
        let up = f64::from(u8::from(reachable));
        metrics::gauge!("turmerichold_store_reachable", "topic" => self.name(topic)).set(up);
        let what = if reachable { "regained" } else { "lost" };
        let fields = json!({
            "topic": self.name(topic),
            "error": error.map(ToString::to_string),
        });
        decision("store", what, Outcome::Change, fields);
    }

    pub(crate) fn name(&self, topic: Topic) -> &'static str {
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

/// Leaves out a record that does not decode, with a log line.
fn usable<T>(record: Result<Option<T>, domain::BadRecord>) -> Option<Option<T>> {
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

fn log_change(change: &ViewChange) {
    if let ViewChange::Plan(version) = change {
        metrics::gauge!("turmerichold_plan_version").set(*version as f64);
    }
    let (what, fields) = match change {
        ViewChange::Plan(version) => ("plan", json!({ "version": version })),
        ViewChange::Domain(domain, true) => ("domain back", json!({ "failure_domain": domain })),
        ViewChange::Domain(domain, false) => ("domain out", json!({ "failure_domain": domain })),
        ViewChange::Weights(model, v) => ("weights", json!({ "model": model, "version": v })),
        ViewChange::Listed(id) => ("upstream listed", json!({ "upstream": id })),
        ViewChange::Gone(id) => ("upstream gone", json!({ "upstream": id })),
        ViewChange::Lapsed(id) => ("upstream lapsed", json!({ "upstream": id })),
    };
    decision("feed", what, Outcome::Change, fields);
}
