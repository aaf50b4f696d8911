use std::collections::HashMap;
use std::net::{IpAddr, SocketAddr};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use dispatch::{Confirmation, FleetView, Mirror, Standing, ViewChange};
use domain::{
    Batch, Change, Journal, JournalError, ModelId, Moment, NodePlace, Platform, Read, VmId, millis,
    now,
};
use event_listener::{Event, EventListener};
use http::Method;
use serde_json::json;
use smol::Timer;
use telemetry::{Outcome, decision};
use transport::{Pool, fetch};

use crate::Member;
use crate::peer_messages::{RECORDS_PATH, RecordsAnswer, RecordsQuestion};

/// First pause after a failed call to the store.
const FAILURE_PAUSE: Duration = Duration::from_millis(150);
/// Longest pause after failed calls; below the bound on changes of the plan.
const MAX_FAILURE_PAUSE: Duration = Duration::from_millis(600);
/// Longest wait for a peer.
const PEER_LIMIT: Duration = Duration::from_millis(400);
/// Peers asked when the store fails.
const PEERS_ASKED: usize = 2;
/// Longest answer of a peer, in bytes.
const PEER_ANSWER_LIMIT: usize = 8 << 20;

/// Age of a peer's confirmation up to which it can read the store.
const PEER_FRESH: Duration = Duration::from_millis(2400);
/// Questions for the ages of versions after the start.
const AGE_QUESTIONS: usize = 8;
/// Pause before each of them.
const AGE_PAUSE: Duration = Duration::from_millis(250);

/// Which records a process follows, and how closely.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Role {
    /// Everything, closely.
    Entry,
    /// Declared versions and other agents.
    Agent,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Topic {
    Fleet,
    Upstreams,
    Members,
}

const TOPICS: [Topic; 3] = [Topic::Fleet, Topic::Upstreams, Topic::Members];

#[derive(Debug)]
struct State {
    mirrors: [Mirror; 3],
    view: FleetView,
    confirmation: Confirmation,
    members: HashMap<VmId, Member>,
    reachable: [bool; 3],
}

/// The platform's records as this process knows them.
pub struct Feed<P> {
    platform: P,
    node: NodePlace,
    role: Role,
    state: Mutex<State>,
    pool: Pool,
    changed: Event,
    sink: Box<dyn Fn(&ViewChange) + Send + Sync>,
}

impl<P: Platform> Feed<P> {
    /// A feed for a process on `node`; `sink` hears of every change.
    pub fn new(
        platform: P,
        node: NodePlace,
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
    pub fn standing(&self) -> Standing {
        self.state().confirmation.standing(now())
    }

    /// Version of the configuration and the age of its confirmation.
    pub fn plan_age(&self) -> (Option<u64>, Option<Duration>) {
        let state = self.state();
        let at = state.confirmation.at();
        let age = at.map(|at| now().saturating_sub(at));
        (state.view.plan().map(|p| p.version), age)
    }

    /// Resolves with the next change.
    pub fn listen(&self) -> EventListener {
        self.changed.listen()
    }

    /// The entries that have announced themselves, without this process.
    pub fn members(&self) -> Vec<Member> {
        let state = self.state();
        let others = state.members.values().filter(|m| m.vm != self.node.vm);
        others.cloned().collect()
    }

    /// Announces this process as an entry, or takes the announcement back.
    pub async fn announce(&self, member: Option<&Member>) -> Result<(), JournalError> {
        let value = member.and_then(|m| rmp_serde::to_vec(m).ok());
        let topic = self.platform.member_topic();
        let journal = self.platform.journal();
        journal.put(topic, &self.node.vm, value.as_deref()).await
    }

    /// Follows all topics until the task is dropped.
    pub async fn follow(self: Arc<Self>) {
        let others: Vec<_> = TOPICS
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
            // Entries tell agents what has no hurry; their answers are not paid.
            if self.role == Role::Agent && topic != Topic::Fleet && self.ask_peers().await {
                Timer::after(self.rest(topic)).await;
                continue;
            }
            match self.read(topic).await {
                Ok(()) => {
                    pause = FAILURE_PAUSE;
                    self.note_reachable(topic, None);
                    Timer::after(self.rest(topic)).await;
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

    async fn read(&self, topic: Topic) -> Result<(), JournalError> {
        let asked = now();
        let journal = self.platform.journal();
        let name = self.name(topic);
        let (from, wait) = {
            let state = self.state();
            // The first read after a failure brings the backlog and nothing else:
            // what a waiting read brings later is news, not a lapse.
            let wait = match state.reachable[index(topic)] {
                true => self.wait(topic),
                false => Duration::ZERO,
            };
            (state.mirrors[index(topic)].end(), wait)
        };
        let read = match from {
            Some(from) => journal.read(name, from, wait).await?,
            None => Read::Gap,
        };
        match read {
            Read::Records(batch) => {
                let written = {
                    let state = self.state();
                    let followed = state.reachable[index(topic)];
                    state.confirmation.written(now(), asked, wait, followed)
                };
                self.apply(topic, batch, Mirror::extend, written);
            }
            Read::Gap => {
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

    /// Takes over records that were written at `written` at the earliest.
    fn apply(
        &self,
        topic: Topic,
        batch: Batch,
        merge: fn(&mut Mirror, Batch) -> Vec<Change>,
        written: Moment,
    ) {
        let mut changes = Vec::new();
        {
            let mut state = self.state();
            let state = &mut *state;
            for change in merge(&mut state.mirrors[index(topic)], batch) {
                changes.extend(self.decode(state, topic, &change, written));
            }
        }
        self.tell(changes);
    }

    fn decode(
        &self,
        state: &mut State,
        topic: Topic,
        change: &Change,
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
    pub fn expire(&self) {
        let gone = self.state().view.expire(now());
        self.tell(gone.into_iter().map(ViewChange::Gone).collect());
    }

    fn tell(&self, changes: Vec<ViewChange>) {
        for change in &changes {
            log_change(change);
            (self.sink)(change);
        }
        if !changes.is_empty() {
            self.changed.notify(usize::MAX);
        }
    }

    /// Takes what is missing from other entries; false when none answers.
    async fn ask_peers(&self) -> bool {
        let mut peers: Vec<SocketAddr> = self.members().iter().map(|m| m.addr).collect();
        for seed in &self.node.seeds {
            let addr = SocketAddr::new(seed.ip(), self.node.port);
            if seed.ip() != self.node.ip && !peers.contains(&addr) {
                peers.push(addr);
            }
        }
        fastrand::shuffle(&mut peers);
        for addr in peers.into_iter().take(PEERS_ASKED) {
            match self.ask(addr).await {
                Ok(()) => return true,
                Err(e) => log::debug!("feed: peer {addr} did not help: {e:#}"),
            }
        }
        false
    }

    async fn ask(&self, addr: SocketAddr) -> anyhow::Result<()> {
        let asked = now();
        let from = {
            let state = self.state();
            [0, 1, 2].map(|i: usize| state.mirrors[i].end().unwrap_or(0))
        };
        let body = Bytes::from(rmp_serde::to_vec(&RecordsQuestion { from })?);
        let (method, limit) = (Method::POST, PEER_LIMIT);
        let answer = fetch(
            &self.pool,
            addr,
            method,
            RECORDS_PATH,
            body,
            limit,
            PEER_ANSWER_LIMIT,
        )
        .await?;
        anyhow::ensure!(answer.status == 200, "status {}", answer.status);
        let records: RecordsAnswer = rmp_serde::from_slice(&answer.body)?;
        for (topic, batch) in TOPICS.into_iter().zip(records.topics) {
            let Some(batch) = batch else { continue };
            let written = self.state().confirmation.at().unwrap_or_default();
            self.apply(topic, batch.into(), Mirror::extend, written);
        }
        self.learn_declared(asked, &records.declared);
        if let Some(age) = records.age {
            if Duration::from_millis(age) < PEER_FRESH {
                self.state().view.store_elsewhere(asked);
            }
            // The peer's age counts from when it was asked at the earliest.
            let at = asked.saturating_sub(Duration::from_millis(age));
            self.state().confirmation.confirm(at);
        }
        Ok(())
    }

    fn learn_declared(&self, asked: Moment, declared: &[(ModelId, Vec<(u64, u64)>)]) {
        let mut state = self.state();
        for (model, versions) in declared {
            let moment =
                |(v, age): &(u64, u64)| (*v, asked.saturating_sub(Duration::from_millis(*age)));
            let versions: Vec<_> = versions.iter().map(moment).collect();
            state.view.declared_elsewhere(model, &versions);
        }
    }

    /// Asks peers when versions were declared that were so before the start of
    /// this process.
    async fn learn_ages(self: Arc<Self>) {
        for _ in 0..AGE_QUESTIONS {
            Timer::after(AGE_PAUSE).await;
            let unknown = self.view(|v| {
                let mut versions = v.all_declared().flat_map(|(_, l)| l.iter());
                versions.any(|(_, at)| at.is_zero())
            });
            if unknown {
                self.ask_peers().await;
            }
        }
    }

    /// Answers a peer's question for records.
    pub(crate) fn answer(&self, question: &RecordsQuestion) -> RecordsAnswer {
        let state = self.state();
        let topics = [0, 1, 2].map(|i: usize| {
            let batch = state.mirrors[i].since(question.from[i]);
            batch.map(Into::into)
        });
        let age = state
            .confirmation
            .at()
            .map(|at: Moment| now().saturating_sub(at));
        let ages = |versions: &[(u64, Moment)]| {
            let known = versions.iter().filter(|(_, at)| !at.is_zero());
            known
                .map(|(v, at)| (*v, millis(now().saturating_sub(*at))))
                .collect()
        };
        let declared = state.view.all_declared();
        let declared = declared.map(|(m, list)| (m.clone(), ages(list))).collect();
        RecordsAnswer {
            topics,
            declared,
            age: age.map(millis),
        }
    }

    /// Address at which a process on another VM answers.
    pub fn peer_addr(&self, ip: IpAddr) -> SocketAddr {
        SocketAddr::new(ip, self.node.port)
    }

    fn note_reachable(&self, topic: Topic, error: Option<&JournalError>) {
        let mut state = self.state();
        let reachable = error.is_none();
        if topic == Topic::Upstreams {
            let bound = self.node.bounds.weights;
            state.view.store_reachable(now(), reachable, bound);
        }
        let was = std::mem::replace(&mut state.reachable[index(topic)], reachable);
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

    /// How long a read waits for records.
    fn wait(&self, topic: Topic) -> Duration {
        match (self.role, topic) {
            // Each answer confirms the configuration, so it may not take long.
            (Role::Entry, Topic::Fleet) => Duration::from_millis(900),
            (Role::Entry, _) => Duration::from_millis(4000),
            (Role::Agent, Topic::Fleet) => Duration::from_millis(5000),
            (Role::Agent, _) => Duration::from_millis(15_000),
        }
    }

    /// Pause between two reads, so that records which come one by one are read
    /// in batches.
    fn rest(&self, topic: Topic) -> Duration {
        match (self.role, topic) {
            (Role::Entry, Topic::Fleet) => Duration::from_millis(30),
            (Role::Entry, Topic::Upstreams) => Duration::from_millis(600),
            (Role::Entry, Topic::Members) => Duration::from_millis(700),
            (Role::Agent, Topic::Fleet) => Duration::from_millis(30),
            (Role::Agent, Topic::Upstreams) => Duration::from_millis(1500),
            // Asked for together with the upstreams.
            (Role::Agent, Topic::Members) => Duration::from_secs(30),
        }
    }

    fn name(&self, topic: Topic) -> &'static str {
        match topic {
            Topic::Fleet => self.platform.fleet_topic(),
            Topic::Upstreams => self.platform.upstream_topic(),
            Topic::Members => self.platform.member_topic(),
        }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn index(topic: Topic) -> usize {
    match topic {
        Topic::Fleet => 0,
        Topic::Upstreams => 1,
        Topic::Members => 2,
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
