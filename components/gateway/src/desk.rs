use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use async_channel::{Receiver, Sender, bounded};
use compact_str::CompactString;
use dispatch::{
    Admit, Choice, CrashWatch, FleetView, RepeatBudget, Room, RoomRules, Seat, SeatLoad, Seats,
    StartTime, Verdict, ViewChange, Waiter, Wanted,
};
use domain::{
    Moment, NodePlace, Platform, ServiceId, Target, UpstreamId, VmId, WeightVersion, now,
};
use feed::{EngineNotice, EntryNotice, Feed};
use serde_json::json;
use telemetry::{Outcome, decision};

use crate::hold::Hold;
use crate::job::Job;
use crate::shortage::Shortage;

/// Most requests of a service that wait at one entry.
const ROOM_PLACES: usize = 256;
/// An entry that has not been heard of for this long is gone.
const PEER_SILENCE: Duration = Duration::from_millis(1500);
/// Time before a bound on weight versions from which older ones get nothing:
/// a request may wait in the engine's queue before it begins.
const WEIGHTS_MARGIN: Duration = Duration::from_millis(1000);
/// Share by which the patience of callers differs; only who has less left than
/// that has been here before.
const PATIENCE_SPREAD: f64 = 0.16;
/// Time before that bound at which a request that has not begun is taken back.
const BEGIN_MARGIN: Duration = Duration::from_millis(150);
/// Longest wait of a request that can no longer be on time.
const LATE_WAIT: Duration = Duration::from_millis(500);
/// Advised wait where no upstream may serve a request: weights and restarts take
/// about this long.
const NOBODY_WAIT: Duration = Duration::from_millis(1200);
/// Crashes told to other entries again and again.
const CRASHES_TOLD: usize = 16;

/// What becomes of a request that asks for a place.
pub enum Placed<P: Platform> {
    /// It has one.
    At(Hold<P>),
    /// None is free in time, or none may serve it.
    Busy(Shortage),
}

struct Peer {
    start: u64,
    number: u64,
    heard: Moment,
    loads: HashMap<u32, SeatLoad>,
}

struct Ticket<P: Platform> {
    sender: Sender<Hold<P>>,
}

struct Service<P: Platform> {
    seats: Seats,
    room: Room,
    tickets: HashMap<u64, Ticket<P>>,
    budget: RepeatBudget,
}

struct State<P: Platform> {
    services: HashMap<ServiceId, Service<P>>,
    peers: HashMap<VmId, Peer>,
    engines: HashMap<std::net::SocketAddr, EngineNotice>,
    patience: HashMap<CompactString, Duration>,
    crashes: CrashWatch,
    charged: Vec<u64>,
    notices: u64,
}

/// Gives requests places at upstreams.
pub struct Desk<P: Platform> {
    feed: Arc<Feed<P>>,
    node: NodePlace,
    state: Mutex<State<P>>,
}

impl<P: Platform> Desk<P> {
    /// A desk of the entry on `node`.
    pub fn new(feed: Arc<Feed<P>>, node: NodePlace) -> Self {
        Desk {
            feed,
            node,
            state: Mutex::new(State {
                services: HashMap::new(),
                peers: HashMap::new(),
                engines: HashMap::new(),
                patience: HashMap::new(),
                crashes: CrashWatch::default(),
                charged: Vec::new(),
                notices: 0,
            }),
        }
    }

    /// Takes over a change of the fleet.
    pub fn changed(self: &Arc<Self>, change: &ViewChange) {
        match change {
            ViewChange::Listed(id) => self.list(id),
            ViewChange::Gone(id) => {
                for s in self.state().services.values_mut() {
                    s.seats.remove(id);
                }
            }
            ViewChange::Plan(_) => {
                let ids = self.feed.view(|v| {
                    let ids = v.upstreams().map(|u| u.id.clone());
                    ids.collect::<Vec<UpstreamId>>()
                });
                ids.iter().for_each(|id| self.list(id));
            }
            ViewChange::Domain(..) | ViewChange::Weights(..) | ViewChange::Lapsed(_) => {}
        }
        self.pump_all();
    }

    fn list(&self, id: &str) {
        let Some(upstream) = self.feed.view(|v| v.upstream(id).cloned()) else {
            return;
        };
        let rate = self.cold_rate(&upstream.service);
        let engine = self.feed.view(|v| {
            let spec = v.plan()?.services.get(&upstream.service)?;
            spec.engine.clone()
        });
        let region = self.node.region_of(&upstream.domain).to_owned();
        let mut state = self.state();
        let service = state.service(&upstream.service, &self.node);
        service.seats.set_cold_rate(rate);
        service.seats.set_start_time(StartTime::new(engine));
        service.seats.list(now(), &upstream, &region, tag_of(id));
        state.share_loads();
    }

    /// Requests a second that this entry may send to a cold upstream: its share
    /// of the bound, whichever entries live.
    fn cold_rate(&self, service: &str) -> Option<f64> {
        let rate = self.feed.view(|v| {
            let plan = v.plan()?;
            plan.services.get(service).map(|s| s.cold_rate)
        })?;
        let bounds = &self.node.bounds;
        let entries = f64::from(u32::try_from(self.entries()).unwrap_or(u32::MAX));
        let all = rate * bounds.cold_factor + bounds.cold_slack;
        (rate > 0.0).then_some((all / entries).floor().max(1.0))
    }

    /// Entries that may be sending, this one included.
    fn entries(&self) -> usize {
        self.feed.members().len() + 1
    }

    /// When the first attempt of a request was sent, as far as its patience
    /// tells: callers who come back have less of it left.
    pub fn first_sent(&self, route: &str, arrived: Moment, patience: Duration) -> Moment {
        let mut state = self.state();
        let most = state.patience.entry(route.into()).or_default();
        *most = (*most).max(patience);
        let age = *most - patience;
        match age < most.mul_f64(PATIENCE_SPREAD) {
            true => arrived,
            false => arrived.saturating_sub(age),
        }
    }

    /// Finds a place for a request; waits for one where that makes sense.
    pub async fn place(self: &Arc<Self>, job: &Job, tried: &[UpstreamId]) -> Placed<P> {
        let Some(wanted) = self.wanted(job, tried) else {
            return Placed::Busy(self.shortage(job, None, NOBODY_WAIT));
        };
        let weights = wanted.weights;
        let waiting = match self.ask(job, wanted) {
            Asked::Placed(hold) => return Placed::At(hold),
            Asked::Refused(wait) => return Placed::Busy(self.shortage(job, weights, wait)),
            Asked::Waiting(receiver) => receiver,
        };
        // Gives the place in the queue up when the caller goes away.
        let _leave = Leave {
            desk: self.clone(),
            service: job.service.clone(),
            id: job.id,
        };
        match waiting.recv().await {
            Ok(hold) => Placed::At(hold),
            Err(_) => {
                let wait = self.retry_after(&job.service);
                Placed::Busy(self.shortage(job, weights, wait))
            }
        }
    }

    fn ask(self: &Arc<Self>, job: &Job, wanted: Wanted) -> Asked<P> {
        let now = now();
        let mut wanted = wanted;
        let mut state = self.state();
        let service = state.service(&job.service, &self.node);
        let due = job.first + job.route.objective;
        let on_time_until = due.saturating_sub(service.seats.best_start(wanted.prompt));
        let on_time = on_time_until > now;
        wanted.due = on_time.then_some(due);
        if service.room.is_empty() {
            match self.choose(service, now, &wanted) {
                Choice::Send(key) => {
                    service.room.note_start(now);
                    return Asked::Placed(self.take(service, now, &key, &wanted));
                }
                Choice::Nobody => return Asked::Refused(NOBODY_WAIT),
                Choice::Full => {}
            }
        }
        let until = match on_time {
            true => on_time_until,
            false => now + LATE_WAIT.min(job.left(now) / 4),
        };
        let waiter = Waiter {
            id: job.id,
            rank: job.rank(),
            until,
            on_time,
            wanted,
        };
        match service.room.offer(now, waiter) {
            Admit::Refuse { retry_after } => Asked::Refused(retry_after),
            Admit::Wait => {
                let (sender, receiver) = bounded(1);
                service.tickets.insert(job.id, Ticket { sender });
                Asked::Waiting(receiver)
            }
        }
    }

    fn wanted(&self, job: &Job, tried: &[UpstreamId]) -> Option<Wanted> {
        let bound = self.node.bounds.weights.saturating_sub(WEIGHTS_MARGIN);
        let model = job.ask.model.as_deref();
        let weights = model.and_then(|m| self.feed.view(|v| v.in_force(now(), m, bound)));
        Some(Wanted {
            homes: job.homes()?,
            tried: tried.to_vec(),
            model: job.ask.model.clone(),
            weights,
            prompt: job.ask.tokens.map_or(0, |t| t.prompt),
            output: job.ask.expected,
            due: None,
        })
    }

    fn choose(&self, service: &Service<P>, now: Moment, wanted: &Wanted) -> Choice {
        self.feed
            .view(|v| service.seats.choose(now, wanted, |d| v.is_evacuated(d)))
    }

    fn take(
        self: &Arc<Self>,
        service: &mut Service<P>,
        now: Moment,
        key: &str,
        wanted: &Wanted,
    ) -> Hold<P> {
        let name = service.seats.service().clone();
        let mut hold = Hold {
            desk: self.clone(),
            service: name,
            target: Target {
                id: key.into(),
                addr: std::net::SocketAddr::from(([0, 0, 0, 0], 0)),
            },
            tag: 0,
            born: 0,
            weights: None,
            begin_by: None,
            unread: wanted.prompt,
            since: now,
            first: None,
        };
        if let Some(seat) = service.seats.seat(key) {
            seat.send(now, wanted.prompt);
            hold.target.addr = seat.upstream.addr;
            hold.tag = seat.tag;
            hold.born = seat.upstream.born;
            let mut models = seat.upstream.models.iter();
            let held = models.find(|h| Some(&h.model) == wanted.model.as_ref());
            if let Some(held) = held {
                hold.weights = wanted.weights.map(|_| held.version);
                let bound = self.node.bounds.weights.saturating_sub(BEGIN_MARGIN);
                let expires = |v: &FleetView| v.expires(&held.model, held.version, bound);
                hold.begin_by = self.feed.view(expires);
            }
        }
        hold
    }

    /// Gives free places to waiting requests.
    pub(crate) fn pump(self: &Arc<Self>, name: &ServiceId) {
        // Holds that nobody takes are dropped outside of the lock.
        let mut orphans = Vec::new();
        {
            let mut state = self.state();
            let Some(service) = state.services.get_mut(name) else {
                return;
            };
            let now = now();
            let mut ids: Vec<(u64, Wanted)> = Vec::new();
            if !service.room.is_empty() {
                ids.extend(service.room.iter().map(|w| (w.id, w.wanted.clone())));
            }
            let mut full = 0;
            for (id, wanted) in ids {
                let Choice::Send(key) = self.choose(service, now, &wanted) else {
                    full += 1;
                    // Some wait for particular upstreams; look past a few of them.
                    if full >= 4 {
                        break;
                    }
                    continue;
                };
                service.room.start(now, id);
                let hold = self.take(service, now, &key, &wanted);
                let unsent = match service.tickets.remove(&id) {
                    Some(ticket) => ticket.sender.try_send(hold).err().map(|e| e.into_inner()),
                    None => Some(hold),
                };
                orphans.extend(unsent);
            }
        }
        drop(orphans);
    }

    fn pump_all(self: &Arc<Self>) {
        let names: Vec<ServiceId> = self.state().services.keys().cloned().collect();
        names.iter().for_each(|n| self.pump(n));
    }

    /// Lets go of requests that waited for too long and looks for free places.
    pub fn tick(self: &Arc<Self>) {
        let now = now();
        {
            let mut state = self.state();
            state.forget_silent(now);
            for service in state.services.values_mut() {
                for id in service.room.expire(now) {
                    // Without its ticket the request learns that it is refused.
                    service.tickets.remove(&id);
                }
            }
        }
        let waiting: Vec<ServiceId> = {
            let state = self.state();
            let busy = state.services.iter().filter(|(_, s)| !s.room.is_empty());
            busy.map(|(n, _)| n.clone()).collect()
        };
        waiting.iter().for_each(|n| self.pump(n));
    }

    fn leave(&self, service: &ServiceId, id: u64) {
        if let Some(s) = self.state().services.get_mut(service) {
            s.room.leave(id);
            s.tickets.remove(&id);
        }
    }

    /// What is known of a shortage, for the logs.
    fn shortage(
        &self,
        job: &Job,
        weights: Option<WeightVersion>,
        retry_after: Duration,
    ) -> Shortage {
        let now = now();
        let state = self.state();
        let mut shortage = Shortage {
            retry_after,
            weights,
            ..Shortage::default()
        };
        let Some(service) = state.services.get(&job.service) else {
            return shortage;
        };
        shortage.waiting = service.room.len();
        shortage.listed = service.seats.iter().count();
        for seat in service.seats.iter().filter(|s| s.is_open(now)) {
            shortage.open += 1;
            shortage.load.0 += seat.own.requests + seat.others.requests;
            shortage.load.1 += seat.upstream.slots;
        }
        shortage
    }

    fn retry_after(&self, service: &ServiceId) -> Duration {
        let state = self.state();
        let room = state.services.get(service).map(|s| &s.room);
        room.map_or(Duration::from_secs(1), |r| r.retry_after(now()))
    }

    /// Publishes what is in flight and waiting.
    pub fn publish(&self) {
        let state = self.state();
        for (name, service) in &state.services {
            let open = service.seats.iter().filter(|s| s.is_open(now())).count();
            let own: u32 = service.seats.iter().map(|s| s.own.requests).sum();
            let gauge =
                |metric: &'static str| metrics::gauge!(metric, "service" => name.to_string());
            gauge("turmerichold_upstreams_open").set(open as f64);
            gauge("turmerichold_requests_in_flight").set(own);
            gauge("turmerichold_requests_waiting").set(service.room.len() as f64);
        }
        metrics::gauge!("turmerichold_entries_heard").set(state.peers.len() as f64);
    }

    /// Counts a request towards the repeats that its service may get.
    pub fn count(&self, service: &ServiceId) {
        let mut state = self.state();
        state.service(service, &self.node).budget.request(now());
    }

    /// Takes one repeat from the budget of a service.
    pub fn may_repeat(&self, service: &ServiceId) -> bool {
        let entries = self.entries();
        let mut state = self.state();
        let budget = &mut state.service(service, &self.node).budget;
        let allowed = budget.spend(now(), entries);
        let outcome = if allowed { "sent" } else { "denied" };
        metrics::counter!("turmerichold_repeats_total", "outcome" => outcome).increment(1);
        allowed
    }

    /// Records what became of an exchange.
    pub fn note<R>(&self, hold: &Hold<P>, record: impl FnOnce(&mut Seat) -> R) -> Option<R> {
        let mut state = self.state();
        let seats = &mut state.services.get_mut(&hold.service)?.seats;
        let seat = seats.seat(&hold.target.id)?;
        (seat.upstream.born == hold.born).then(|| record(seat))
    }

    /// Whether a request may be sent, for all that is known of crashes.
    pub fn verdict(&self, fingerprint: u64) -> Verdict {
        self.state().crashes.check(now(), fingerprint)
    }

    /// Records a broken exchange.
    pub fn broke(&self, hold: &Hold<P>, fingerprint: u64) {
        let mut state = self.state();
        let charged = state.crashes.broke(now(), crash_key(hold), fingerprint);
        state.charge(charged);
    }

    /// Records that an upstream refused a connection.
    pub fn refused(&self, hold: &Hold<P>) {
        let mut state = self.state();
        let charged = state.crashes.refused(now(), crash_key(hold));
        state.charge(charged);
    }

    /// Records an answered request.
    pub fn answered(&self, hold: &Hold<P>, fingerprint: u64) {
        let mut state = self.state();
        state.crashes.answered(now(), crash_key(hold), fingerprint);
    }

    /// What the other entries are told.
    pub fn notice(&self, start: u64, leaving: bool) -> EntryNotice {
        let mut state = self.state();
        state.notices += 1;
        let seats = state.services.values().flat_map(|s| s.seats.iter());
        let loads = seats
            .filter(|s| s.own.requests > 0)
            .map(|s| {
                let requests = u16::try_from(s.own.requests).unwrap_or(u16::MAX);
                let unread = u32::try_from(s.own.unread).unwrap_or(u32::MAX);
                (s.tag, requests, unread)
            })
            .collect();
        EntryNotice {
            vm: self.node.vm.clone(),
            start,
            number: state.notices,
            loads,
            crashes: state.charged.clone(),
            leaving,
        }
    }

    /// Takes over what another entry tells.
    pub fn entry_notice(self: &Arc<Self>, notice: EntryNotice) {
        if notice.vm == self.node.vm {
            return;
        }
        let mut state = self.state();
        let now = now();
        let order = (notice.start, notice.number);
        if let Some(peer) = state.peers.get(&notice.vm) {
            if (peer.start, peer.number) >= order {
                return;
            }
        } else {
            decision(
                "desk",
                "entry heard",
                Outcome::Change,
                json!({ "entry": notice.vm }),
            );
        }
        for fingerprint in notice.crashes {
            if !state.charged.contains(&fingerprint) {
                state.crashes.told(now, fingerprint);
                state.keep_charged(fingerprint);
            }
        }
        if notice.leaving {
            state.peers.remove(&notice.vm);
        } else {
            let load = |(tag, requests, unread): (u32, u16, u32)| {
                let (requests, unread) = (u32::from(requests), u64::from(unread));
                (tag, SeatLoad { requests, unread })
            };
            let loads = notice.loads.into_iter().map(load);
            let peer = Peer {
                start: notice.start,
                number: notice.number,
                heard: now,
                loads: loads.collect(),
            };
            state.peers.insert(notice.vm, peer);
        }
        state.share_loads();
        drop(state);
        self.pump_waiting();
    }

    fn pump_waiting(self: &Arc<Self>) {
        let names: Vec<ServiceId> = {
            let state = self.state();
            let busy = state.services.iter().filter(|(_, s)| !s.room.is_empty());
            busy.map(|(n, _)| n.clone()).collect()
        };
        names.iter().for_each(|n| self.pump(n));
    }

    /// Takes over what an agent tells of its engine.
    pub fn engine_notice(self: &Arc<Self>, notice: EngineNotice) {
        let mut state = self.state();
        for service in state.services.values_mut() {
            for seat in service.seats.iter_mut() {
                if seat.upstream.addr != notice.engine || seat.upstream.born != notice.born {
                    continue;
                }
                if seat.switching != notice.switching {
                    let fields = json!({
                        "upstream": seat.upstream.id, "switching": notice.switching,
                    });
                    decision("desk", "engine", Outcome::Change, fields);
                }
                seat.switching = notice.switching;
                let closes = notice.closes_in.map(|m| Duration::from_millis(m.into()));
                seat.closes = closes.map(|c| now() + c);
                let held = notice.held.iter().map(|(m, v)| domain::HeldModel {
                    model: m.clone(),
                    version: *v,
                });
                // The list lags behind the agent's word.
                seat.upstream.models = held.collect();
            }
        }
        state.engines.insert(notice.engine, notice);
        drop(state);
        self.pump_waiting();
    }

    fn state(&self) -> MutexGuard<'_, State<P>> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl<P: Platform> State<P> {
    fn service(&mut self, name: &ServiceId, node: &NodePlace) -> &mut Service<P> {
        self.services
            .entry(name.clone())
            .or_insert_with(|| Service {
                seats: Seats::new(name.clone(), node.domain.clone(), node.region.clone()),
                room: Room::new(RoomRules {
                    places: ROOM_PLACES,
                }),
                tickets: HashMap::new(),
                budget: RepeatBudget::new(&node.bounds),
            })
    }

    fn forget_silent(&mut self, now: Moment) {
        let silent = |p: &Peer| now.saturating_sub(p.heard) > PEER_SILENCE;
        let before = self.peers.len();
        self.peers.retain(|vm, p| {
            if silent(p) {
                decision(
                    "desk",
                    "entry silent",
                    Outcome::Change,
                    json!({ "entry": vm }),
                );
            }
            !silent(p)
        });
        if before != self.peers.len() {
            self.share_loads();
        }
    }

    fn share_loads(&mut self) {
        let entries = u32::try_from(self.peers.len() + 1).unwrap_or(u32::MAX);
        for service in self.services.values_mut() {
            service.seats.set_entries(entries);
            for seat in service.seats.iter_mut() {
                let told = self.peers.values().filter_map(|p| p.loads.get(&seat.tag));
                let sum = |a: SeatLoad, b: &SeatLoad| SeatLoad {
                    requests: a.requests + b.requests,
                    unread: a.unread + b.unread,
                };
                seat.others = told.fold(SeatLoad::default(), sum);
            }
        }
    }

    fn charge(&mut self, charged: Vec<u64>) {
        for fingerprint in charged {
            let fields = json!({ "fingerprint": format!("{fingerprint:016x}") });
            decision("desk", "crash charged", Outcome::Change, fields);
            self.keep_charged(fingerprint);
        }
    }

    fn keep_charged(&mut self, fingerprint: u64) {
        if self.charged.len() >= CRASHES_TOLD {
            self.charged.remove(0);
        }
        self.charged.push(fingerprint);
    }
}

enum Asked<P: Platform> {
    Placed(Hold<P>),
    Refused(Duration),
    Waiting(Receiver<Hold<P>>),
}

/// Gives up a place in the queue when dropped.
struct Leave<P: Platform> {
    desk: Arc<Desk<P>>,
    service: ServiceId,
    id: u64,
}

impl<P: Platform> Drop for Leave<P> {
    fn drop(&mut self) {
        self.desk.leave(&self.service, self.id);
    }
}

/// Number that entries use for an upstream among themselves.
fn tag_of(id: &str) -> u32 {
    // FNV-1a: the same in every process.
    id.bytes().fold(0x811c_9dc5, |h: u32, b| {
        (h ^ u32::from(b)).wrapping_mul(0x0100_0193)
    })
}

fn crash_key<P: Platform>(hold: &Hold<P>) -> u64 {
    u64::from(hold.tag)
}
