mod notices;
mod state;

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use async_channel::{Receiver, bounded};
use dispatch::{
    Applicant, Asked, CrashWatch, Demand, FleetView, NOBODY_WAIT, Returners, Seating, StartTime,
    ViewChange, Wanted,
};
use domain::{Moment, NodeSettings, Platform, ServiceId, Target, UpstreamId, WeightVersion, now};
use feed::Feed;

use crate::hold::Hold;
use crate::job::Job;
use crate::shortage::Shortage;
use state::{Service, State};

/// Time before a bound on weight versions from which older ones get nothing:
/// a request may wait in the engine's queue before it begins.
const WEIGHTS_MARGIN: Duration = Duration::from_millis(600);
/// Time before that bound at which a request that has not begun is taken back.
const BEGIN_MARGIN: Duration = Duration::from_millis(150);

/// What becomes of a request that asks for a place.
pub enum Placed<P: Platform> {
    /// It has one.
    At(Hold<P>),
    /// None is free in time, or none may serve it.
    Busy(Shortage),
}

/// Gives requests places at upstreams.
pub struct Desk<P: Platform> {
    feed: Arc<Feed<P>>,
    node: NodeSettings,
    state: Mutex<State<P>>,
}

impl<P: Platform> Desk<P> {
    /// A desk of the entry on `node`.
    pub fn new(feed: Arc<Feed<P>>, node: NodeSettings) -> Self {
        Desk {
            feed,
            node,
            state: Mutex::new(State {
                services: HashMap::new(),
                peers: HashMap::new(),
                returners: Returners::default(),
                crashes: CrashWatch::default(),
                charged: Vec::new(),
                notices: 0,
                demand: Demand::default(),
                shared_demand: 0,
                unshared: true,
            }),
        }
    }

    /// Takes over a change of the fleet.
    pub fn changed(self: &Arc<Self>, change: &ViewChange) {
        match change {
            ViewChange::Listed(id) => self.list(id),
            ViewChange::Gone(id) => {
                for s in self.state().services.values_mut() {
                    s.intake.seats.remove(id);
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
        self.state().unshared = true;
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
        let region = self.node.region_of(&upstream.failure_domain).to_owned();
        let mut state = self.state();
        let service = state.service(&upstream.service, &self.node);
        service.intake.seats.set_cold_rate(rate);
        service.intake.seats.set_start_time(StartTime::new(engine));
        service
            .intake
            .seats
            .list(now(), &upstream, &region, tag_of(id));
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
        self.state().returners.first_sent(route, arrived, patience)
    }

    /// Finds a place for a request; waits for one where that makes sense.
    pub async fn place(self: &Arc<Self>, job: &Job, tried: &[UpstreamId]) -> Placed<P> {
        let Some(wanted) = self.wanted(job, tried) else {
            return Placed::Busy(self.shortage(job, None, NOBODY_WAIT));
        };
        let weights = wanted.weights;
        let waiting = match self.ask(job, wanted) {
            Answer::Placed(hold) => return Placed::At(hold),
            Answer::Refused(wait) => return Placed::Busy(self.shortage(job, weights, wait)),
            Answer::Waiting(receiver) => receiver,
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

    fn ask(self: &Arc<Self>, job: &Job, wanted: Wanted) -> Answer<P> {
        let now = now();
        let mut state = self.state();
        let service = state.service(&job.service, &self.node);
        let applicant = Applicant {
            id: job.id,
            rank: job.rank(),
            first: job.first,
            objective: job.route.target_latency,
            until: job.until,
            wanted,
        };
        let intake = &mut service.intake;
        let asked = self
            .feed
            .view(|v| intake.ask(now, applicant, |d| v.is_evacuated(d)));
        match asked {
            Asked::Seated(seating) => Answer::Placed(self.hold(service, now, &seating)),
            Asked::Refused(wait) => Answer::Refused(wait),
            Asked::Waits => {
                let (sender, receiver) = bounded(1);
                service.tickets.insert(job.id, sender);
                Answer::Waiting(receiver)
            }
        }
    }

    fn wanted(&self, job: &Job, tried: &[UpstreamId]) -> Option<Wanted> {
        let bound = self
            .node
            .bounds
            .weight_rollout
            .saturating_sub(WEIGHTS_MARGIN);
        let model = job.ask.model.as_deref();
        let weights = model.and_then(|m| self.feed.view(|v| v.in_force(now(), m, bound)));
        Some(Wanted {
            homes: job.homes()?,
            tried: tried.to_vec(),
            model: job.ask.model.clone(),
            weights,
            prompt: job.ask.tokens.map_or(0, |t| t.prompt),
            output: job.ask.expected_tokens,
            ..Wanted::default()
        })
    }

    fn hold(self: &Arc<Self>, service: &mut Service<P>, now: Moment, seating: &Seating) -> Hold<P> {
        let wanted = &seating.wanted;
        let seats = &mut service.intake.seats;
        let mut hold = Hold {
            desk: self.clone(),
            service: seats.service().clone(),
            target: Target {
                id: seating.key.clone(),
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
        if let Some(seat) = seats.seat(&seating.key) {
            hold.target.addr = seat.upstream.addr;
            hold.tag = seat.tag;
            hold.born = seat.upstream.started_ms;
            let mut models = seat.upstream.models.iter();
            let held = models.find(|h| Some(&h.model) == wanted.model.as_ref());
            if let Some(held) = held {
                hold.weights = wanted.weights.map(|_| held.version);
                let bound = self.node.bounds.weight_rollout.saturating_sub(BEGIN_MARGIN);
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
            let intake = &mut service.intake;
            let seated = self.feed.view(|v| intake.pump(now, |d| v.is_evacuated(d)));
            for seating in seated {
                let hold = self.hold(service, now, &seating);
                let unsent = match service.tickets.remove(&seating.id) {
                    Some(ticket) => ticket.try_send(hold).err().map(|e| e.into_inner()),
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
            self.feed
                .view(|v| state.share_out(now, &self.node, |d| v.is_evacuated(d)));
            for service in state.services.values_mut() {
                for id in service.intake.expire(now) {
                    // Without its ticket the request learns that it is refused.
                    service.tickets.remove(&id);
                }
            }
        }
        self.pump_waiting();
    }

    fn leave(&self, service: &ServiceId, id: u64) {
        if let Some(s) = self.state().services.get_mut(service) {
            s.intake.room.leave(id);
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
        shortage.waiting = service.intake.room.len();
        shortage.listed = service.intake.seats.iter().count();
        for seat in service.intake.seats.iter().filter(|s| s.is_open(now)) {
            shortage.open += 1;
            shortage.load.0 += seat.own.requests + seat.others.requests;
            shortage.load.1 += seat.upstream.slots;
        }
        shortage
    }

    fn retry_after(&self, service: &ServiceId) -> Duration {
        let state = self.state();
        let room = state.services.get(service).map(|s| &s.intake.room);
        room.map_or(Duration::from_secs(1), |r| r.retry_after(now()))
    }

    /// Publishes what is in flight and waiting.
    pub fn publish(&self) {
        let state = self.state();
        for (name, service) in &state.services {
            let open = service
                .intake
                .seats
                .iter()
                .filter(|s| s.is_open(now()))
                .count();
            let own: u32 = service.intake.seats.iter().map(|s| s.own.requests).sum();
            let gauge =
                |metric: &'static str| metrics::gauge!(metric, "service" => name.to_string());
            gauge("turmerichold_upstreams_open").set(open as f64);
            gauge("turmerichold_requests_in_flight").set(own);
            gauge("turmerichold_requests_waiting").set(service.intake.room.len() as f64);
        }
        metrics::gauge!("turmerichold_entries_heard").set(state.peers.len() as f64);
    }

    /// Counts a request towards the repeats that its service may get.
    pub fn count(&self, service: &ServiceId) {
        let mut state = self.state();
        state.demand.note(now());
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

    pub(super) fn state(&self) -> MutexGuard<'_, State<P>> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// What becomes of a request for now.
enum Answer<P: Platform> {
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
